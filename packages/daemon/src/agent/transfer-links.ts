import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	adjustBudget, createLinkBudget, createSourceRests, createUploads, takeFromBudget, type SourceRests, type Uploads,
} from '@bitternpaddle/coordination';

export type TransferLinksOptions = {
	/** Null: not limited. */
	readonly inBytesPerSecond: number | null;
	readonly outBytesPerSecond: number | null;
	readonly hasStore: boolean;
	/** Requests at the door now, and how many fit. */
	door(): {readonly running: number; readonly capacity: number};
};

/** What all transfers of this host share: its link in both directions, its places for uploads, the sources' rests. */
export type TransferLinks = {
	readonly uploads: Uploads;
	readonly rests: SourceRests;
	/** Resolves once `sizeBytes` may come in. */
	takeIn(sizeBytes: number, signal?: AbortSignal): Promise<void>;
	takeOut(sizeBytes: number, signal?: AbortSignal): Promise<void>;
	/** Share of the budget that live requests leave now. */
	share(): number;
	close(): void;
};

const adjustEveryMs = 100;
const delayResolutionMs = 10;
const nanosecondsPerMs = 1_000_000;
const observedPercentile = 90;

export const createTransferLinks = ({inBytesPerSecond, outBytesPerSecond, hasStore, door}: TransferLinksOptions): TransferLinks => {
	const incoming = createLinkBudget(inBytesPerSecond);
	const outgoing = createLinkBudget(outBytesPerSecond);
	const loopDelay = monitorEventLoopDelay({resolution: delayResolutionMs});
	loopDelay.enable();
	const timer = setInterval(() => {
		const lagMs = Math.max(0, (loopDelay.percentile(observedPercentile) / nanosecondsPerMs) - delayResolutionMs);
		loopDelay.reset();
		for (const budget of [incoming, outgoing]) {
			adjustBudget(budget, {lagMs, ...door()});
		}
	}, adjustEveryMs);
	const take = async (budget: typeof incoming, sizeBytes: number, signal?: AbortSignal): Promise<void> => {
		const waitMs = takeFromBudget(budget, sizeBytes, performance.now());
		if (waitMs > 0) {
			await delay(waitMs, undefined, {signal});
		}
	};

	return {
		uploads: createUploads(),
		rests: createSourceRests(hasStore),
		takeIn: async (sizeBytes, signal) => take(incoming, sizeBytes, signal),
		takeOut: async (sizeBytes, signal) => take(outgoing, sizeBytes, signal),
		share: () => Math.min(incoming.share, outgoing.share),
		close() {
			clearInterval(timer);
			loopDelay.disable();
		},
	};
};
