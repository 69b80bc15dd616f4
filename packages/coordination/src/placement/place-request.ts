import type {EngineProfile} from '@bitternpaddle/state';
import type {Announcement} from '../registry/types.js';
import {randomFraction, type Random} from '../utils/random.js';
import {hasFreshReport, lagOf, type EndpointLoad} from './endpoint-load.js';
import {spreadRequests} from './spread-requests.js';
import {demandOf, firstTokenMs, prefillMs} from './engine-model.js';
import {
	choosePlain, estimatePlain, isUneven, plainTimeMs, serviceTimeMs, type PlainEstimate,
} from './plain-model.js';
import {isMostlySwitched, mayStartOn, type VersionDue} from './version-due.js';
import {isBackingOff, type EndpointHealth} from './endpoint-health.js';

/** An endpoint with the load and health that an entry knows of it. */
export type Candidate = {
	readonly announcement: Announcement;
	readonly load: EndpointLoad;
	readonly health: EndpointHealth;
};

export type PlaceOptions = {
	readonly candidates: readonly Candidate[];
	/** `null` for a plain service. */
	readonly profile: EngineProfile | null;
	readonly zoneId: string;
	readonly promptTokens: number;
	readonly objectiveMs: number;
	/** Time until the answer is due. @default Infinity */
	readonly dueInMs?: number;
	/** The versions of the weights that requests must start on, each with the time from which it is required. */
	readonly dues: readonly VersionDue[];
	readonly excludedIds: ReadonlySet<string>;
	/** Requests per second that other entries send to the service's engines, as estimated by this entry. */
	readonly othersPerSecond: number;
	/** The part of an engine's queue that starts before the request. @default all of it */
	readonly queuedAheadShare?: number;
	/** Whether part of its answer has been sent; the next engine should then not be one that is about to switch versions. */
	readonly isBegun: boolean;
	readonly random: Random;
	readonly nowMs: number;
};

export type Placement = {
	readonly candidate: Candidate;
	/** Estimated time to the answer, or to its first token. */
	readonly expectedMs: number;
	/** The part of the estimate that is due to recent answers that started later than expected. */
	readonly lagMs: number;
	/** The factors of the estimate; missing for an engine, and for a plain service whose endpoints have advertised no slowdown. */
	readonly plain?: PlainEstimate;
	/** The best endpoint of the near zone, if one in another zone was chosen because it is faster. */
	readonly passedNear?: {readonly candidate: Candidate; readonly expectedMs: number};
};

/** Cost of leaving the zone, as time: a network round trip, reports that are twice as old, and a surcharge because traffic between regions is expensive. */
const crossZonePenaltyMs = 60;
/** Differences below this share of the objective don't matter to callers, so endpoints in the same zone are preferred. */
const toleratedShare = 0.3;
/** Engines without fresh reports are used last: the engine or its host may be down. */
const unreportedPenaltyMs = 150;
/** The request and its first token both cross the link whose delay the host's reports show. */
const pathDelayFactor = 2;
/** Estimated time of one request at a plain service, until better information is available. */
const plainRequestMs = 25;
/** An advertised load is used for this long. */
const maxAdvertisedAgeMs = 300;

/** Whether the next start of an endpoint may announce the same id. */
const mayReuseId = ({startedAtMs}: Announcement): boolean => startedAtMs > 0;

/**
 * The version that an endpoint was shown to hold whole; `null` if none was. Every request names
 * this version and the endpoint's id, and an endpoint that holds or is another refuses it:
 * what was shown stays valid without a fresh report. Starts with the same id cannot be told
 * apart by a request, so a report must be fresh there.
 */
export const versionOf = ({announcement, load}: Candidate, nowMs: number): number | null => mayReuseId(announcement) && !hasFreshReport(load, nowMs)
	? null
	: load.wholeVersion;

const plainExpectedMs = ({announcement: {slots}, load}: Candidate, nowMs: number): number => {
	const advertised = load.advertisedLoad !== null && nowMs - load.advertisedLoad.atMs < maxAdvertisedAgeMs ? load.advertisedLoad.active : 0;
	const active = Math.max(advertised, load.outstanding);
	return plainRequestMs * (1 + (active / Math.max(1, slots)) + Math.max(0, active + 1 - slots));
};

const expectedMsOf = (candidate: Candidate, {profile, promptTokens, queuedAheadShare, nowMs}: PlaceOptions): number => {
	if (profile === null) {
		return plainExpectedMs(candidate, nowMs) + lagOf(candidate.load, nowMs);
	}

	const expected = firstTokenMs(profile, demandOf(profile, candidate.load, nowMs, queuedAheadShare), promptTokens) + lagOf(candidate.load, nowMs) + (pathDelayFactor * candidate.load.path.delayMs);
	return hasFreshReport(candidate.load, nowMs) ? expected : expected + unreportedPenaltyMs;
};

const isLoading = ({load}: Candidate, nowMs: number): boolean => hasFreshReport(load, nowMs) && load.report!.isBusy;

/** A candidate with the estimates that all steps of a placement use, computed once. */
type AssessedCandidate = {readonly candidate: Candidate; readonly expectedMs: number; /** `null` for a plain service, or if no version was shown to be whole. */ readonly version: number | null};

const isEligible = ({announcement: {id, state}, load: {isLeaving}}: Candidate, {excludedIds}: PlaceOptions): boolean => state === 'ready' && !isLeaving && !excludedIds.has(id);

const assess = (candidate: Candidate, options: PlaceOptions): AssessedCandidate => {
	const {profile, nowMs} = options;
	return {candidate, expectedMs: expectedMsOf(candidate, options), version: profile === null ? null : versionOf(candidate, nowMs)};
};

const canServe = ({candidate, expectedMs, version}: AssessedCandidate, {profile, dues, nowMs}: PlaceOptions, isSwitched: boolean): boolean => {
	if (profile === null) {
		return true;
	}

	if (version === null || isLoading(candidate, nowMs)) {
		return false;
	}

	const isPathSlow = isSwitched || (candidate.load.report?.isStrained ?? false);
	return mayStartOn(version, dues, {expectedMs, isPathSlow}, nowMs);
};

/** A stream that is interrupted a second time ends incomplete for its caller, which only a far longer wait outweighs. */
const secondCutPenaltyMs = 1000;

/** Penalty for engines that still have to switch to a newer version, for a request that was interrupted before. */
const switchPenaltyMs = ({version}: AssessedCandidate, {profile, dues, isBegun}: PlaceOptions): number => {
	if (!isBegun || profile === null) {
		return 0;
	}

	return dues.some(due => due.version > (version ?? 0)) ? secondCutPenaltyMs : 0;
};

/**
 * Chooses the endpoint that is expected to answer first. Endpoints in backoff are used
 * only if no other is left. Returns `null` if none may serve the request.
 */
export const placeRequest = (options: PlaceOptions): Placement | null => {
	const {candidates, profile, dues, nowMs} = options;
	if (profile === null && isUneven(candidates)) {
		return placeUnevenPlain(options);
	}

	const isSwitched = profile !== null && dues.length > 0 && isMostlySwitched(candidates.map(candidate => versionOf(candidate, nowMs)), dues);
	const usable = candidates.filter(candidate => isEligible(candidate, options))
		.map(candidate => assess(candidate, options))
		.filter(assessed => canServe(assessed, options, isSwitched));
	const healthy = usable.filter(({candidate: {health}}) => !isBackingOff(health, nowMs));
	const ranked = (healthy.length > 0 ? healthy : usable).map(assessed => rankOf(assessed, options));
	if (ranked.length === 0) {
		return null;
	}

	return profile === null ? placePlain(ranked, options) : placeAmongConcurrent(ranked, profile, options);
};

type Ranked = {readonly candidate: Candidate; readonly expectedMs: number; /** Lower is better. */ readonly rankMs: number};

const rankOf = (assessed: AssessedCandidate, options: PlaceOptions): Ranked => {
	const {candidate, expectedMs} = assessed;
	const zonePenaltyMs = candidate.announcement.zoneId === options.zoneId ? 0 : crossZonePenaltyMs;
	const toleratedMs = toleratedShare * options.objectiveMs;
	return {candidate, expectedMs, rankMs: Math.max(expectedMs, toleratedMs) + zonePenaltyMs + switchPenaltyMs(assessed, options)};
};

/** Smaller differences are insignificant; random jitter of this size breaks ties. */
const tieJitterMs = 12;

const placePlain = (ranked: readonly Ranked[], {random, nowMs}: PlaceOptions): Placement => {
	const jitteredMs = ranked.map(({rankMs}) => rankMs + (tieJitterMs * randomFraction(random)));
	const {candidate, expectedMs} = ranked[jitteredMs.indexOf(Math.min(...jitteredMs))]!;
	return {candidate, expectedMs, lagMs: lagOf(candidate.load, nowMs)};
};

/** Places a request at a plain service whose endpoints advertise their slowdown. */
const placeUnevenPlain = (options: PlaceOptions): Placement | null => {
	const {candidates, zoneId, dueInMs = Number.POSITIVE_INFINITY, random, nowMs} = options;
	const eligible = candidates.filter(candidate => isEligible(candidate, options));
	const healthy = eligible.filter(({health}) => !isBackingOff(health, nowMs));
	const usable = healthy.length > 0 ? healthy : eligible;
	if (usable.length === 0) {
		return null;
	}

	const serviceMs = serviceTimeMs(candidates, nowMs);
	const ranked = usable.map(candidate => {
		const plain = estimatePlain(candidate, serviceMs, nowMs);
		const lagMs = lagOf(candidate.load, nowMs);
		return {
			candidate, zoneId: candidate.announcement.zoneId, plain, lagMs, expectedMs: plainTimeMs(plain) + lagMs,
		};
	});
	const {chosen: {candidate, expectedMs, lagMs, plain}, passedNear} = choosePlain(ranked, {zoneId, dueInMs, random});
	return {
		candidate, expectedMs, lagMs, plain, ...(passedNear !== null && {passedNear}),
	};
};

/** Mean age of the fresh reports. */
const meanReportAgeMs = (ranked: readonly Ranked[], nowMs: number): number => {
	let count = 0;
	let sumMs = 0;
	for (const {candidate: {load}} of ranked) {
		if (hasFreshReport(load, nowMs)) {
			count++;
			sumMs += nowMs - load.reportedAtMs;
		}
	}

	return count === 0 ? 0 : sumMs / count;
};

/** The paces by which requests are spread; `null` for a service whose engines advertise no slowdown in their answers. */
const pacesOf = (ranked: readonly Ranked[], profile: EngineProfile, {candidates, nowMs}: PlaceOptions): number[] | null => isUneven(candidates)
	? ranked.map(({candidate: {load}}) => demandOf(profile, load, nowMs).pace)
	: null;

/**
 * Places the request among all those that entries have received since the reports were
 * taken. All entries see the same engine as the best and send to it until its next
 * report: an engine that becomes idle would receive a dozen prompts within 0.1 s and
 * start the last of them 0.5 s late. The requests of other entries are therefore
 * spread over the engines first, and this request is assigned at random, in proportion
 * to each engine's share.
 */
const placeAmongConcurrent = (ranked: readonly Ranked[], profile: EngineProfile, options: PlaceOptions): Placement => {
	const {othersPerSecond, random, nowMs} = options;
	const concurrentCount = othersPerSecond * meanReportAgeMs(ranked, nowMs) / 1000;
	const perRequestMs = prefillMs(profile, profile.usualPromptTokens);
	const paces = pacesOf(ranked, profile, options);
	const shares = spreadRequests(ranked.map(({rankMs}) => rankMs), {count: concurrentCount + 1, perRequestMs, paces});
	let remaining = randomFraction(random) * (concurrentCount + 1);
	const index = shares.findIndex(share => {
		remaining -= share;
		return remaining < 0;
	});
	// Rounding may put the drawn value just above the sum of the shares.
	const chosen = index === -1 ? shares.indexOf(Math.max(...shares)) : index;
	const {candidate, expectedMs} = ranked[chosen]!;
	const aheadCount = shares[chosen]! * concurrentCount / (concurrentCount + 1);
	return {candidate, expectedMs: expectedMs + (aheadCount * perRequestMs * (paces?.[chosen] ?? 1)), lagMs: lagOf(candidate.load, nowMs)};
};
