import {grantRetentionMs} from './retry-pool.js';
import type {RetryTerms} from './retry-terms.js';

/** What a core host knows of its place among the voters of the core. */
export type VoterView = {
	/** Number of voters, if this host is one of them; `null` if it is not, or does not know. */
	readonly voterCount: number | null;
	/** Time since this host was last confirmed to hold all acknowledged changes; `null` if it never was. */
	readonly freshAgeMs: number | null;
};

/** Over time, the part of the pooled budget that this core host may grant. */
export type VoterPart = {
	readonly terms: Pick<RetryTerms, 'windowMs'>;
	/** Since when this host has been a voter, without an interruption; `null` while it is not. */
	voterSinceMs: number | null;
	/** Numbers of voters and until when each was last seen. */
	counts: Array<{readonly voterCount: number; untilMs: number}>;
};

/** Why a core host grants nothing. `notVoter`: it has no part. `newVoter`: what it granted before it started, or its predecessor, may still be in the window. `unconfirmed`: it may have been replaced. */
export type GrantRefusal = 'notVoter' | 'newVoter' | 'unconfirmed';

/** Longer than an election. */
const maxFreshAgeMs = 2000;

/** `isFirstStart`: the system has never run before, so nothing was granted. */
export const createVoterPart = (terms: Pick<RetryTerms, 'windowMs'>, {isFirstStart}: {readonly isFirstStart: boolean}): VoterPart => ({
	terms, counts: [], voterSinceMs: isFirstStart ? Number.NEGATIVE_INFINITY : null,
});

/** Records the membership as it is known now; to be called at least every second. */
export const recordVoters = (part: VoterPart, {voterCount}: VoterView, nowMs: number): void => {
	if (voterCount === null) {
		part.voterSinceMs = null;
		return;
	}

	part.voterSinceMs ??= nowMs;
	// A removed voter may grant for as long as it counts as confirmed.
	const sinceMs = nowMs - grantRetentionMs(part.terms) - maxFreshAgeMs;
	part.counts = [...part.counts.filter(({untilMs, voterCount: known}) => untilMs >= sinceMs && known !== voterCount), {voterCount, untilMs: nowMs}];
};

/** The part of the pooled budget that this host may grant now. */
export const currentPart = ({terms, counts, voterSinceMs}: VoterPart, {voterCount, freshAgeMs}: VoterView, nowMs: number): number | GrantRefusal => {
	if (voterCount === null || voterSinceMs === null) {
		return 'notVoter';
	}

	if (nowMs - voterSinceMs < grantRetentionMs(terms)) {
		return 'newVoter';
	}

	// While voters are added or removed, two memberships may be in force at different hosts.
	return freshAgeMs === null || freshAgeMs > maxFreshAgeMs ? 'unconfirmed' : 1 / Math.max(voterCount, ...counts.map(({voterCount: known}) => known));
};
