import {match} from 'ts-pattern';
import {remainingLength, peekFirst, removeFirst} from './ledger-lists.js';
import type {
	Change, Claim, ClaimOutcome, CommandResult, Ledger,
} from './types.js';

export type ClaimLimits = {
	/** Time for which an outcome can be retrieved; afterwards the key can be claimed again. */
	readonly retentionMs: number;
	/** New claims are refused above this number; existing ones are never dropped early. */
	readonly maxClaims: number;
	/** Maximum size of the retained answers; above it the oldest answers lose their body, but keep their outcome. */
	readonly maxBodyBytes: number;
};

/** Must be the same on every control host, so that all get the same results from the log. */
export const claimLimits: ClaimLimits = {retentionMs: 24 * 3_600_000, maxClaims: 200_000, maxBodyBytes: 32 * 1024 * 1024};

type ClaimChange = Extract<Change, {type: 'claim'}>;
type MoveChange = Extract<Change, {type: 'moveClaim'}>;
type ConcludeChange = Extract<Change, {type: 'concludeClaim'}>;

const claimKey = ({teamId, serviceId, key}: {teamId: string; serviceId: string; key: string}): string => `${teamId}/${serviceId}/${key}`;

/**
 * Claims a key for one request before the request is dispatched, and records its
 * destination. A later request with the same key receives the outcome, or the
 * destination at which to query it, and never starts a second run.
 */
export const applyClaim = (ledger: Ledger, change: ClaimChange, limits = claimLimits): CommandResult => {
	removeExpiredClaims(ledger, change.atMs, limits);
	const key = claimKey(change);
	const existing = ledger.claims[key];
	if (existing !== undefined) {
		return resultForHeldClaim(existing, change);
	}

	const claimCount = countClaims(ledger);
	if (claimCount >= limits.maxClaims) {
		return {
			type: 'refused', code: 'conflict', message: 'the ledger of claims is full', revision: 0,
		};
	}

	ledger.claims[key] = {
		requestId: change.requestId, bodyDigest: change.bodyDigest, atMs: ledger.claimClockMs, place: change.place, state: {type: 'inProgress'},
	};
	ledger.claimCount = claimCount + 1;
	ledger.claimOrder.push({key, atMs: ledger.claimClockMs});
	return {type: 'claimed'};
};

/** The count is stored, since listing all keys for each new claim takes 70 ms at 200,000 claims. */
const countClaims = (ledger: Ledger): number => {
	ledger.claimCount ??= Object.keys(ledger.claims).length;
	return ledger.claimCount;
};

const dropClaim = (ledger: Ledger, key: string): void => {
	ledger.claimCount = countClaims(ledger) - 1;
	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete ledger.claims[key];
};

const resultForHeldClaim = (existing: Claim, change: ClaimChange): CommandResult => {
	if (existing.bodyDigest !== change.bodyDigest) {
		return {
			type: 'claimHeld', state: {type: 'differentBody'}, requestId: existing.requestId, place: null,
		};
	}

	// A retry of the same proposal after its response was lost.
	if (existing.requestId === change.requestId) {
		return {type: 'claimed'};
	}

	return {
		type: 'claimHeld', state: existing.state, requestId: existing.requestId, place: existing.place,
	};
};

/**
 * Records the next endpoint before the request is sent there. Refused once
 * another entry has resolved the attempt and concluded the claim: otherwise a
 * slow entry would dispatch a second run in parallel to that of the retry.
 */
export const moveClaim = (ledger: Ledger, change: MoveChange, index: number): CommandResult => {
	const key = claimKey(change);
	const existing = ledger.claims[key];
	if (existing?.requestId !== change.requestId || existing.state.type !== 'inProgress') {
		return staleResult(index);
	}

	ledger.claims[key] = {...existing, place: change.place};
	return {type: 'accepted', revision: index};
};

/**
 * Concludes a claim with the outcome of the named attempt. Refused unless the
 * attempt is the claim's current one: otherwise the request has been moved to
 * another endpoint, and the outcome decides nothing.
 */
export const concludeClaim = (ledger: Ledger, change: ConcludeChange, index: number, limits = claimLimits): CommandResult => {
	const key = claimKey(change);
	const existing = ledger.claims[key];
	const isCurrent = existing?.requestId === change.requestId && existing.state.type === 'inProgress'
		&& (existing.place?.attemptId ?? null) === change.attemptId;
	if (!isCurrent) {
		return staleResult(index);
	}

	match(change.outcome)
		.with({type: 'notRun'}, () => {
			dropClaim(ledger, key);
		})
		.with({type: 'mayHaveRun'}, state => {
			ledger.claims[key] = {...existing, state};
		})
		.with({type: 'ran'}, state => {
			storeAnswer(ledger, key, {...existing, state}, limits);
		})
		.exhaustive();
	return {type: 'accepted', revision: index};
};

const staleResult = (index: number): CommandResult => ({
	type: 'refused', code: 'stale', message: 'the claim is not held by this attempt', revision: index,
});

const bodyBytesOf = ({state}: Claim): number => state.type === 'ran' ? state.body?.length ?? 0 : 0;

const storeAnswer = (ledger: Ledger, key: string, claim: Claim, {maxBodyBytes}: ClaimLimits): void => {
	ledger.claims[key] = claim;
	ledger.claimBodyBytes += bodyBytesOf(claim);
	if (bodyBytesOf(claim) > 0) {
		ledger.claimBodies.push(key);
	}

	while (ledger.claimBodyBytes > maxBodyBytes && remainingLength(ledger, 'claimBodies') > 0) {
		dropBody(ledger, removeFirst(ledger, 'claimBodies'));
	}
};

const dropBody = (ledger: Ledger, key: string): void => {
	const claim = ledger.claims[key];
	if (claim?.state.type === 'ran') {
		ledger.claimBodyBytes -= bodyBytesOf(claim);
		const state: ClaimOutcome = {...claim.state, body: null};
		ledger.claims[key] = {...claim, state};
	}
};

/** Expiry uses the latest time reported by the entries' clocks and never goes backwards, so that all control hosts remove the same claims. */
const removeExpiredClaims = (ledger: Ledger, atMs: number, {retentionMs}: ClaimLimits): void => {
	ledger.claimClockMs = Math.max(ledger.claimClockMs, atMs);
	while (remainingLength(ledger, 'claimOrder') > 0 && peekFirst(ledger, 'claimOrder')!.atMs < ledger.claimClockMs - retentionMs) {
		const {key, atMs: claimedAtMs} = removeFirst(ledger, 'claimOrder');
		const claim = ledger.claims[key];
		if (claim?.atMs === claimedAtMs) {
			ledger.claimBodyBytes -= bodyBytesOf(claim);
			dropClaim(ledger, key);
		}
	}
};
