import {match} from 'ts-pattern';
import {lengthOf, peekFirst, takeFirst} from './ledger-lists.js';
import type {
	Change, Claim, ClaimOutcome, CommandResult, Ledger,
} from './types.js';

export type ClaimLimits = {
	/** How long an outcome can be asked for; a key is free again after that. */
	readonly keptMs: number;
	/** New claims are refused above this; none is dropped early. */
	readonly maxClaims: number;
	/** Bytes of kept answers; the oldest lose their body, not their outcome. */
	readonly maxBodyBytes: number;
};

/** The same on every control host, so that all apply the log alike. */
export const claimLimits: ClaimLimits = {keptMs: 24 * 3_600_000, maxClaims: 200_000, maxBodyBytes: 32 * 1024 * 1024};

type ClaimChange = Extract<Change, {type: 'claim'}>;
type MoveChange = Extract<Change, {type: 'moveClaim'}>;
type ConcludeChange = Extract<Change, {type: 'concludeClaim'}>;

const claimKey = ({teamId, serviceId, key}: {teamId: string; serviceId: string; key: string}): string => `${teamId}/${serviceId}/${key}`;

/**
 * Takes a key for one request, before it is dispatched, and notes where it
 * will be dispatched. Whoever comes with the same key later learns the outcome
 * or where to ask for it, and never starts a second run.
 */
export const applyClaim = (ledger: Ledger, change: ClaimChange, limits = claimLimits): CommandResult => {
	forgetOldClaims(ledger, change.atMs, limits);
	const key = claimKey(change);
	const held = ledger.claims[key];
	if (held !== undefined) {
		return answerHeld(held, change);
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

/** Kept beside the claims: listing them all for each new one would take 70 ms at 200,000. */
const countClaims = (ledger: Ledger): number => {
	ledger.claimCount ??= Object.keys(ledger.claims).length;
	return ledger.claimCount;
};

const dropClaim = (ledger: Ledger, key: string): void => {
	ledger.claimCount = countClaims(ledger) - 1;
	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete ledger.claims[key];
};

const answerHeld = (held: Claim, change: ClaimChange): CommandResult => {
	if (held.bodyDigest !== change.bodyDigest) {
		return {
			type: 'claimHeld', state: {type: 'differentBody'}, requestId: held.requestId, place: null,
		};
	}

	// The same proposal again, after its answer was lost.
	if (held.requestId === change.requestId) {
		return {type: 'claimed'};
	}

	return {
		type: 'claimHeld', state: held.state, requestId: held.requestId, place: held.place,
	};
};

/**
 * Notes the next endpoint before the request goes there. Refused once another
 * entry has settled and concluded the claim: without this, an entry that was
 * slow would dispatch a second run beside the resend's.
 */
export const moveClaim = (ledger: Ledger, change: MoveChange, index: number): CommandResult => {
	const key = claimKey(change);
	const held = ledger.claims[key];
	if (held?.requestId !== change.requestId || held.state.type !== 'inProgress') {
		return staleResult(index);
	}

	ledger.claims[key] = {...held, place: change.place};
	return {type: 'accepted', revision: index};
};

/**
 * Ends a claim with what became of the attempt that it names. An attempt that
 * is not the claim's present one decides nothing: the request has moved on.
 */
export const concludeClaim = (ledger: Ledger, change: ConcludeChange, index: number, limits = claimLimits): CommandResult => {
	const key = claimKey(change);
	const held = ledger.claims[key];
	const isPresent = held?.requestId === change.requestId && held.state.type === 'inProgress'
		&& (held.place?.attemptId ?? null) === change.attemptId;
	if (!isPresent) {
		return staleResult(index);
	}

	match(change.outcome)
		.with({type: 'notRun'}, () => {
			dropClaim(ledger, key);
		})
		.with({type: 'mayHaveRun'}, state => {
			ledger.claims[key] = {...held, state};
		})
		.with({type: 'ran'}, state => {
			keepAnswer(ledger, key, {...held, state}, limits);
		})
		.exhaustive();
	return {type: 'accepted', revision: index};
};

const staleResult = (index: number): CommandResult => ({
	type: 'refused', code: 'stale', message: 'the claim is not held by this attempt', revision: index,
});

const bodyBytesOf = ({state}: Claim): number => state.type === 'ran' ? state.body?.length ?? 0 : 0;

const keepAnswer = (ledger: Ledger, key: string, claim: Claim, {maxBodyBytes}: ClaimLimits): void => {
	ledger.claims[key] = claim;
	ledger.claimBodyBytes += bodyBytesOf(claim);
	if (bodyBytesOf(claim) > 0) {
		ledger.claimBodies.push(key);
	}

	while (ledger.claimBodyBytes > maxBodyBytes && lengthOf(ledger, 'claimBodies') > 0) {
		dropBody(ledger, takeFirst(ledger, 'claimBodies'));
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

/** Time is that of the entries' clocks, never set back, so that every control host forgets alike. */
const forgetOldClaims = (ledger: Ledger, atMs: number, {keptMs}: ClaimLimits): void => {
	ledger.claimClockMs = Math.max(ledger.claimClockMs, atMs);
	while (lengthOf(ledger, 'claimOrder') > 0 && peekFirst(ledger, 'claimOrder')!.atMs < ledger.claimClockMs - keptMs) {
		const {key, atMs: claimedAtMs} = takeFirst(ledger, 'claimOrder');
		const claim = ledger.claims[key];
		if (claim?.atMs === claimedAtMs) {
			ledger.claimBodyBytes -= bodyBytesOf(claim);
			dropClaim(ledger, key);
		}
	}
};
