import type {ConsensusEnvelope} from '@bitternpaddle/protocol';
import {notifyRpc} from '@bitternpaddle/transport';

export type PeerSenderOptions = {
	addressOf(memberId: string): string | undefined;
	/** Whether long messages are compressed. @default false */
	readonly isCompressed?: boolean;
	/** If a peer doesn't answer for this long, the next messages are sent on a new connection. @default 300 */
	readonly timeoutMs?: number;
	/** @default 5000 */
	readonly snapshotTimeoutMs?: number;
};

type PeerQueue = {waiting: ConsensusEnvelope[]; isBusy: boolean};

/** Beyond this, the oldest messages are dropped; consensus resends what was lost. */
const maxQueuedEnvelopes = 256;

/**
 * Sends consensus messages to each peer in order, one call at a time; messages
 * queued during a call are batched into the next. Concurrent calls would
 * overtake each other, and each overtaken append is rejected and resent.
 */
export const createPeerSender = ({addressOf, isCompressed = false, timeoutMs = 300, snapshotTimeoutMs = 5000}: PeerSenderOptions): (envelope: ConsensusEnvelope) => void => {
	const queues = new Map<string, PeerQueue>();

	const post = async (to: string, envelopes: readonly ConsensusEnvelope[], requestTimeoutMs: number): Promise<void> => {
		const address = addressOf(to);
		if (address === undefined) {
			return;
		}

		// The consensus protocol resends a lost message.
		await notifyRpc({
			address, method: 'consensus.messages', params: {envelopes}, timeoutMs: requestTimeoutMs, isCompressed,
		}).catch(() => undefined);
	};

	const drain = async (to: string, queue: PeerQueue): Promise<void> => {
		queue.isBusy = true;
		while (queue.waiting.length > 0) {
			const envelopes = queue.waiting;
			queue.waiting = [];
			await post(to, envelopes, timeoutMs);
		}

		queue.isBusy = false;
	};

	return envelope => {
		const {to, message} = envelope;
		if (message.type === 'snapshotRequest') {
			// Bypasses the queue, so that heartbeats continue during the transfer.
			void post(to, [envelope], snapshotTimeoutMs);
			return;
		}

		const queue = queues.get(to) ?? {waiting: [], isBusy: false};
		queues.set(to, queue);
		queue.waiting.push(envelope);
		queue.waiting.splice(0, queue.waiting.length - maxQueuedEnvelopes);
		if (!queue.isBusy) {
			void drain(to, queue);
		}
	};
};
