import {
	leaseTimes, restartFold, startFoldForLeader, takeFold, type LeaderWord, type ReportFold,
} from '@bitternpaddle/coordination';
import type {Fold, FoldResult} from '@bitternpaddle/protocol';
import {callRpc} from '@bitternpaddle/transport';

export type FoldSenderOptions = {
	readonly fold: ReportFold;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Takes this host's own message while it leads. */
	hearOwn(message: Fold): boolean;
	/** The leader has answered. */
	onWord(word: LeaderWord): void;
};

export type FoldSender = {
	/** Sends what there is to say to the leader. */
	send(): Promise<void>;
	/** The leader changed: tell the next one of each host as it calls. */
	startForLeader(): void;
};

/** Carries one control host's messages about its hosts to the leader, one at a time. */
export const createFoldSender = (options: FoldSenderOptions): FoldSender => {
	const {fold, isLeader, leaderAddress, hearOwn, onWord} = options;
	let isSending = false;

	const sendTo = async (address: string, message: Fold): Promise<void> => {
		const askedAtMs = performance.now();
		const result = await callRpc<FoldResult>({
			address, method: 'control.fold', params: message, timeoutMs: leaseTimes.askTimeoutMs,
		});
		if (result.type === 'wantsAll') {
			restartFold(fold);
			return;
		}

		onWord({askedAtMs, untilMs: askedAtMs + result.leaseMs, revision: result.revision});
	};

	return {
		async send() {
			const address = leaderAddress();
			const isOwn = isLeader();
			if (isSending || (!isOwn && address === undefined)) {
				return;
			}

			const message = takeFold(fold, performance.now());
			if (message === null) {
				return;
			}

			isSending = true;
			try {
				if (!isOwn) {
					await sendTo(address!, message);
				} else if (!hearOwn(message)) {
					restartFold(fold);
				}
			} catch {
				// Whether the leader took it is not known; the next message says everything.
				restartFold(fold);
			} finally {
				isSending = false;
			}
		},
		startForLeader() {
			startFoldForLeader(fold);
		},
	};
};
