import type {PermitState} from './permit-account.js';
import {coldQueueTimeoutMs, type ColdReply} from './cold-issuer.js';
import {
	arrivalJitterMs, coldPermitLifetimeMs, coldWindowMs, dropBefore,
} from './cold-window.js';

/** An entry's permits for one cold endpoint. */
export type ColdAccount = {
	/** The permits that are held, each with the time of its request. */
	permits: Array<{readonly expiresAtMs: number; readonly requestedAtMs: number}>;
	/** Times of the latest requests for permits; a grant for another request is from an earlier run of this process. */
	readonly requestedAtMs: number[];
	/** Whether the latest request has not been granted. */
	isPending: boolean;
	/** When the issuer expects to grant the pending request; `null` if unknown. */
	expectedAtMs: number | null;
	/** When the first unanswered request was sent; `null` if the issuer answered the last one. */
	unansweredSinceMs: number | null;
	/** Requests since then. */
	unansweredCount: number;
	/** Times of the requests that were sent without a permit, within the current second. */
	readonly sentAtMs: number[];
	/** Times of the requests whose permits expired, one for each permit; to be returned to the issuer. */
	unusedFromMs: number[];
};

export type ColdTerms = {
	readonly perSecond: number;
	readonly entryCount: number;
	/** Requests in a second that this entry sends without an issuer. */
	fallbackCount(): number;
};

/** Time until the issuer is expected to reply: several round trips. */
const expectedReplyMs = 20;
/** Requests without a reply for this long mean that the issuer is down or unreachable. */
const issuerTimeoutMs = 250;
/** A single lost datagram does not mean that; the request that it belongs to is renewed once before it goes elsewhere. */
const issuerTimeoutCount = 3;
/** An unanswered or queued request is renewed after this, before the issuer removes it. */
const renewMs = coldQueueTimeoutMs - 25;
/** Permits for as many requests as arrive within a round trip or two; one permit at the limits that are usual. */
const requestShare = 0.01;
const maxPermits = 100;
/** Requests whose grants may still be usable. */
const keptRequests = 4;
/** Longer than the interval of the requests at an entry with few; an older unanswered request says nothing about the issuer. */
const staleMs = 2000;

export const createColdAccount = (): ColdAccount => ({
	permits: [], requestedAtMs: [], isPending: false, expectedAtMs: null, unansweredSinceMs: null, unansweredCount: 0, sentAtMs: [], unusedFromMs: [],
});

const dropExpired = (account: ColdAccount, nowMs: number): void => {
	const expired = account.permits.filter(({expiresAtMs}) => expiresAtMs <= nowMs);
	if (expired.length > 0) {
		account.permits = account.permits.filter(({expiresAtMs}) => expiresAtMs > nowMs);
		account.unusedFromMs.push(...expired.map(({requestedAtMs}) => requestedAtMs));
	}
};

const lastRequestedAtMs = ({requestedAtMs}: ColdAccount): number => requestedAtMs.at(-1) ?? Number.NEGATIVE_INFINITY;

/** How many permits to request now for a request that would be sent; 0 if one is held or requested. */
export const coldPermitsToRequest = (account: ColdAccount, perSecond: number, nowMs: number): number => {
	dropExpired(account, nowMs);
	if (account.permits.length > 0 || (account.isPending && nowMs - lastRequestedAtMs(account) < renewMs)) {
		return 0;
	}

	if (nowMs - lastRequestedAtMs(account) > staleMs) {
		account.unansweredSinceMs = null;
		account.unansweredCount = 0;
	}

	account.requestedAtMs.push(nowMs);
	account.requestedAtMs.splice(0, account.requestedAtMs.length - keptRequests);
	account.isPending = true;
	account.expectedAtMs = null;
	account.unansweredSinceMs ??= nowMs;
	account.unansweredCount++;
	return Math.min(maxPermits, Math.max(1, Math.ceil(perSecond * requestShare)));
};

export const isColdIssuerSilent = ({unansweredSinceMs, unansweredCount}: ColdAccount, nowMs: number): boolean => unansweredSinceMs !== null
	&& unansweredCount >= issuerTimeoutCount && nowMs - unansweredSinceMs > issuerTimeoutMs;

/** Records the issuer's reply; returns whether it brought a permit that can be used. */
export const recordColdReply = (account: ColdAccount, reply: ColdReply, nowMs: number): boolean => {
	if (!account.requestedAtMs.includes(reply.sentAtMs)) {
		account.unusedFromMs.push(...Array.from({length: reply.type === 'granted' ? reply.count : 0}, () => reply.sentAtMs));
		return false;
	}

	account.unansweredSinceMs = null;
	account.unansweredCount = 0;
	switch (reply.type) {
		case 'granted': {
			// Counted from the time at which the request was sent, by the clock of this entry: the delay of the reply shortens the life of the permit.
			const expiresAtMs = reply.sentAtMs + reply.heldMs + coldPermitLifetimeMs;
			account.permits.push(...Array.from({length: reply.count}, () => ({expiresAtMs, requestedAtMs: reply.sentAtMs})));
			account.isPending = false;
			account.expectedAtMs = null;
			dropExpired(account, nowMs);
			return account.permits.length > 0;
		}

		case 'queued': {
			account.expectedAtMs = nowMs + reply.waitMs;
			return false;
		}
	}
};

const fallbackState = (account: ColdAccount, fallbackCount: number, nowMs: number): PermitState => {
	const windowMs = coldWindowMs + arrivalJitterMs;
	dropBefore(account.sentAtMs, nowMs - windowMs);
	if (account.sentAtMs.length < fallbackCount) {
		return {type: 'available'};
	}

	const gapMs = windowMs / Math.max(1, fallbackCount);
	return {
		type: 'limited', nextAtMs: (account.sentAtMs[0] ?? nowMs) + windowMs, gapMs, isCold: true,
	};
};

/** Estimates when permits are granted: from the issuer's reply to the pending request or, without one, from an equal share of the limit. */
const expectedGrantState = (account: ColdAccount, {perSecond, entryCount}: ColdTerms, nowMs: number): PermitState => {
	const gapMs = 1000 * entryCount / perSecond;
	if (!account.isPending || nowMs - lastRequestedAtMs(account) > coldQueueTimeoutMs) {
		return {
			type: 'limited', nextAtMs: nowMs + gapMs, gapMs, isCold: true,
		};
	}

	return {
		type: 'limited', nextAtMs: Math.max(nowMs, account.expectedAtMs ?? nowMs + expectedReplyMs), gapMs, isCold: true,
	};
};

/** Whether a request may be sent to the cold endpoint now. */
export const coldPermitState = (account: ColdAccount, terms: ColdTerms, nowMs: number): PermitState => {
	dropExpired(account, nowMs);
	if (account.permits.length > 0) {
		return {type: 'available'};
	}

	if (isColdIssuerSilent(account, nowMs)) {
		return fallbackState(account, terms.fallbackCount(), nowMs);
	}

	return expectedGrantState(account, terms, nowMs);
};

/** Returns the times of the requests whose permits expired, one for each permit. */
export const takeUnusedPermits = (account: ColdAccount, nowMs: number): readonly number[] => {
	dropExpired(account, nowMs);
	const unused = account.unusedFromMs;
	account.unusedFromMs = [];
	return unused;
};

/** Requests that were sent without permits in the current second. */
export const unpermittedCount = ({sentAtMs}: ColdAccount, nowMs: number): number => {
	dropBefore(sentAtMs, nowMs - coldWindowMs - arrivalJitterMs);
	return sentAtMs.length;
};

/** Consumes a permit for a request that is sent now, or counts it as sent without one. */
export const useColdPermit = (account: ColdAccount, nowMs: number): void => {
	dropExpired(account, nowMs);
	if (account.permits.length > 0) {
		account.permits.shift();
		return;
	}

	account.sentAtMs.push(nowMs);
};
