/**
 * What transfers may use of one direction of this host's link. Live requests
 * share that link and this process: when they suffer, the budget shrinks at
 * once and grows back slowly.
 */
export type LinkBudget = {
	/** Null: not limited. */
	readonly bytesPerSecond: number | null;
	/** Share of the rate that transfers may use now, up to 1. */
	share: number;
	freeAtMs: number;
};

/** How the door's requests fare. */
export type DoorStrain = {
	/** How late the loop runs that answers callers. */
	readonly lagMs: number;
	readonly running: number;
	readonly capacity: number;
};

const minShare = 0.1;
const shrinkFactor = 0.7;
const growStep = 0.05;
const lagLimitMs = 20;
/** Above this occupancy new requests soon wait. */
const occupancyLimit = 0.9;

export const createLinkBudget = (bytesPerSecond: number | null): LinkBudget => ({bytesPerSecond, share: 1, freeAtMs: 0});

/** Takes `sizeBytes` from the budget; the bytes may pass after the wait that it returns. */
export const takeFromBudget = (budget: LinkBudget, sizeBytes: number, nowMs: number): number => {
	if (budget.bytesPerSecond === null) {
		return 0;
	}

	const durationMs = sizeBytes / (budget.bytesPerSecond * budget.share) * 1000;
	budget.freeAtMs = Math.max(nowMs, budget.freeAtMs) + durationMs;
	return budget.freeAtMs - nowMs;
};

export const adjustBudget = (budget: LinkBudget, {lagMs, running, capacity}: DoorStrain): void => {
	const isStrained = lagMs > lagLimitMs || running >= capacity * occupancyLimit;
	budget.share = isStrained ? Math.max(minShare, budget.share * shrinkFactor) : Math.min(1, budget.share + growStep);
};
