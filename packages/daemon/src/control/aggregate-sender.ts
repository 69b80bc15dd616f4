import {
	leaseTimes, restartFold, startFoldForLeader, takeFold, type LeaderWord, type ReportFold,
} from '@bitternpaddle/coordination';
import type {Fold, FoldResult} from '@bitternpaddle/protocol';
import {callRpc} from '@bitternpaddle/transport';

export type AggregateSenderOptions = {
	readonly aggregator: ReportFold;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Records this host's own aggregate while it leads; `false` if a full aggregate is required. */
	recordOwnAggregate(message: Fold): boolean;
	/** Called when the leader has granted this host a lease. */
	onLeaderLease(lease: LeaderWord): void;
};

export type AggregateSender = {
	/** Sends the pending aggregate, if there is one, to the leader. */
	send(): Promise<void>;
	/** The leader changed: report each host to the new leader when that host calls. */
	startForLeader(): void;
};

/** Sends one control host's aggregated host reports to the leader, one message at a time. */
export const createAggregateSender = (options: AggregateSenderOptions): AggregateSender => {
	const {aggregator, isLeader, leaderAddress, recordOwnAggregate, onLeaderLease} = options;
	let isSending = false;

	const sendTo = async (address: string, message: Fold): Promise<void> => {
		const sentAtMs = performance.now();
		const result = await callRpc<FoldResult>({
			address, method: 'control.fold', params: message, timeoutMs: leaseTimes.askTimeoutMs,
		});
		if (result.type === 'wantsAll') {
			restartFold(aggregator);
			return;
		}

		onLeaderLease({askedAtMs: sentAtMs, untilMs: sentAtMs + result.leaseMs, revision: result.revision});
	};

	return {
		async send() {
			const address = leaderAddress();
			const isOwn = isLeader();
			if (isSending || (!isOwn && address === undefined)) {
				return;
			}

			const message = takeFold(aggregator, performance.now());
			if (message === null) {
				return;
			}

			isSending = true;
			try {
				if (!isOwn) {
					await sendTo(address!, message);
				} else if (!recordOwnAggregate(message)) {
					restartFold(aggregator);
				}
			} catch {
				// It is unknown whether the leader received the message, so the next one is a full aggregate.
				restartFold(aggregator);
			} finally {
				isSending = false;
			}
		},
		startForLeader() {
			startFoldForLeader(aggregator);
		},
	};
};
