import type {Announcement} from '../registry/types.js';
import {randomFraction, type Random} from '../utils/random.js';
import type {EndpointLoad, ReceivedLoad} from './endpoint-load.js';
import {
	activeAt, boundSlowdown, maxFigureAgeMs, slowdownAt,
} from './slowdown.js';

/** The usual time of a request at an endpoint, learned from its answers. */
export type LearnedTime = {
	readonly usualMs: number;
	/** Number of answers that it is based on, up to `maxAnswers`. */
	readonly answers: number;
	readonly atMs: number;
};

/** The factors of the estimate of a plain endpoint. */
export type PlainEstimate = {
	readonly usualMs: number;
	readonly slowdown: number;
	/** The requests there, including the new one, per slot; at least 1. */
	readonly loadFactor: number;
	/** Whether it is expected to refuse a further request. */
	readonly isFull: boolean;
};

type PlainEndpoint = {readonly announcement: Announcement; readonly load: EndpointLoad};

/** Estimated time of a request at a plain service of which nothing is known. */
export const defaultPlainMs = 25;
/** The usual time is a property of the hardware; with fewer answers it would follow the differences between single requests. */
const maxAnswers = 20;
/** The other endpoints of the service count as this many answers: with fewer, the differences between single requests send requests to other zones. */
const othersWeight = 10;
/** An endpoint that was judged slow and gets no requests is judged like the others again within half a minute. */
const answersHalfLifeMs = 10_000;
/** Bounds the effect of an answer that was late for another reason, such as a stalled link. */
const maxSampleFactor = 3;

const heldAnswers = ({answers, atMs}: LearnedTime, nowMs: number): number => answers * (0.5 ** ((nowMs - atMs) / answersHalfLifeMs));

/** Whether the rules for uneven endpoints apply to a service: one of its endpoints has sent a slowdown. */
export const isUneven = (candidates: ReadonlyArray<{readonly load: EndpointLoad}>): boolean => candidates.some(({load: {slowdown}}) => slowdown !== null);

/** The usual time over all endpoints of a service. */
export const serviceTimeMs = (endpoints: readonly PlainEndpoint[], nowMs: number): number => {
	let answers = 0;
	let sumMs = 0;
	for (const {load: {learned}} of endpoints) {
		if (learned !== null) {
			const weight = heldAnswers(learned, nowMs);
			answers += weight;
			sumMs += weight * learned.usualMs;
		}
	}

	return answers === 0 ? defaultPlainMs : sumMs / answers;
};

const usualMsOf = ({learned}: EndpointLoad, serviceMs: number, nowMs: number): number => {
	if (learned === null) {
		return serviceMs;
	}

	const answers = heldAnswers(learned, nowMs);
	return ((answers * learned.usualMs) + (othersWeight * serviceMs)) / (answers + othersWeight);
};

/** Requests at the endpoint: those that its answers advertised, with this entry's requests since; at least this entry's own. */
const requestsAt = ({active, outstanding, awaiting}: EndpointLoad, nowMs: number): number => {
	if (active === null) {
		return outstanding;
	}

	let since = 0;
	for (const {sentAtMs} of awaiting.values()) {
		since += sentAtMs > active.atMs ? 1 : 0;
	}

	return Math.max(outstanding, activeAt(active, nowMs) + since);
};

const loadFactorOf = (active: number, slots: number): number => Math.max(1, active / Math.max(1, slots));

/** An endpoint that has refused is expected for this long to refuse again with as many requests; it may then have more slots. */
const refusalMemoryMs = 10_000;

const isFull = ({refusal}: EndpointLoad, requests: number, slots: number, nowMs: number): boolean => {
	if (refusal === null || nowMs - refusal.atMs >= refusalMemoryMs) {
		return false;
	}

	return nowMs - refusal.atMs < maxFigureAgeMs || requests + 1 > Math.max(slots, refusal.active);
};

export const estimatePlain = ({announcement, load}: PlainEndpoint, serviceMs: number, nowMs: number): PlainEstimate => {
	const slots = load.advertisedLoad?.slots ?? announcement.slots;
	const requests = requestsAt(load, nowMs);
	return {
		usualMs: usualMsOf(load, serviceMs, nowMs), slowdown: load.slowdown === null ? 1 : slowdownAt(load.slowdown, nowMs), loadFactor: loadFactorOf(requests + 1, slots),
		isFull: isFull(load, requests, slots, nowMs),
	};
};

/** Beyond this age of the last answer, an estimate no longer proves that a request cannot be answered. */
const maxProofAgeMs = 5000;

/**
 * Whether an estimate may be too old to refuse requests by it: nothing was received from the
 * endpoint for long, and no request of this entry is there. If requests were refused
 * then, a usual time that was learned during a disturbance would never be corrected.
 */
export const isEstimateStale = ({active, slowdown, outstanding}: EndpointLoad, nowMs: number): boolean => outstanding === 0
	&& nowMs - Math.max(active?.atMs ?? Number.NEGATIVE_INFINITY, slowdown?.atMs ?? Number.NEGATIVE_INFINITY) > maxProofAgeMs;

/** A full endpoint counts as full twice over, as in other services, and for the time in which its slots turn over. */
const fullLoadFactor = 3;

/** The estimated time to an answer. An endpoint that refuses when it is full has no queue that would show in its load. */
export const plainTimeMs = ({usualMs, slowdown, loadFactor, isFull}: PlainEstimate): number => usualMs * slowdown * (isFull ? Math.max(loadFactor, fullLoadFactor) : loadFactor);

export type PlainAnswer = {
	readonly tookMs: number;
	/** The load in the head of the answer; `null` if it is missing or unreadable. */
	readonly advertised: Pick<ReceivedLoad, 'active' | 'slots' | 'slowdown'> | null;
	/** The estimate with which it was sent; `null` if the service was not known to be uneven. */
	readonly estimate: PlainEstimate | null;
};

/** Learns the usual time from a complete answer; an answer without a slowdown changes nothing. */
export const learnPlainTime = (load: EndpointLoad, {announcement: {slots}}: {readonly announcement: Announcement}, {tookMs, advertised, estimate}: PlainAnswer, nowMs: number): void => {
	const slowdown = advertised?.slowdown ?? null;
	if (advertised === null || slowdown === null) {
		return;
	}

	// Either figure of the load may miss requests, and a queue that is missed would be learned as work.
	const loadFactor = Math.max(estimate?.loadFactor ?? 1, loadFactorOf(advertised.active, advertised.slots ?? slots));
	const sampleMs = tookMs / boundSlowdown(slowdown) / loadFactor;
	const {learned} = load;
	if (learned === null) {
		load.learned = {usualMs: sampleMs, answers: 1, atMs: nowMs};
		return;
	}

	const held = heldAnswers(learned, nowMs);
	// Among the first answers, the earlier one may be the outlier.
	const knownMs = held < othersWeight ? Math.min(learned.usualMs, sampleMs * maxSampleFactor) : learned.usualMs;
	const boundedMs = Math.min(sampleMs, knownMs * maxSampleFactor);
	const answers = Math.min(maxAnswers, held + 1);
	load.learned = {usualMs: knownMs + ((boundedMs - knownMs) / answers), answers, atMs: nowMs};
};

/**
 * How much later an answer was than its estimate without the lag, apart from what the
 * slowdown in its head explains: the next estimate includes that slowdown already.
 */
export const plainLatenessMs = ({tookMs, advertised, estimate}: PlainAnswer, expectedMs: number): number => {
	const slowdown = advertised?.slowdown ?? null;
	const slowed = estimate === null || slowdown === null ? 1 : boundSlowdown(slowdown) / estimate.slowdown;
	return tookMs - (expectedMs * Math.max(1, slowed));
};

/** Round trip to another zone: 2 to 4 ms. A near endpoint is used up to the point at which its additional wait exceeds it. */
const otherZoneLatencyMs = 4;
/** Estimates are off by about this share; without it, a third of the requests leave their zone on endpoints that are equally fast. */
const uncertainShare = 0.1;
/** Endpoints of a zone within this difference are chosen at random, so that the entries that see the same loads do not all choose the same one. */
const tieMs = 12;

type RankedPlain = {readonly zoneId: string; readonly expectedMs: number};

type PlainChoice<Ranked> = {readonly chosen: Ranked; /** The best near endpoint, if one in another zone was chosen. */ readonly passedNear: Ranked | null};

export type ChoosePlainOptions = {
	readonly zoneId: string;
	/** Time until the answer is due: an endpoint that meets it is not passed over for a nearer one that does not. */
	readonly dueInMs: number;
	readonly random: Random;
};

/** Chooses among the endpoints of an uneven plain service; `ranked` is not empty. */
export const choosePlain = <Ranked extends RankedPlain>(ranked: readonly Ranked[], {zoneId, dueInMs, random}: ChoosePlainOptions): PlainChoice<Ranked> => {
	const near = ranked.filter(endpoint => endpoint.zoneId === zoneId);
	const other = ranked.filter(endpoint => endpoint.zoneId !== zoneId);
	const leastMs = (endpoints: readonly Ranked[]): number => Math.min(...endpoints.map(({expectedMs}) => expectedMs));
	const nearMs = leastMs(near);
	const otherMs = leastMs(other);
	// The longest estimate with which the near zone is used.
	const nearLimitMs = Math.max(otherMs, Math.min(dueInMs, (otherMs + otherZoneLatencyMs) / (1 - uncertainShare)));
	const isNear = near.length > 0 && nearMs <= nearLimitMs;
	const group = isNear ? near : other;
	const bestMs = isNear ? nearMs : otherMs;
	const limitMs = Math.max(bestMs, Math.min(bestMs + tieMs, dueInMs, isNear ? nearLimitMs : Number.POSITIVE_INFINITY));
	const ties = group.filter(({expectedMs}) => expectedMs <= limitMs);
	const chosen = ties[Math.floor(randomFraction(random) * ties.length)]!;
	return {chosen, passedNear: isNear ? null : near.find(({expectedMs}) => expectedMs === nearMs) ?? null};
};
