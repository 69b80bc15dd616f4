import {ownTerms, type RetryTerms} from './retry-terms.js';

type CreditSlot = {readonly atMs: number; amount: number};

/** Further attempts that one entry may make for one service without a grant of a core host. */
export type RetryCredit = {
	readonly perRequest: number;
	readonly lifeMs: number;
	/** What was earned and is not spent, by time, in fractions of an attempt. */
	slots: CreditSlot[];
};

/** One attempt that was taken from a credit. */
export type CreditCharge = ReadonlyArray<{readonly slot: CreditSlot; readonly amount: number}>;

const slotMs = 50;
/** Sums of fractions that should be a whole attempt may fall short by rounding. */
const roundingError = 1e-9;

export const createRetryCredit = (terms: Pick<RetryTerms, 'share' | 'windowMs'>): RetryCredit => ({...ownTerms(terms), slots: []});

const dropExpired = (credit: RetryCredit, nowMs: number): void => {
	credit.slots = credit.slots.filter(({atMs}) => nowMs - atMs < credit.lifeMs);
};

/** Records a request, which earns a part of an attempt. */
export const earnCredit = (credit: RetryCredit, nowMs: number): void => {
	const last = credit.slots.at(-1);
	if (last !== undefined && nowMs - last.atMs < slotMs) {
		last.amount += credit.perRequest;
		return;
	}

	dropExpired(credit, nowMs);
	credit.slots.push({atMs: nowMs, amount: credit.perRequest});
};

/** Attempts that may be taken now, in fractions. */
export const creditLeft = (credit: RetryCredit, nowMs: number): number => {
	dropExpired(credit, nowMs);
	return credit.slots.reduce((sum, {amount}) => sum + amount, 0);
};

/** Takes one attempt, of what expires first; `null` if too little is left. */
export const takeCredit = (credit: RetryCredit, nowMs: number): CreditCharge | null => {
	if (creditLeft(credit, nowMs) < 1 - roundingError) {
		return null;
	}

	let missing = 1;
	return credit.slots.flatMap(slot => {
		const amount = Math.min(missing, slot.amount);
		missing -= amount;
		slot.amount -= amount;
		return amount > 0 ? [{slot, amount}] : [];
	});
};

/** Returns an attempt that was not sent; expired credit is not restored. */
export const returnCredit = (charge: CreditCharge): void => {
	for (const {slot, amount} of charge) {
		slot.amount += amount;
	}
};
