import {
	grantLoans, borrowedRate, committedRate, createLoans, dropLoansOf, planLoans, pruneLoans, recordLoans, type Loans,
} from './loans.js';
import {updateNeeds, type Need, type TeamUsage} from './share-needs.js';

export type EntrySharesOptions = {
	readonly entryId: string;
	/** Increases with every start. */
	readonly incarnation: number;
	/** Duration of a loan, counted from its request. @default 3000 */
	readonly loanMs?: number;
	/** Added to that by the lender, to allow for clock drift and delayed ticks. @default 500 */
	readonly marginMs?: number;
	/** An entry that control has not listed for this long releases its share. @default 12000 */
	readonly unlistedTimeoutMs?: number;
	/** @default 1000 */
	readonly requestIntervalMs?: number;
	/** Maximum number of entries requested for a loan at the same time. @default 16 */
	readonly maxLenders?: number;
};

/** Loan request from one entry to another; without `wants` it only announces the sender. */
export type ShareRequest = {
	readonly entryId: string;
	readonly incarnation: number;
	/** Sequence number; increases with each request to the same entry. */
	readonly number: number;
	/** Number of the last request whose answer was applied; earlier grants are void. */
	readonly taken: number;
	/** Tokens per second, by team. */
	readonly wants: Readonly<Record<string, number>>;
};

export type ShareAnswer = {
	readonly incarnation: number;
	readonly number: number;
	/** The responder counts the requester among the entries that share the limit. */
	readonly isCounted: boolean;
	/** All entries that the responder counts. */
	readonly entryIds: readonly string[];
	/** Time until the responder's outstanding loans fit into its current share. */
	readonly waitMs: number;
	readonly loans: Readonly<Record<string, number>>;
};

type Member = {
	/** When control stopped listing it; `null` while it is listed. */
	unlistedSinceMs: number | null;
	incarnation: number;
	/** When it will have released this entry's share; `null` until it has answered. */
	readyAtMs: number | null;
};

/** One entry's share of the fleet-wide limit: an equal share, minus what it lent, plus what it borrowed. */
export type EntryShares = {
	readonly options: Required<EntrySharesOptions>;
	readonly members: Map<string, Member>;
	/** Tokens per second over all entries, by team. */
	teamRates: ReadonlyMap<string, number>;
	readonly needs: Map<string, Need>;
	readonly loans: Loans;
	/** When control started listing this entry; `null` while it is not listed. */
	listedSinceMs: number | null;
	/** When the last request to control whose response listed this entry was sent. */
	lastListedAtMs: number;
	isJoined: boolean;
	lastRequestsAtMs: number;
};

export const createEntryShares = (options: EntrySharesOptions): EntryShares => ({
	options: {
		loanMs: 3000, marginMs: 500, unlistedTimeoutMs: 12_000, requestIntervalMs: 1000, maxLenders: 16, ...options,
	},
	members: new Map(), teamRates: new Map(), needs: new Map(), loans: createLoans(),
	listedSinceMs: null, lastListedAtMs: Number.NEGATIVE_INFINITY, isJoined: false, lastRequestsAtMs: Number.NEGATIVE_INFINITY,
});

/** Sets the fleet-wide rate of each team, in tokens per second. */
export const setTeamRates = (state: EntryShares, teamRates: ReadonlyMap<string, number>): void => {
	state.teamRates = teamRates;
};

/** Number of entries that share the limit, including this one. */
export const countEntries = ({members}: EntryShares): number => members.size + 1;

const getOrAddMember = ({members}: EntryShares, entryId: string): Member => {
	let member = members.get(entryId);
	if (member === undefined) {
		member = {unlistedSinceMs: null, incarnation: 0, readyAtMs: null};
		members.set(entryId, member);
	}

	return member;
};

/**
 * Applies control's list of entries. A new entry counts immediately. One that is
 * no longer listed keeps counting for a while: it may still be spending its
 * share, or a newly elected leader may not have received its report yet.
 */
export const updateEntries = (state: EntryShares, entryIds: readonly string[], {askedAtMs, nowMs}: {readonly askedAtMs: number; readonly nowMs: number}): void => {
	const {entryId: ownId} = state.options;
	if (entryIds.includes(ownId)) {
		state.listedSinceMs ??= nowMs;
		state.lastListedAtMs = Math.max(state.lastListedAtMs, askedAtMs);
	}

	const listed = new Set(entryIds);
	for (const entryId of listed) {
		if (entryId !== ownId) {
			getOrAddMember(state, entryId).unlistedSinceMs = null;
		}
	}

	for (const [entryId, member] of state.members) {
		if (!listed.has(entryId)) {
			member.unlistedSinceMs ??= nowMs;
		}
	}
};

/** After this time an entry that cannot reach control has released its share, and its most recent loans have expired. */
const removalDelayMs = ({unlistedTimeoutMs, loanMs, marginMs}: Required<EntrySharesOptions>): number => unlistedTimeoutMs + loanMs + marginMs;

const removeExpiredMembers = ({members, options}: EntryShares, nowMs: number): void => {
	for (const [entryId, {unlistedSinceMs}] of members) {
		if (unlistedSinceMs !== null && nowMs - unlistedSinceMs >= removalDelayMs(options)) {
			members.delete(entryId);
		}
	}
};

/** An equal share; zero until the other entries have released it to this entry. */
export const baseShare = (state: EntryShares, teamId: string): number => state.isJoined
	? (state.teamRates.get(teamId) ?? 0) / countEntries(state)
	: 0;

/** Tokens per second that this entry may currently admit for a team. */
export const shareOf = (state: EntryShares, teamId: string, nowMs: number): number => Math.max(0, baseShare(state, teamId) - committedRate(state.loans, teamId, nowMs))
	+ borrowedRate(state.loans, teamId, nowMs);

/** Time until this entry's outstanding loans fit into its share again, after the share became smaller. */
const overcommittedMs = (state: EntryShares, nowMs: number): number => {
	let untilMs = nowMs;
	for (const teamId of state.teamRates.keys()) {
		if (committedRate(state.loans, teamId, nowMs) > baseShare(state, teamId)) {
			for (const grants of state.loans.lent.values()) {
				for (const grant of grants) {
					untilMs = Math.max(untilMs, grant.untilMs);
				}
			}
		}
	}

	return untilMs - nowMs;
};

/** Drops the loans from a restarted entry: it no longer knows about them and would spend the same tokens again. */
const updateIncarnation = ({members, loans}: EntryShares, entryId: string, incarnation: number): void => {
	const member = members.get(entryId)!;
	if (incarnation > member.incarnation) {
		dropLoansOf(loans, entryId);
		member.incarnation = incarnation;
	}
};

/** Answers another entry. An entry that control has not listed yet is not counted and gets no loan. */
export const answerShareRequest = (state: EntryShares, request: ShareRequest, nowMs: number): ShareAnswer => {
	const {entryId, incarnation, number} = request;
	const member = state.members.get(entryId);
	// An entry that control does not list at present may stop being counted at any moment.
	const isCounted = member?.unlistedSinceMs === null && incarnation >= member.incarnation;
	if (isCounted) {
		updateIncarnation(state, entryId, incarnation);
	}

	const {loanMs, marginMs, entryId: ownId} = state.options;
	const lending = {spareOf: (teamId: string) => spareOf(state, teamId, nowMs), nowMs, untilMs: nowMs + loanMs + marginMs};
	return {
		incarnation: state.options.incarnation, number, isCounted, entryIds: [ownId, ...state.members.keys()], waitMs: overcommittedMs(state, nowMs),
		loans: isCounted ? grantLoans(state.loans, request, lending) : {},
	};
};

/** Rate that this entry can lend: its share minus its own needs. Borrowed tokens are not lent on. */
const spareOf = (state: EntryShares, teamId: string, nowMs: number): number => baseShare(state, teamId) - (state.needs.get(teamId)?.rate ?? 0)
	- committedRate(state.loans, teamId, nowMs);

/** Applies another entry's answer to a request that was sent at `sentAtMs`. */
export const applyShareAnswer = (state: EntryShares, from: string, answer: ShareAnswer, {sentAtMs, nowMs}: {readonly sentAtMs: number; readonly nowMs: number}): void => {
	const member = state.members.get(from);
	if (member === undefined || answer.incarnation < member.incarnation || !answer.isCounted) {
		return;
	}

	updateIncarnation(state, from, answer.incarnation);
	if (state.listedSinceMs !== null) {
		member.readyAtMs ??= nowMs + answer.waitMs;
	}

	if (!state.isJoined) {
		// Other entries that control has not listed to this one yet may be joining at the same time.
		for (const entryId of answer.entryIds.filter(id => id !== state.options.entryId)) {
			getOrAddMember(state, entryId);
		}
	}

	recordLoans(state.loans, from, answer, sentAtMs + state.options.loanMs);
};

/**
 * Other entries stop counting an entry that control no longer lists and take over
 * its share. An entry that was disconnected therefore rejoins with nothing;
 * otherwise its share would be spent twice.
 */
const leaveIfUnlisted = (state: EntryShares, nowMs: number): void => {
	if (state.listedSinceMs === null || nowMs - state.lastListedAtMs < state.options.unlistedTimeoutMs) {
		return;
	}

	state.isJoined = false;
	state.listedSinceMs = null;
	for (const member of state.members.values()) {
		member.readyAtMs = null;
	}
};

const joinIfReady = (state: EntryShares, nowMs: number): void => {
	const {listedSinceMs, members, options} = state;
	if (state.isJoined || listedSinceMs === null) {
		return;
	}

	// By then an entry that does not answer has either learned of this entry from control or lost contact with control and released its share.
	const isOverdue = nowMs - listedSinceMs >= removalDelayMs(options);
	state.isJoined = [...members.values()].every(({readyAtMs}) => readyAtMs === null ? isOverdue : readyAtMs <= nowMs);
};

/** A loan request and the entry to send it to. */
export type OutgoingShareRequest = {readonly to: string; readonly request: ShareRequest};

/** Called once or twice per second with the teams' usage; returns the loan requests to send. */
export const tickShares = (state: EntryShares, usages: ReadonlyMap<string, TeamUsage>, nowMs: number): OutgoingShareRequest[] => {
	const elapsedMs = nowMs - state.lastRequestsAtMs;
	pruneLoans(state.loans, nowMs);
	removeExpiredMembers(state, nowMs);
	leaveIfUnlisted(state, nowMs);
	joinIfReady(state, nowMs);
	if (elapsedMs < state.options.requestIntervalMs) {
		return [];
	}

	updateNeeds(state.needs, usages, Number.isFinite(elapsedMs) ? elapsedMs : 0);
	state.lastRequestsAtMs = nowMs;
	const shortfall = new Map<string, number>();
	for (const [teamId, {rate, demand}] of state.needs) {
		// A negative shortfall means that less is borrowed from now on. Without demand the entry's own share is enough.
		const neededRate = demand < 1 ? 0 : rate;
		shortfall.set(teamId, neededRate - shareOf(state, teamId, nowMs));
	}

	const plan = planLoans(state.loans, {
		memberIds: [...state.members.keys()], shortfall, maxLenders: state.options.maxLenders, nowMs,
	});
	const requests: OutgoingShareRequest[] = [];
	const isJoining = !state.isJoined && state.listedSinceMs !== null && state.teamRates.size > 0;
	for (const [to, {readyAtMs}] of state.members) {
		const wants = plan.get(to);
		if (wants !== undefined || (isJoining && readyAtMs === null)) {
			requests.push({to, request: nextRequest(state, to, wants ?? {})});
		}
	}

	return requests;
};

const nextRequest = ({options, loans}: EntryShares, to: string, wants: Readonly<Record<string, number>>): ShareRequest => {
	const number = (loans.requestNumbers.get(to) ?? 0) + 1;
	loans.requestNumbers.set(to, number);
	return {
		entryId: options.entryId, incarnation: options.incarnation, number, taken: loans.borrowed.get(to)?.number ?? 0, wants,
	};
};
