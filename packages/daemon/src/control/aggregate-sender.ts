import {
	leaseTimes, restartAggregator, restartAggregatorForLeader, takeAggregate, type LeaderLease, type ReportAggregator,
} from '@bitternpaddle/coordination';
import type {ReportAggregate, ReportAggregateResult} from '@bitternpaddle/protocol';
import {callRpc} from '@bitternpaddle/transport';

export type AggregateSenderOptions = {
	readonly aggregator: ReportAggregator;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Records this host's own aggregate while it leads; `false` if a full aggregate is required. */
	recordOwnAggregate(message: ReportAggregate): boolean;
	/** Called when the leader has granted this host a lease. */
	onLeaderLease(lease: LeaderLease): void;
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

	const sendTo = async (address: string, message: ReportAggregate): Promise<void> => {
		const sentAtMs = performance.now();
		const result = await callRpc<ReportAggregateResult>({
			address, method: 'control.fold', params: message, timeoutMs: leaseTimes.leaderRequestTimeoutMs,
		});
		if (result.type === 'wantsAll') {
			restartAggregator(aggregator);
			return;
		}

		onLeaderLease({requestedAtMs: sentAtMs, untilMs: sentAtMs + result.leaseMs, revision: result.revision});
	};

	return {
		async send() {
			const address = leaderAddress();
			const isOwn = isLeader();
			if (isSending || (!isOwn && address === undefined)) {
				return;
			}

			const message = takeAggregate(aggregator, performance.now());
			if (message === null) {
				return;
			}

			isSending = true;
			try {
				if (!isOwn) {
					await sendTo(address!, message);
				} else if (!recordOwnAggregate(message)) {
					restartAggregator(aggregator);
				}
			} catch {
				// It is unknown whether the leader received the message, so the next one is a full aggregate.
				restartAggregator(aggregator);
			} finally {
				isSending = false;
			}
		},
		startForLeader() {
			restartAggregatorForLeader(aggregator);
		},
	};
};
