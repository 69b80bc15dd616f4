import type {ConsensusEnvelope} from '@bitternpaddle/protocol';
import {notifyRpc} from '@bitternpaddle/transport';

export type PeerSenderOptions = {
	addressOf(memberId: string): string | undefined;
	/** Whether long messages are packed. @default false */
	readonly isPacked?: boolean;
	/** A peer that doesn't answer for this long is sent the next messages on a new connection. @default 300 */
	readonly timeoutMs?: number;
	/** @default 5000 */
	readonly snapshotTimeoutMs?: number;
};

type Lane = {waiting: ConsensusEnvelope[]; isBusy: boolean};

/** The oldest are dropped behind this; consensus sends again what was lost. */
const maxWaiting = 256;

/**
 * Sends consensus messages to each peer in order, one call at a time, with all
 * that came up meanwhile in the next. Calls side by side would overtake each
 * other, and each overtaken append is refused and sent again.
 */
export const createPeerSender = ({addressOf, isPacked = false, timeoutMs = 300, snapshotTimeoutMs = 5000}: PeerSenderOptions): (envelope: ConsensusEnvelope) => void => {
	const lanes = new Map<string, Lane>();

	const post = async (to: string, envelopes: readonly ConsensusEnvelope[], limitMs: number): Promise<void> => {
		const address = addressOf(to);
		if (address === undefined) {
			return;
		}

		// A lost message is sent again by the rules of consensus.
		await notifyRpc({
			address, method: 'consensus.messages', params: {envelopes}, timeoutMs: limitMs, isPacked,
		}).catch(() => undefined);
	};

	const drain = async (to: string, lane: Lane): Promise<void> => {
		lane.isBusy = true;
		while (lane.waiting.length > 0) {
			const envelopes = lane.waiting;
			lane.waiting = [];
			await post(to, envelopes, timeoutMs);
		}

		lane.isBusy = false;
	};

	return envelope => {
		const {to, message} = envelope;
		if (message.type === 'snapshotRequest') {
			// Beside the lane, so that heartbeats go on while it is on its way.
			void post(to, [envelope], snapshotTimeoutMs);
			return;
		}

		const lane = lanes.get(to) ?? {waiting: [], isBusy: false};
		lanes.set(to, lane);
		lane.waiting.push(envelope);
		lane.waiting.splice(0, lane.waiting.length - maxWaiting);
		if (!lane.isBusy) {
			void drain(to, lane);
		}
	};
};
