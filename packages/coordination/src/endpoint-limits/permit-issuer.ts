import {
	createTokenBucket, setBucketRate, takeTokens, type TokenBucket,
} from '../admission/token-bucket.js';
import type {EndpointStart} from './limit-ledger.js';

export type PermitRequest = {
	readonly start: EndpointStart;
	readonly entryAddress: string;
	readonly count: number;
	/** The endpoint's limit. */
	readonly perSecond: number;
};

export type PermitGrant = {readonly start: EndpointStart; readonly entryAddress: string; readonly count: number};

/** The reply to a request for permits. */
export type PermitReply
	= | {readonly type: 'granted'; readonly count: number}
		/** The request is queued; `waitMs` estimates when the grant follows. */
		| {readonly type: 'queued'; readonly waitMs: number};

type QueuedRequest = {readonly count: number; readonly requestedAtMs: number};
type EndpointPermits = {readonly bucket: TokenBucket; readonly queue: Map<string, QueuedRequest>; requestedAtMs: number};

/** Issues permits for requests to limited endpoints, for each endpoint at the rate of its limit. */
export type PermitIssuer = {readonly endpoints: Map<EndpointStart, EndpointPermits>};

/** Keeps probing an endpoint whose limit is zero or close to it, to detect that the limit changed. */
const minPerSecond = 0.2;
/** The part of a second for which unrequested permits accumulate. */
const burstShare = 0.25;
/** Exceeds the interval at which entries renew queued requests; older ones are removed. */
export const queueTimeoutMs = 300;
/** Endpoints without permit requests for this long are removed. */
const idleRetentionMs = 60_000;

/** The rate at which permits are issued for a limit. */
export const permitRate = (perSecond: number): number => Math.max(minPerSecond, perSecond);

export const createPermitIssuer = (): PermitIssuer => ({endpoints: new Map()});

const burstOf = (rate: number): number => Math.max(1, rate * burstShare);

/** The bucket starts empty, because a previous issuer may have just granted a full burst. */
const permitsFor = ({endpoints}: PermitIssuer, {start, perSecond}: PermitRequest, nowMs: number): EndpointPermits => {
	const rate = permitRate(perSecond);
	const known = endpoints.get(start);
	if (known !== undefined) {
		setBucketRate(known.bucket, rate, burstOf(rate), nowMs);
		known.requestedAtMs = nowMs;
		return known;
	}

	const bucket = createTokenBucket({ratePerSecond: rate, burst: burstOf(rate), nowMs});
	bucket.level = 0;
	const created: EndpointPermits = {bucket, queue: new Map(), requestedAtMs: nowMs};
	endpoints.set(start, created);
	return created;
};

const takePermits = (bucket: TokenBucket, count: number, nowMs: number): number => {
	let taken = 0;
	while (taken < count && takeTokens(bucket, 1, nowMs) === 0) {
		taken++;
	}

	return taken;
};

const dropTimedOut = (queue: Map<string, QueuedRequest>, nowMs: number): void => {
	for (const [entryAddress, {requestedAtMs}] of queue) {
		if (nowMs - requestedAtMs > queueTimeoutMs) {
			queue.delete(entryAddress);
		}
	}
};

/** Grants permits or queues the request. A renewed request keeps its place in the queue. */
export const requestPermits = (issuer: PermitIssuer, request: PermitRequest, nowMs: number): PermitReply => {
	const {bucket, queue} = permitsFor(issuer, request, nowMs);
	dropTimedOut(queue, nowMs);
	const count = queue.size === 0 ? takePermits(bucket, request.count, nowMs) : 0;
	if (count > 0) {
		return {type: 'granted', count};
	}

	queue.set(request.entryAddress, {count: request.count, requestedAtMs: nowMs});
	const queuePosition = [...queue.keys()].indexOf(request.entryAddress) + 1;
	return {type: 'queued', waitMs: Math.max(0, queuePosition - bucket.level) * 1000 / bucket.ratePerSecond};
};

/** Grants available permits to the queued requests in order. */
export const issuePermits = ({endpoints}: PermitIssuer, nowMs: number): PermitGrant[] => {
	const grants: PermitGrant[] = [];
	for (const [start, {bucket, queue}] of endpoints) {
		dropTimedOut(queue, nowMs);
		for (const [entryAddress, queued] of queue) {
			const count = takePermits(bucket, queued.count, nowMs);
			if (count === 0) {
				break;
			}

			queue.delete(entryAddress);
			grants.push({start, entryAddress, count});
		}
	}

	return grants;
};

export const hasQueuedRequests = ({endpoints}: PermitIssuer): boolean => [...endpoints.values()].some(({queue}) => queue.size > 0);

export const pruneIssuer = ({endpoints}: PermitIssuer, nowMs: number): void => {
	for (const [start, {requestedAtMs}] of endpoints) {
		if (nowMs - requestedAtMs > idleRetentionMs) {
			endpoints.delete(start);
		}
	}
};
