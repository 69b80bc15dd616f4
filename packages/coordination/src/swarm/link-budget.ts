/**
 * Bandwidth budget of transfers for one direction of this host's link. Live
 * requests share that link and this process: when they slow down, the budget
 * is reduced at once, and then increased again slowly.
 */
export type LinkBudget = {
	/** `null` if unlimited. */
	readonly bytesPerSecond: number | null;
	/** Share of the rate that transfers may currently use, at most 1. */
	share: number;
	freeAtMs: number;
};

/** Load of the request gate. */
export type RequestGateLoad = {
	/** Delay of the event loop that serves requests. */
	readonly lagMs: number;
	readonly running: number;
	readonly capacity: number;
};

const minShare = 0.1;
const shrinkFactor = 0.7;
const growStep = 0.05;
const lagLimitMs = 20;
/** Above this occupancy, new requests would soon have to wait. */
const occupancyLimit = 0.9;

export const createLinkBudget = (bytesPerSecond: number | null): LinkBudget => ({bytesPerSecond, share: 1, freeAtMs: 0});

/** Reserves `sizeBytes` of the budget and returns the time in ms to wait before the bytes may be transferred. */
export const takeFromBudget = (budget: LinkBudget, sizeBytes: number, nowMs: number): number => {
	if (budget.bytesPerSecond === null) {
		return 0;
	}

	const durationMs = sizeBytes / (budget.bytesPerSecond * budget.share) * 1000;
	budget.freeAtMs = Math.max(nowMs, budget.freeAtMs) + durationMs;
	return budget.freeAtMs - nowMs;
};

export const adjustBudget = (budget: LinkBudget, {lagMs, running, capacity}: RequestGateLoad): void => {
	const isStrained = lagMs > lagLimitMs || running >= capacity * occupancyLimit;
	budget.share = isStrained ? Math.max(minShare, budget.share * shrinkFactor) : Math.min(1, budget.share + growStep);
};
