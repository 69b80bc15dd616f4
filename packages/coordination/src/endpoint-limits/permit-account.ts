import {
	arrivalsPerSecond, createArrivalRate, recordArrival, type ArrivalRate,
} from '../placement/arrival-rate.js';
import {randomFraction, type Random} from '../utils/random.js';
import {permitRate, queueTimeoutMs, type PermitReply} from './permit-issuer.js';

/** An entry's permits for one limited endpoint. */
export type PermitAccount = {
	/** Expiry times of the permits, earliest first. */
	expiriesMs: number[];
	/** When permits were last requested; `null` if no request is pending. */
	requestedAtMs: number | null;
	/** When the issuer expects to grant the pending request; `null` if unknown. */
	expectedAtMs: number | null;
	/** When the first unanswered request was sent; `null` if the issuer answered the last one. */
	unansweredSinceMs: number | null;
	/** The issuer's last estimate of the time of a grant; kept while the request is renewed. */
	estimatedAtMs: number;
	/** The last wait that the issuer estimated for a queued request. */
	lastQueueWaitMs: number;
	/** When the next request may be sent without a permit while the issuer does not answer; `null` if not determined. */
	fallbackAtMs: number | null;
	/** Rate of the requests that this entry sends to the endpoint. */
	readonly useRate: ArrivalRate;
};

export type PermitTerms = {
	/** The endpoint's limit. */
	readonly perSecond: number;
	readonly entryCount: number;
	readonly random: Random;
};

/** Whether the limit of an endpoint allows a request to be sent now. */
export type PermitState
	= | {readonly type: 'available'}
		/** The next request may be sent at `nextAtMs`, further ones about `gapMs` apart. */
		| {readonly type: 'limited'; readonly nextAtMs: number; readonly gapMs: number; /** Whether the endpoint is limited because it is cold. */ readonly isCold?: boolean};

/** Bounds the burst from permits that entries hold unused. */
const permitLifetimeMs = 1000;
/** The part of a second for which an entry holds permits in advance. */
const prefetchShare = 0.1;
const maxPermits = 256;
/** Expected time until the issuer replies: several times the network latency between regions. */
const expectedReplyMs = 40;
/** After this, a request without a reply is treated as lost and sent again. */
const resendMs = 150;
/** A grant that is overdue by this is treated as lost. */
const grantSlackMs = 200;
/** A queued request is renewed after this, before the issuer removes it from its queue. */
const renewMs = 120;
/** Requests without a reply for this long mean that the issuer is down or unreachable; allows for several lost datagrams. */
const issuerTimeoutMs = 300;
/**
 * The part of the limit that all entries together send without permits. Less than
 * the whole, because entries that still reach the issuer are granted the whole limit.
 */
const fallbackShare = 0.5;

export const createPermitAccount = (): PermitAccount => ({
	expiriesMs: [], requestedAtMs: null, expectedAtMs: null, estimatedAtMs: Number.NEGATIVE_INFINITY, unansweredSinceMs: null, lastQueueWaitMs: 0, fallbackAtMs: null,
	useRate: createArrivalRate(),
});

const dropExpired = (account: PermitAccount, nowMs: number): void => {
	if (account.expiriesMs.length > 0 && account.expiriesMs[0]! <= nowMs) {
		account.expiriesMs = account.expiriesMs.filter(atMs => atMs > nowMs);
	}
};

const isRequestPending = ({requestedAtMs, expectedAtMs}: PermitAccount, nowMs: number): boolean => {
	if (requestedAtMs === null) {
		return false;
	}

	return nowMs < (expectedAtMs === null ? requestedAtMs + resendMs : Math.min(expectedAtMs + grantSlackMs, requestedAtMs + renewMs));
};

/** Permits held in advance follow what this entry uses: with twenty entries, a share of the whole limit for each would mostly expire. */
const wantedPermits = ({useRate}: PermitAccount, perSecond: number, nowMs: number): number => {
	const usablePerSecond = Math.min(permitRate(perSecond), arrivalsPerSecond(useRate, nowMs));
	return Math.max(1, Math.min(maxPermits, Math.ceil(usablePerSecond * prefetchShare)));
};

/** Whether permits are requested in advance. At a low limit, or at an entry with few requests, a single unused permit would waste a large part of the limit. */
export const prefetchesPermits = (account: PermitAccount, perSecond: number, nowMs: number): boolean => wantedPermits(account, perSecond, nowMs) > 1;

/** How many permits to request now; 0 if enough are held or a request is pending. */
export const permitsToRequest = (account: PermitAccount, perSecond: number, nowMs: number): number => {
	dropExpired(account, nowMs);
	const wanted = wantedPermits(account, perSecond, nowMs);
	const held = account.expiriesMs.length;
	if (held > wanted / 2 || isRequestPending(account, nowMs)) {
		return 0;
	}

	account.requestedAtMs = nowMs;
	account.expectedAtMs = null;
	account.unansweredSinceMs ??= nowMs;
	return wanted - held;
};

export const isIssuerSilent = ({unansweredSinceMs}: PermitAccount, nowMs: number): boolean => unansweredSinceMs !== null && nowMs - unansweredSinceMs > issuerTimeoutMs;

export const recordPermitReply = (account: PermitAccount, reply: PermitReply, nowMs: number): void => {
	account.unansweredSinceMs = null;
	account.fallbackAtMs = null;
	switch (reply.type) {
		case 'granted': {
			dropExpired(account, nowMs);
			account.expiriesMs.push(...Array.from({length: reply.count}, () => nowMs + permitLifetimeMs));
			account.requestedAtMs = null;
			account.expectedAtMs = null;
			break;
		}

		case 'queued': {
			account.expectedAtMs = nowMs + reply.waitMs;
			account.estimatedAtMs = account.expectedAtMs;
			account.lastQueueWaitMs = reply.waitMs;
			break;
		}
	}
};

/** Discards permits that were granted under a higher limit. */
export const discardPermits = (account: PermitAccount): void => {
	account.expiriesMs = [];
	account.fallbackAtMs = null;
};

const fallbackGapMs = ({perSecond, entryCount}: PermitTerms): number => 1000 * entryCount / (permitRate(perSecond) * fallbackShare);

/**
 * While the issuer does not answer, each entry sends an equal part of
 * `fallbackShare` without permits. An unused turn expires and the next one is
 * drawn at random, so that idle entries do not all send at the same time.
 */
const fallbackState = (account: PermitAccount, terms: PermitTerms, nowMs: number): PermitState => {
	const gapMs = fallbackGapMs(terms);
	if (account.fallbackAtMs === null || nowMs - account.fallbackAtMs > permitLifetimeMs) {
		account.fallbackAtMs = nowMs + (gapMs * randomFraction(terms.random));
	}

	return account.fallbackAtMs <= nowMs ? {type: 'available'} : {type: 'limited', nextAtMs: account.fallbackAtMs, gapMs};
};

/**
 * Estimates when permits are granted: from the issuer's reply to the pending
 * request or, without a recent one, from an equal share of the limit.
 */
const expectedGrantState = ({requestedAtMs, expectedAtMs, estimatedAtMs, lastQueueWaitMs}: PermitAccount, {perSecond, entryCount}: PermitTerms, nowMs: number): PermitState => {
	const intervalMs = 1000 / permitRate(perSecond);
	const equalShareGapMs = intervalMs * entryCount;
	if (requestedAtMs === null || nowMs - requestedAtMs > queueTimeoutMs) {
		return {type: 'limited', nextAtMs: nowMs + equalShareGapMs, gapMs: equalShareGapMs};
	}

	return expectedAtMs === null && estimatedAtMs <= nowMs
		? {type: 'limited', nextAtMs: nowMs + expectedReplyMs, gapMs: equalShareGapMs}
		: {type: 'limited', nextAtMs: Math.max(nowMs, estimatedAtMs), gapMs: Math.max(intervalMs, lastQueueWaitMs)};
};

export const permitState = (account: PermitAccount, terms: PermitTerms, nowMs: number): PermitState => {
	dropExpired(account, nowMs);
	if (account.expiriesMs.length > 0) {
		return {type: 'available'};
	}

	if (isIssuerSilent(account, nowMs)) {
		return fallbackState(account, terms, nowMs);
	}

	return expectedGrantState(account, terms, nowMs);
};

/** Consumes a permit, or the fallback turn if none is held, for a request that is sent now. */
export const usePermit = (account: PermitAccount, terms: PermitTerms, nowMs: number): void => {
	recordArrival(account.useRate, nowMs);
	dropExpired(account, nowMs);
	if (account.expiriesMs.length > 0) {
		account.expiriesMs.shift();
		return;
	}

	account.fallbackAtMs = nowMs + fallbackGapMs(terms);
};
