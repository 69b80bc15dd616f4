/** What one request was granted. */
export type Grant = {readonly number: number; readonly rates: Readonly<Record<string, number>>; readonly untilMs: number};

/** A grant as the borrower has it, and what it had asked for. */
type Borrowed = Grant & {readonly isDry: ReadonlySet<string>};

/** What an entry lent to others and borrowed from them. */
export type Loans = {
	/** By borrower and its incarnation. More than one grant counts while it is not known which of them the borrower has. */
	readonly lent: Map<string, Grant[]>;
	/** By lender. */
	readonly borrowed: Map<string, Borrowed>;
	/** Number of the last request to each lender, and what it wanted. */
	readonly asked: Map<string, number>;
	readonly wanted: Map<string, Readonly<Record<string, number>>>;
	/** Where the next look for lenders begins. */
	turn: number;
};

export const createLoans = (): Loans => ({
	lent: new Map(), borrowed: new Map(), asked: new Map(), wanted: new Map(), turn: 0,
});

const rateIn = ({rates}: Grant, teamId: string): number => rates[teamId] ?? 0;

/** The most that the borrower may have of these. */
const mostOf = (grants: readonly Grant[], teamId: string, nowMs: number): number => {
	let most = 0;
	for (const grant of grants) {
		most = grant.untilMs > nowMs ? Math.max(most, rateIn(grant, teamId)) : most;
	}

	return most;
};

/** What others may spend of this entry's part. */
export const committedRate = ({lent}: Loans, teamId: string, nowMs: number): number => {
	let sum = 0;
	for (const grants of lent.values()) {
		sum += mostOf(grants, teamId, nowMs);
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
		const left = grants.filter(({untilMs}) => untilMs > nowMs);
		if (left.length === 0) {
			lent.delete(borrower);
		} else {
			lent.set(borrower, left);
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
 * Lends what is asked as far as there is some to spare. A borrower whose answer
 * got lost still has an earlier grant, so that counts until its time is over or
 * the borrower says that it has taken a later one.
 */
export const answerLoans = ({lent}: Loans, {entryId, incarnation, number, taken, wants}: LoanRequest, {spareOf, nowMs, untilMs}: Lending): Record<string, number> => {
	const key = `${entryId}/${incarnation}`;
	const known = lent.get(key) ?? [];
	if (known.some(grant => grant.number >= number)) {
		return {};
	}

	const grants = known.filter(grant => grant.untilMs > nowMs && grant.number >= taken);
	lent.set(key, grants);
	const rates: Record<string, number> = {};
	for (const [teamId, wanted] of Object.entries(wants)) {
		const rate = Math.min(wanted, mostOf(grants, teamId, nowMs) + spareOf(teamId));
		if (rate > 0) {
			rates[teamId] = rate;
		}
	}

	if (Object.keys(rates).length > 0) {
		grants.push({number, rates, untilMs});
	}

	return rates;
};

/** Takes an answer, unless a later one was taken. */
export const takeLoans = ({borrowed, wanted, asked}: Loans, lender: string, {number, loans}: {readonly number: number; readonly loans: Readonly<Record<string, number>>}, untilMs: number): void => {
	if (number < (borrowed.get(lender)?.number ?? 0)) {
		return;
	}

	const wants = number === asked.get(lender) ? wanted.get(lender) ?? {} : {};
	const isDry = new Set(Object.keys(wants).filter(teamId => (loans[teamId] ?? 0) < wants[teamId]! * 0.99));
	borrowed.set(lender, {
		number, rates: loans, untilMs, isDry,
	});
};

export type LoanPlan = {
	readonly memberIds: readonly string[];
	/** Tokens a second, by team; negative where less is needed than is there. */
	readonly lacking: ReadonlyMap<string, number>;
	readonly lendersAtOnce: number;
	readonly nowMs: number;
};

/** Those that lend already, and others in turn, so that every entry is asked some time. */
const chooseLenders = (loans: Loans, {memberIds, lendersAtOnce, nowMs}: LoanPlan): string[] => {
	const isLending = (entryId: string): boolean => {
		const loan = loans.borrowed.get(entryId);
		return loan !== undefined && loan.untilMs > nowMs && Object.keys(loan.rates).length > 0;
	};

	const chosen = memberIds.filter(entryId => isLending(entryId)).slice(0, lendersAtOnce);
	for (let looked = 0; looked < memberIds.length && chosen.length < lendersAtOnce; looked++) {
		const entryId = memberIds[loans.turn % memberIds.length]!;
		loans.turn++;
		if (!chosen.includes(entryId)) {
			chosen.push(entryId);
		}
	}

	return chosen;
};

/** What to ask of whom: what is lacking is split between those that gave all that they were asked last. */
export const planLoans = (loans: Loans, plan: LoanPlan): Map<string, Record<string, number>> => {
	const wants = new Map<string, Record<string, number>>();
	const teams = [...plan.lacking].filter(([teamId, lacking]) => lacking > 0 || borrowedRate(loans, teamId, plan.nowMs) > 0);
	if (teams.length === 0) {
		return wants;
	}

	const lenders = chooseLenders(loans, plan);
	for (const [teamId, lacking] of teams) {
		const giving = lenders.filter(lender => !(loans.borrowed.get(lender)?.isDry.has(teamId) ?? false));
		const asked = giving.length === 0 ? lenders : giving;
		const borrowed = borrowedRate(loans, teamId, plan.nowMs);
		for (const lender of lenders) {
			const held = loans.borrowed.get(lender)?.rates[teamId] ?? 0;
			const more = asked.includes(lender) ? lacking / asked.length : 0;
			const wanted = lacking > 0 ? held + more : held * Math.max(0, 1 + (lacking / borrowed));
			if (wanted >= 1) {
				wants.set(lender, {...wants.get(lender), [teamId]: wanted});
			}
		}
	}

	for (const [lender, wanted] of wants) {
		loans.wanted.set(lender, wanted);
	}

	return wants;
};
