import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	adjustBudget, createLinkBudget, createSourceBackoffs, createUploads, takeFromBudget, type SourceBackoffs, type Uploads,
} from '@bitternpaddle/coordination';

export type TransferLinksOptions = {
	/** `null`: unlimited. */
	readonly inBytesPerSecond: number | null;
	readonly outBytesPerSecond: number | null;
	readonly hasStore: boolean;
	/** Requests running at the request gate, and its capacity. */
	gateLoad(): {readonly running: number; readonly capacity: number};
};

/** Resources shared by all transfers of this host: its link in both directions, its upload slots and the backoffs of the sources. */
export type TransferLinks = {
	readonly uploads: Uploads;
	readonly backoffs: SourceBackoffs;
	/** Resolves once the budget allows `sizeBytes` to be received. */
	throttleIncoming(sizeBytes: number, signal?: AbortSignal): Promise<void>;
	throttleOutgoing(sizeBytes: number, signal?: AbortSignal): Promise<void>;
	/** Share of the budget that live requests leave to transfers. */
	share(): number;
	close(): void;
};

const adjustIntervalMs = 100;
const delayResolutionMs = 10;
const nanosecondsPerMs = 1_000_000;
const lagPercentile = 90;

export const createTransferLinks = ({inBytesPerSecond, outBytesPerSecond, hasStore, gateLoad}: TransferLinksOptions): TransferLinks => {
	const incoming = createLinkBudget(inBytesPerSecond);
	const outgoing = createLinkBudget(outBytesPerSecond);
	const loopDelay = monitorEventLoopDelay({resolution: delayResolutionMs});
	loopDelay.enable();
	const timer = setInterval(() => {
		const lagMs = Math.max(0, (loopDelay.percentile(lagPercentile) / nanosecondsPerMs) - delayResolutionMs);
		loopDelay.reset();
		for (const budget of [incoming, outgoing]) {
			adjustBudget(budget, {lagMs, ...gateLoad()});
		}
	}, adjustIntervalMs);
	const throttle = async (budget: typeof incoming, sizeBytes: number, signal?: AbortSignal): Promise<void> => {
		const waitMs = takeFromBudget(budget, sizeBytes, performance.now());
		if (waitMs > 0) {
			await delay(waitMs, undefined, {signal});
		}
	};

	return {
		uploads: createUploads(),
		backoffs: createSourceBackoffs(hasStore),
		throttleIncoming: async (sizeBytes, signal) => throttle(incoming, sizeBytes, signal),
		throttleOutgoing: async (sizeBytes, signal) => throttle(outgoing, sizeBytes, signal),
		share: () => Math.min(incoming.share, outgoing.share),
		close() {
			clearInterval(timer);
			loopDelay.disable();
		},
	};
};
