/** The rates that one request was granted. */
export type Grant = {readonly number: number; readonly rates: Readonly<Record<string, number>>; readonly untilMs: number};

/** A grant as the borrower knows it, with the teams for which it received less than it requested. */
type Borrowed = Grant & {readonly exhaustedTeams: ReadonlySet<string>};

/** What an entry has lent to other entries and borrowed from them. */
export type Loans = {
	/** By borrower and incarnation. Several grants count while it is unknown which of them the borrower received. */
	readonly lent: Map<string, Grant[]>;
	/** By lender. */
	readonly borrowed: Map<string, Borrowed>;
	/** Number of the last request to each lender, and the rates it requested. */
	readonly requestNumbers: Map<string, number>;
	readonly requestedRates: Map<string, Readonly<Record<string, number>>>;
	/** Where the next search for lenders starts. */
	nextLenderIndex: number;
};

export const createLoans = (): Loans => ({
	lent: new Map(), borrowed: new Map(), requestNumbers: new Map(), requestedRates: new Map(), nextLenderIndex: 0,
});

const rateIn = ({rates}: Grant, teamId: string): number => rates[teamId] ?? 0;

/** The highest rate that the borrower may hold under these grants. */
const maxRateOf = (grants: readonly Grant[], teamId: string, nowMs: number): number => {
	let maxRate = 0;
	for (const grant of grants) {
		maxRate = grant.untilMs > nowMs ? Math.max(maxRate, rateIn(grant, teamId)) : maxRate;
	}

	return maxRate;
};

/** The part of this entry's share that other entries may spend. */
export const committedRate = ({lent}: Loans, teamId: string, nowMs: number): number => {
	let sum = 0;
	for (const grants of lent.values()) {
		sum += maxRateOf(grants, teamId, nowMs);
	}

	return sum;
};

export const borrowedRate = ({borrowed}: Loans, teamId: string, nowMs: number): number => {
	let sum = 0;
	for (const grant of borrowed.values()) {
		sum += grant.untilMs > nowMs ? rateIn(grant, teamId) : 0;
	}

	return sum;
};

export const pruneLoans = ({lent, borrowed}: Loans, nowMs: number): void => {
	for (const [borrower, grants] of lent) {
		const active = grants.filter(({untilMs}) => untilMs > nowMs);
		if (active.length === 0) {
			lent.delete(borrower);
		} else {
			lent.set(borrower, active);
		}
	}

	for (const [lender, {untilMs}] of borrowed) {
		if (untilMs <= nowMs) {
			borrowed.delete(lender);
		}
	}
};

export const dropLoansOf = ({borrowed}: Loans, lender: string): void => {
	borrowed.delete(lender);
};

type LoanRequest = {readonly entryId: string; readonly incarnation: number; readonly number: number; readonly taken: number; readonly wants: Readonly<Record<string, number>>};

type Lending = {spareOf(teamId: string): number; readonly nowMs: number; readonly untilMs: number};

/**
 * Lends the requested rates as far as spare capacity allows. A borrower whose
 * answer was lost still holds an earlier grant, so that grant counts until it
 * expires or the borrower acknowledges a later one.
 */
export const grantLoans = ({lent}: Loans, {entryId, incarnation, number, taken, wants}: LoanRequest, {spareOf, nowMs, untilMs}: Lending): Record<string, number> => {
	const key = `${entryId}/${incarnation}`;
	const existingGrants = lent.get(key) ?? [];
	if (existingGrants.some(grant => grant.number >= number)) {
		return {};
	}

	const grants = existingGrants.filter(grant => grant.untilMs > nowMs && grant.number >= taken);
	lent.set(key, grants);
	const rates: Record<string, number> = {};
	for (const [teamId, requestedRate] of Object.entries(wants)) {
		const rate = Math.min(requestedRate, maxRateOf(grants, teamId, nowMs) + spareOf(teamId));
		if (rate > 0) {
			rates[teamId] = rate;
		}
	}

	if (Object.keys(rates).length > 0) {
		grants.push({number, rates, untilMs});
	}

	return rates;
};

/** Applies an answer, unless a later one has been applied. */
export const recordLoans = (
	{borrowed, requestedRates, requestNumbers}: Loans,
	lender: string,
	{number, loans}: {readonly number: number; readonly loans: Readonly<Record<string, number>>},
	untilMs: number,
): void => {
	if (number < (borrowed.get(lender)?.number ?? 0)) {
		return;
	}

	const wants = number === requestNumbers.get(lender) ? requestedRates.get(lender) ?? {} : {};
	const exhaustedTeams = new Set(Object.keys(wants).filter(teamId => (loans[teamId] ?? 0) < wants[teamId]! * 0.99));
	borrowed.set(lender, {
		number, rates: loans, untilMs, exhaustedTeams,
	});
};

export type LoanPlan = {
	readonly memberIds: readonly string[];
	/** Tokens per second, by team; negative where the current share exceeds the need. */
	readonly shortfall: ReadonlyMap<string, number>;
	readonly maxLenders: number;
	readonly nowMs: number;
};

/** Current lenders first, then the other members in round-robin order, so that every entry receives a request eventually. */
const chooseLenders = (loans: Loans, {memberIds, maxLenders, nowMs}: LoanPlan): string[] => {
	const isLending = (entryId: string): boolean => {
		const loan = loans.borrowed.get(entryId);
		return loan !== undefined && loan.untilMs > nowMs && Object.keys(loan.rates).length > 0;
	};

	const chosen = memberIds.filter(entryId => isLending(entryId)).slice(0, maxLenders);
	for (let checked = 0; checked < memberIds.length && chosen.length < maxLenders; checked++) {
		const entryId = memberIds[loans.nextLenderIndex % memberIds.length]!;
		loans.nextLenderIndex++;
		if (!chosen.includes(entryId)) {
			chosen.push(entryId);
		}
	}

	return chosen;
};

/** Plans the loan requests: the shortfall is split between the lenders that granted their last request in full. */
export const planLoans = (loans: Loans, plan: LoanPlan): Map<string, Record<string, number>> => {
	const wants = new Map<string, Record<string, number>>();
	const teams = [...plan.shortfall].filter(([teamId, shortfall]) => shortfall > 0 || borrowedRate(loans, teamId, plan.nowMs) > 0);
	if (teams.length === 0) {
		return wants;
	}

	const lenders = chooseLenders(loans, plan);
	for (const [teamId, shortfall] of teams) {
		const willingLenders = lenders.filter(lender => !(loans.borrowed.get(lender)?.exhaustedTeams.has(teamId) ?? false));
		const requestedLenders = willingLenders.length === 0 ? lenders : willingLenders;
		const borrowed = borrowedRate(loans, teamId, plan.nowMs);
		for (const lender of lenders) {
			const borrowedFromLender = loans.borrowed.get(lender)?.rates[teamId] ?? 0;
			const increase = requestedLenders.includes(lender) ? shortfall / requestedLenders.length : 0;
			const requestedRate = shortfall > 0 ? borrowedFromLender + increase : borrowedFromLender * Math.max(0, 1 + (shortfall / borrowed));
			if (requestedRate >= 1) {
				wants.set(lender, {...wants.get(lender), [teamId]: requestedRate});
			}
		}
	}

	for (const [lender, rates] of wants) {
		loans.requestedRates.set(lender, rates);
	}

	return wants;
};
