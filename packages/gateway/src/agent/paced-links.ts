import {setTimeout as delay} from 'node:timers/promises';
import {
	createLinkBudget, createSourceBackoffs, createUploads, takeFromBudget, type LinkBudget,
} from '@bitternpaddle/coordination';
import type {TransferLinks} from '@bitternpaddle/daemon/transfer';

export type PacedLinksOptions = {
	/** Bandwidth of the host's link in each direction. */
	readonly bytesPerSecond: number;
	/** Share of the bandwidth that transfers may use now. */
	share(): number;
};

/** Paces transfers to a share of the host's link, because the engine answers callers over the same link. */
export const createPacedLinks = ({bytesPerSecond, share}: PacedLinksOptions): TransferLinks => {
	const incoming = createLinkBudget(bytesPerSecond);
	const outgoing = createLinkBudget(bytesPerSecond);
	const consume = async (budget: LinkBudget, sizeBytes: number, signal?: AbortSignal): Promise<void> => {
		budget.share = share();
		const waitMs = takeFromBudget(budget, sizeBytes, performance.now());
		if (waitMs > 0) {
			await delay(waitMs, undefined, {signal});
		}
	};

	return {
		uploads: createUploads(),
		backoffs: createSourceBackoffs(false),
		throttleIncoming: async (sizeBytes, signal) => consume(incoming, sizeBytes, signal),
		throttleOutgoing: async (sizeBytes, signal) => consume(outgoing, sizeBytes, signal),
		share,
		close: () => undefined,
	};
};
