import {setTimeout as delay} from 'node:timers/promises';
import {
	createLinkBudget, createSourceRests, createUploads, takeFromBudget, type LinkBudget,
} from '@bitternpaddle/coordination';
import type {TransferLinks} from '@bitternpaddle/daemon/transfer';

export type PacedLinksOptions = {
	/** What the host's link carries each way. */
	readonly bytesPerSecond: number;
	/** What of it transfers may take now. */
	share(): number;
};

/** What transfers take of a host's link, at a steady pace: the engine beside it answers callers over the same link. */
export const createPacedLinks = ({bytesPerSecond, share}: PacedLinksOptions): TransferLinks => {
	const incoming = createLinkBudget(bytesPerSecond);
	const outgoing = createLinkBudget(bytesPerSecond);
	const take = async (budget: LinkBudget, sizeBytes: number, signal?: AbortSignal): Promise<void> => {
		budget.share = share();
		const waitMs = takeFromBudget(budget, sizeBytes, performance.now());
		if (waitMs > 0) {
			await delay(waitMs, undefined, {signal});
		}
	};

	return {
		uploads: createUploads(),
		rests: createSourceRests(false),
		takeIn: async (sizeBytes, signal) => take(incoming, sizeBytes, signal),
		takeOut: async (sizeBytes, signal) => take(outgoing, sizeBytes, signal),
		share,
		close: () => undefined,
	};
};
