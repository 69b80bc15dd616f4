import {entryBytes} from '@bitternpaddle/coordination';
import type {ConsensusEnvelope, ConsensusMessage} from '@bitternpaddle/protocol';
import {notifyRpc} from '@bitternpaddle/transport';

export type PeerSenderOptions = {
	addressOf(memberId: string): string | undefined;
	/** Whether long messages are compressed. @default false */
	readonly isCompressed?: boolean;
	/** If a peer doesn't answer for this long, the next messages are sent on a new connection. Large calls get more, by their size. @default 300 */
	readonly timeoutMs?: number;
	/** Maximum size of the messages that wait for one peer; beyond it, the oldest are dropped. @default 8388608 */
	readonly maxQueuedBytes?: number;
	/** Maximum size of the messages in one call; a larger message is sent alone. @default 1048576 */
	readonly maxCallBytes?: number;
	/** Called when messages to a peer were dropped because too many wait for it. @default ignored */
	onDrop?(to: string, droppedBytes: number): void;
};

export type PeerSender = {
	send(envelope: ConsensusEnvelope): void;
	/** Size of the messages that wait for the peer with most of them. */
	queuedBytes(): number;
	/** Size of the largest call since the start. */
	largestCallBytes(): number;
};

type SizedEnvelope = {readonly envelope: ConsensusEnvelope; readonly sizeBytes: number};

type PeerQueue = {waiting: SizedEnvelope[]; sizeBytes: number; isBusy: boolean};

/** A peer that answers no call would otherwise be owed a heartbeat for each interval. */
const maxQueuedEnvelopes = 256;
/** Assumed size of a message without its entries or its part of a snapshot. */
const headBytes = 400;
/** Bytes of a call that a peer decodes and stores in a millisecond, on a share of a processor. */
const peerBytesPerMs = 8192;

const messageBytes = (message: ConsensusMessage): number => {
	switch (message.type) {
		case 'appendRequest': {
			return message.entries.reduce((sum, entry) => sum + entryBytes(entry), headBytes);
		}

		case 'snapshotRequest': {
			return headBytes + message.snapshot.state.length;
		}

		case 'snapshotPart': {
			return headBytes + message.part.length;
		}

		case 'appendResponse':
		case 'snapshotPartResponse':
		case 'timeoutNow':
		case 'voteRequest':
		case 'voteResponse': {
			return headBytes;
		}
	}
};

/**
 * Sends consensus messages to each peer in order, one call at a time; messages
 * queued during a call are batched into the next ones. Concurrent calls would
 * overtake each other, and each overtaken append is rejected and resent. What
 * waits and what one call carries is bounded by its bytes, since a single entry may
 * have megabytes; consensus resends what was dropped.
 */
export const createPeerSender = (options: PeerSenderOptions): PeerSender => {
	const {
		addressOf, isCompressed = false, timeoutMs = 300, maxQueuedBytes = 8 * 1024 * 1024, maxCallBytes = 1024 * 1024, onDrop,
	} = options;
	const queues = new Map<string, PeerQueue>();
	let largestCallBytes = 0;

	const post = async (to: string, envelopes: readonly ConsensusEnvelope[], sizeBytes: number): Promise<void> => {
		const address = addressOf(to);
		if (address === undefined) {
			return;
		}

		largestCallBytes = Math.max(largestCallBytes, sizeBytes);
		// The consensus protocol resends a lost message.
		await notifyRpc({
			address, method: 'consensus.messages', params: {envelopes}, timeoutMs: timeoutMs + Math.ceil(sizeBytes / peerBytesPerMs), isCompressed,
		}).catch(() => undefined);
	};

	const takeCall = (queue: PeerQueue): {readonly envelopes: ConsensusEnvelope[]; readonly sizeBytes: number} => {
		const envelopes: ConsensusEnvelope[] = [];
		let sizeBytes = 0;
		for (const {envelope, sizeBytes: nextBytes} of queue.waiting) {
			if (envelopes.length > 0 && sizeBytes + nextBytes > maxCallBytes) {
				break;
			}

			envelopes.push(envelope);
			sizeBytes += nextBytes;
		}

		queue.waiting.splice(0, envelopes.length);
		queue.sizeBytes -= sizeBytes;
		return {envelopes, sizeBytes};
	};

	const drain = async (to: string, queue: PeerQueue): Promise<void> => {
		queue.isBusy = true;
		while (queue.waiting.length > 0) {
			const {envelopes, sizeBytes} = takeCall(queue);
			await post(to, envelopes, sizeBytes);
		}

		queue.isBusy = false;
	};

	const dropOldest = (to: string, queue: PeerQueue): void => {
		let droppedBytes = 0;
		while (queue.waiting.length > 1 && (queue.sizeBytes > maxQueuedBytes || queue.waiting.length > maxQueuedEnvelopes)) {
			const {sizeBytes} = queue.waiting.shift()!;
			queue.sizeBytes -= sizeBytes;
			droppedBytes += sizeBytes;
		}

		if (droppedBytes > 0) {
			onDrop?.(to, droppedBytes);
		}
	};

	return {
		send(envelope) {
			const {to, message} = envelope;
			const queue = queues.get(to) ?? {waiting: [], sizeBytes: 0, isBusy: false};
			const sizeBytes = messageBytes(message);
			queues.set(to, queue);
			queue.waiting.push({envelope, sizeBytes});
			queue.sizeBytes += sizeBytes;
			dropOldest(to, queue);
			if (!queue.isBusy) {
				void drain(to, queue);
			}
		},
		queuedBytes: () => Math.max(0, ...[...queues.values()].map(({sizeBytes}) => sizeBytes)),
		largestCallBytes: () => largestCallBytes,
	};
};
