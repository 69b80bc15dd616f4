import {
	createTokenBucket, returnTokens, setBucketRate, takeTokens, type TokenBucket,
} from '../admission/token-bucket.js';
import type {EndpointStart} from './limit-ledger.js';
import {coldWindowCount} from './cold-start.js';
import {arrivalJitterMs, coldPermitLifetimeMs, coldWindowMs} from './cold-window.js';

export type ColdRequest = {
	readonly start: EndpointStart;
	readonly entryAddress: string;
	readonly count: number;
	/** The endpoint's limit while it is cold. */
	readonly perSecond: number;
	/** When the entry sent the request, by its own clock; repeated in the reply. */
	readonly sentAtMs: number;
	/** Requests that the entry sent without permits in the current second. */
	readonly unpermittedCount: number;
};

export type ColdReply
	/** `heldMs`: how long the issuer held the request. */
	= | {readonly type: 'granted'; readonly count: number; readonly sentAtMs: number; readonly heldMs: number}
		/** The request is queued; `waitMs` estimates when the grant follows. */
		| {readonly type: 'queued'; readonly waitMs: number; readonly sentAtMs: number};

export type ColdGrant = {readonly start: EndpointStart; readonly entryAddress: string; readonly reply: Extract<ColdReply, {type: 'granted'}>};

/** Permits that were granted for a request and expired unused. */
export type ColdReturn = Pick<ColdRequest, 'start' | 'entryAddress' | 'count' | 'sentAtMs'>;

type IssuedPermit = {readonly atMs: number; readonly entryAddress: string; readonly sentAtMs: number};
type QueuedRequest = {readonly count: number; readonly sentAtMs: number; readonly receivedAtMs: number};

type ColdEndpoint = {
	/** Permits that may still be used, or whose requests count in the current second; in order of time. */
	issued: IssuedPermit[];
	/** Spreads the grants over the second, so that entries do not fill an idle endpoint at once. */
	readonly bucket: TokenBucket;
	readonly queue: Map<string, QueuedRequest>;
	/** What entries sent without permits, as they last stated it. */
	readonly unpermitted: Map<string, {readonly count: number; readonly statedAtMs: number}>;
	perSecond: number;
	requestedAtMs: number;
};

/** Issues the permits for requests to cold endpoints. */
export type ColdIssuer = {readonly endpoints: Map<EndpointStart, ColdEndpoint>};

/** A request that was granted at `t` may arrive until `t` plus the life of its permit, and counts for a second from then on. */
const occupiedMs = coldWindowMs + coldPermitLifetimeMs + arrivalJitterMs;
/** The part of a second for which unrequested permits accumulate. */
const burstShare = 0.25;
/** Entries renew queued requests more often; those of requests that no longer wait are removed. */
export const coldQueueTimeoutMs = 60;
/** Longer than a grant counts. */
const idleRetentionMs = 10_000;

export const createColdIssuer = (): ColdIssuer => ({endpoints: new Map()});

const endpointFor = ({endpoints}: ColdIssuer, {start, perSecond}: ColdRequest, nowMs: number): ColdEndpoint => {
	const burst = Math.max(1, perSecond * burstShare);
	const known = endpoints.get(start);
	if (known !== undefined) {
		setBucketRate(known.bucket, perSecond, burst, nowMs);
		known.perSecond = perSecond;
		known.requestedAtMs = nowMs;
		return known;
	}

	const created: ColdEndpoint = {
		issued: [], bucket: createTokenBucket({ratePerSecond: perSecond, burst, nowMs}), queue: new Map(), unpermitted: new Map(), perSecond, requestedAtMs: nowMs,
	};
	endpoints.set(start, created);
	return created;
};

/** Requests that count in the current second, and permits that may add to it. */
const occupiedCount = (endpoint: ColdEndpoint, nowMs: number): number => {
	endpoint.issued = endpoint.issued.filter(({atMs}) => atMs > nowMs - occupiedMs);
	let count = endpoint.issued.length;
	for (const [entryAddress, stated] of endpoint.unpermitted) {
		if (nowMs - stated.statedAtMs > coldWindowMs + arrivalJitterMs) {
			endpoint.unpermitted.delete(entryAddress);
		} else {
			count += stated.count;
		}
	}

	return count;
};

/** Takes up to `count` permits within the bound on any second. */
const takePermits = (endpoint: ColdEndpoint, {count, entryAddress, sentAtMs}: Pick<ColdRequest, 'count' | 'entryAddress' | 'sentAtMs'>, nowMs: number): number => {
	const {bucket, perSecond} = endpoint;
	const freeCount = coldWindowCount(perSecond) - occupiedCount(endpoint, nowMs);
	let taken = 0;
	while (taken < Math.min(count, freeCount) && takeTokens(bucket, 1, nowMs) === 0) {
		endpoint.issued.push({atMs: nowMs, entryAddress, sentAtMs});
		taken++;
	}

	return taken;
};

const dropTimedOut = (queue: Map<string, QueuedRequest>, nowMs: number): void => {
	for (const [entryAddress, {receivedAtMs}] of queue) {
		if (nowMs - receivedAtMs > coldQueueTimeoutMs) {
			queue.delete(entryAddress);
		}
	}
};

/** Estimates when the request at a place in the queue is granted. */
const expectedWaitMs = (endpoint: ColdEndpoint, place: number, nowMs: number): number => {
	const {issued, bucket, perSecond} = endpoint;
	const pacedMs = Math.max(0, place - bucket.level) * 1000 / bucket.ratePerSecond;
	const excessCount = occupiedCount(endpoint, nowMs) + place - coldWindowCount(perSecond);
	const freedAtMs = excessCount > 0 ? issued[Math.min(excessCount, issued.length) - 1]?.atMs ?? nowMs : null;
	return Math.max(pacedMs, freedAtMs === null ? 0 : freedAtMs + occupiedMs - nowMs);
};

/** Grants permits or queues the request. A renewed request keeps its place in the queue. */
export const requestColdPermits = (issuer: ColdIssuer, request: ColdRequest, nowMs: number): ColdReply => {
	const endpoint = endpointFor(issuer, request, nowMs);
	const {queue} = endpoint;
	const {entryAddress, count, sentAtMs, unpermittedCount} = request;
	if (unpermittedCount > 0) {
		endpoint.unpermitted.set(entryAddress, {count: unpermittedCount, statedAtMs: nowMs});
	} else {
		endpoint.unpermitted.delete(entryAddress);
	}

	dropTimedOut(queue, nowMs);
	const isNext = queue.size === 0 || queue.keys().next().value === entryAddress;
	const taken = isNext ? takePermits(endpoint, request, nowMs) : 0;
	if (taken > 0) {
		queue.delete(entryAddress);
		return {
			type: 'granted', count: taken, sentAtMs, heldMs: 0,
		};
	}

	queue.set(entryAddress, {count, sentAtMs, receivedAtMs: nowMs});
	const place = [...queue.keys()].indexOf(entryAddress) + 1;
	return {type: 'queued', waitMs: expectedWaitMs(endpoint, place, nowMs), sentAtMs};
};

/** Grants available permits to the queued requests in order; drops the requests for endpoints whose permits this entry no longer issues. */
export const issueColdPermits = ({endpoints}: ColdIssuer, mayIssue: (start: EndpointStart) => boolean, nowMs: number): ColdGrant[] => {
	const grants: ColdGrant[] = [];
	for (const [start, endpoint] of endpoints) {
		const {queue} = endpoint;
		dropTimedOut(queue, nowMs);
		if (queue.size > 0 && !mayIssue(start)) {
			queue.clear();
		}

		for (const [entryAddress, {count, sentAtMs, receivedAtMs}] of queue) {
			const taken = takePermits(endpoint, {count, entryAddress, sentAtMs}, nowMs);
			if (taken === 0) {
				break;
			}

			queue.delete(entryAddress);
			grants.push({
				start, entryAddress, reply: {
					type: 'granted', count: taken, sentAtMs, heldMs: nowMs - receivedAtMs,
				},
			});
		}
	}

	return grants;
};

/** Records that permits were not used. Without that, each would take up its part of the limit for a second; a repeated message has no effect. */
export const returnColdPermits = ({endpoints}: ColdIssuer, {start, entryAddress, count, sentAtMs}: ColdReturn): void => {
	const endpoint = endpoints.get(start);
	if (endpoint === undefined) {
		return;
	}

	for (let index = 0; index < count; index++) {
		const position = endpoint.issued.findIndex(permit => permit.entryAddress === entryAddress && permit.sentAtMs === sentAtMs);
		if (position === -1) {
			return;
		}

		endpoint.issued.splice(position, 1);
		returnTokens(endpoint.bucket, 1);
	}
};

export const hasQueuedColdRequests = ({endpoints}: ColdIssuer): boolean => [...endpoints.values()].some(({queue}) => queue.size > 0);

export const pruneColdIssuer = ({endpoints}: ColdIssuer, nowMs: number): void => {
	for (const [start, {requestedAtMs}] of endpoints) {
		if (nowMs - requestedAtMs > idleRetentionMs) {
			endpoints.delete(start);
		}
	}
};
