import {
	answerLoans, borrowedRate, committedRate, createLoans, dropLoansOf, planLoans, pruneLoans, takeLoans, type Loans,
} from './loans.js';
import {noteUse, type Need, type TeamUse} from './share-needs.js';

export type EntrySharesOptions = {
	readonly entryId: string;
	/** Greater after each start. */
	readonly incarnation: number;
	/** How long a loan lasts, from its asking. @default 3000 */
	readonly loanMs?: number;
	/** What a lender adds to that, for clocks that run unlike and ticks that come late. @default 500 */
	readonly marginMs?: number;
	/** An entry that control has not named for this long gives up its part. @default 12000 */
	readonly forgetMs?: number;
	/** @default 1000 */
	readonly askEveryMs?: number;
	/** Entries asked at a time. @default 16 */
	readonly lendersAtOnce?: number;
};

/** What one entry asks of another; without wants it only says that it is there. */
export type ShareRequest = {
	readonly entryId: string;
	readonly incarnation: number;
	/** Grows with each request to the same entry. */
	readonly number: number;
	/** Number of the last request whose answer was taken: what was granted before it is void. */
	readonly taken: number;
	/** Tokens a second, by team. */
	readonly wants: Readonly<Record<string, number>>;
};

export type ShareAnswer = {
	readonly incarnation: number;
	readonly number: number;
	/** The entry asked counts the asking one among those that share the limit. */
	readonly isCounted: boolean;
	/** All entries that it counts. */
	readonly entryIds: readonly string[];
	/** Until what it lent fits into its part as it is now. */
	readonly waitMs: number;
	readonly loans: Readonly<Record<string, number>>;
};

type Member = {
	/** Since when control does not name it; `null` while it does. */
	missingSinceMs: number | null;
	incarnation: number;
	/** From when on it leaves this entry its part; `null` until it has said so. */
	readyAtMs: number | null;
};

/** One entry's part of the fleet-wide limit: an equal part, less what it lent, and what it borrowed. */
export type EntryShares = {
	readonly options: Required<EntrySharesOptions>;
	readonly members: Map<string, Member>;
	/** Tokens a second over all entries, by team. */
	teamRates: ReadonlyMap<string, number>;
	readonly needs: Map<string, Need>;
	readonly loans: Loans;
	/** Since when control names this entry; `null` while it does not. */
	listedAtMs: number | null;
	/** When control was last asked and named this entry. */
	namedAtMs: number;
	isJoined: boolean;
	askedAtMs: number;
};

export const createEntryShares = (options: EntrySharesOptions): EntryShares => ({
	options: {
		loanMs: 3000, marginMs: 500, forgetMs: 12_000, askEveryMs: 1000, lendersAtOnce: 16, ...options,
	},
	members: new Map(), teamRates: new Map(), needs: new Map(), loans: createLoans(), listedAtMs: null, namedAtMs: Number.NEGATIVE_INFINITY, isJoined: false, askedAtMs: Number.NEGATIVE_INFINITY,
});

/** Takes what each team may have a second over all entries. */
export const setTeamRates = (state: EntryShares, teamRates: ReadonlyMap<string, number>): void => {
	state.teamRates = teamRates;
};

/** Entries that share the limit, this one included. */
export const countEntries = ({members}: EntryShares): number => members.size + 1;

const addMember = ({members}: EntryShares, entryId: string): Member => {
	let member = members.get(entryId);
	if (member === undefined) {
		member = {missingSinceMs: null, incarnation: 0, readyAtMs: null};
		members.set(entryId, member);
	}

	return member;
};

/**
 * Takes control's list of entries. A new one counts at once; one that is no
 * longer named counts on for a while: it may still spend its part, or a leader
 * that has just taken over may not have heard of it yet.
 */
export const takeEntries = (state: EntryShares, entryIds: readonly string[], {askedAtMs, nowMs}: {readonly askedAtMs: number; readonly nowMs: number}): void => {
	const {entryId: ownId} = state.options;
	if (entryIds.includes(ownId)) {
		state.listedAtMs ??= nowMs;
		state.namedAtMs = Math.max(state.namedAtMs, askedAtMs);
	}

	const named = new Set(entryIds);
	for (const entryId of named) {
		if (entryId !== ownId) {
			addMember(state, entryId).missingSinceMs = null;
		}
	}

	for (const [entryId, member] of state.members) {
		if (!named.has(entryId)) {
			member.missingSinceMs ??= nowMs;
		}
	}
};

/** After this long an entry that cannot reach control has given up its part, and what it lent just before has ended. */
const goneMs = ({forgetMs, loanMs, marginMs}: Required<EntrySharesOptions>): number => forgetMs + loanMs + marginMs;

const dropMissing = ({members, options}: EntryShares, nowMs: number): void => {
	for (const [entryId, {missingSinceMs}] of members) {
		if (missingSinceMs !== null && nowMs - missingSinceMs >= goneMs(options)) {
			members.delete(entryId);
		}
	}
};

/** An equal part; nothing before the others have left it to this entry. */
export const ownPart = (state: EntryShares, teamId: string): number => state.isJoined
	? (state.teamRates.get(teamId) ?? 0) / countEntries(state)
	: 0;

/** Tokens a second that this entry may let through for a team now. */
export const shareOf = (state: EntryShares, teamId: string, nowMs: number): number => Math.max(0, ownPart(state, teamId) - committedRate(state.loans, teamId, nowMs))
	+ borrowedRate(state.loans, teamId, nowMs);

/** Until what this entry lent fits into its part again, after the part became smaller. */
const overcommittedMs = (state: EntryShares, nowMs: number): number => {
	let untilMs = nowMs;
	for (const teamId of state.teamRates.keys()) {
		if (committedRate(state.loans, teamId, nowMs) > ownPart(state, teamId)) {
			for (const grants of state.loans.lent.values()) {
				for (const grant of grants) {
					untilMs = Math.max(untilMs, grant.untilMs);
				}
			}
		}
	}

	return untilMs - nowMs;
};

/** An entry that was started anew has forgotten what it lent, and would spend it a second time. */
const noteIncarnation = ({members, loans}: EntryShares, entryId: string, incarnation: number): void => {
	const member = members.get(entryId)!;
	if (incarnation > member.incarnation) {
		dropLoansOf(loans, entryId);
		member.incarnation = incarnation;
	}
};

/** Answers another entry. One that control has not named yet is told so, and nothing is lent to it. */
export const answerShareRequest = (state: EntryShares, request: ShareRequest, nowMs: number): ShareAnswer => {
	const {entryId, incarnation, number} = request;
	const member = state.members.get(entryId);
	// One that control does not name at present may stop to count at any moment.
	const isCounted = member?.missingSinceMs === null && incarnation >= member.incarnation;
	if (isCounted) {
		noteIncarnation(state, entryId, incarnation);
	}

	const {loanMs, marginMs, entryId: ownId} = state.options;
	const lending = {spareOf: (teamId: string) => spareOf(state, teamId, nowMs), nowMs, untilMs: nowMs + loanMs + marginMs};
	return {
		incarnation: state.options.incarnation, number, isCounted, entryIds: [ownId, ...state.members.keys()], waitMs: overcommittedMs(state, nowMs),
		loans: isCounted ? answerLoans(state.loans, request, lending) : {},
	};
};

/** What this entry could lend: its part without what it needs itself. What it borrowed it does not lend on. */
const spareOf = (state: EntryShares, teamId: string, nowMs: number): number => ownPart(state, teamId) - (state.needs.get(teamId)?.rate ?? 0)
	- committedRate(state.loans, teamId, nowMs);

/** Takes the answer of another entry to a request that was sent at `sentAtMs`. */
export const takeShareAnswer = (state: EntryShares, from: string, answer: ShareAnswer, {sentAtMs, nowMs}: {readonly sentAtMs: number; readonly nowMs: number}): void => {
	const member = state.members.get(from);
	if (member === undefined || answer.incarnation < member.incarnation || !answer.isCounted) {
		return;
	}

	noteIncarnation(state, from, answer.incarnation);
	if (state.listedAtMs !== null) {
		member.readyAtMs ??= nowMs + answer.waitMs;
	}

	if (!state.isJoined) {
		// It joins together with others that control has not named to it yet.
		for (const entryId of answer.entryIds.filter(id => id !== state.options.entryId)) {
			addMember(state, entryId);
		}
	}

	takeLoans(state.loans, from, answer, sentAtMs + state.options.loanMs);
};

/**
 * Others stop to count an entry that control does not name, and take its part.
 * One that was cut off comes back with nothing, or its part would be spent twice.
 */
const noteForgotten = (state: EntryShares, nowMs: number): void => {
	if (state.listedAtMs === null || nowMs - state.namedAtMs < state.options.forgetMs) {
		return;
	}

	state.isJoined = false;
	state.listedAtMs = null;
	for (const member of state.members.values()) {
		member.readyAtMs = null;
	}
};

const noteJoined = (state: EntryShares, nowMs: number): void => {
	const {listedAtMs, members, options} = state;
	if (state.isJoined || listedAtMs === null) {
		return;
	}

	// One that does not answer has either heard of this entry from control or not heard control at all.
	const isOverdue = nowMs - listedAtMs >= goneMs(options);
	state.isJoined = [...members.values()].every(({readyAtMs}) => readyAtMs === null ? isOverdue : readyAtMs <= nowMs);
};

/** A request to be sent to an entry. */
export type ShareAsk = {readonly to: string; readonly request: ShareRequest};

/** Called once or twice a second with what the teams used; returns whom to ask for what. */
export const tickShares = (state: EntryShares, uses: ReadonlyMap<string, TeamUse>, nowMs: number): ShareAsk[] => {
	const elapsedMs = nowMs - state.askedAtMs;
	pruneLoans(state.loans, nowMs);
	dropMissing(state, nowMs);
	noteForgotten(state, nowMs);
	noteJoined(state, nowMs);
	if (elapsedMs < state.options.askEveryMs) {
		return [];
	}

	noteUse(state.needs, uses, Number.isFinite(elapsedMs) ? elapsedMs : 0);
	state.askedAtMs = nowMs;
	const lacking = new Map<string, number>();
	for (const [teamId, {rate, demand}] of state.needs) {
		// What lacks may be negative: then less is borrowed from now on. Without demand the own part is enough.
		const wanted = demand < 1 ? 0 : rate;
		lacking.set(teamId, wanted - shareOf(state, teamId, nowMs));
	}

	const plan = planLoans(state.loans, {
		memberIds: [...state.members.keys()], lacking, lendersAtOnce: state.options.lendersAtOnce, nowMs,
	});
	const asks: ShareAsk[] = [];
	const isJoining = !state.isJoined && state.listedAtMs !== null && state.teamRates.size > 0;
	for (const [to, {readyAtMs}] of state.members) {
		const wants = plan.get(to);
		if (wants !== undefined || (isJoining && readyAtMs === null)) {
			asks.push({to, request: nextRequest(state, to, wants ?? {})});
		}
	}

	return asks;
};

const nextRequest = ({options, loans}: EntryShares, to: string, wants: Readonly<Record<string, number>>): ShareRequest => {
	const number = (loans.asked.get(to) ?? 0) + 1;
	loans.asked.set(to, number);
	return {
		entryId: options.entryId, incarnation: options.incarnation, number, taken: loans.borrowed.get(to)?.number ?? 0, wants,
	};
};
