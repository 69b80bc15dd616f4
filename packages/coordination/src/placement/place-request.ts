import type {EngineProfile} from '@bitternpaddle/state';
import type {Announcement} from '../registry/types.js';
import {drawShare, type Random} from '../utils/random.js';
import {hasFreshReport, lagOf, type EndpointLoad} from './endpoint-load.js';
import {spreadOver} from './crowd.js';
import {demandOf, firstTokenMs, readMs} from './engine-model.js';
import {isMostlySwitched, mayBeginOn, type VersionDue} from './version-due.js';
import {isResting, type EndpointHealth} from './endpoint-health.js';

/** An endpoint as a caller sees it. */
export type Candidate = {
	readonly announcement: Announcement;
	readonly load: EndpointLoad;
	readonly health: EndpointHealth;
};

export type PlaceOptions = {
	readonly candidates: readonly Candidate[];
	/** `null`: a plain service. */
	readonly profile: EngineProfile | null;
	readonly zoneId: string;
	readonly promptTokens: number;
	readonly objectiveMs: number;
	/** From when on which version of the weights must be begun on. */
	readonly dues: readonly VersionDue[];
	readonly excludedIds: ReadonlySet<string>;
	/** Requests that other entries send to the service's engines in a second, as far as this one can tell. */
	readonly othersPerSecond: number;
	/** Part of its answer has been sent: the next engine should not be one that is about to switch. */
	readonly isBegun: boolean;
	readonly random: Random;
	readonly nowMs: number;
};

export type Placement = {
	readonly candidate: Candidate;
	/** When the request is expected to be answered, or its first token to come. */
	readonly expectedMs: number;
	/** What of that is because its answers have lately begun later than expected. */
	readonly lagMs: number;
};

/** What leaving the zone costs, as time: its two crossings, reports that are twice as old, and more since bytes between regions are dear. */
const otherZoneMs = 60;
/** Differences below this share of the objective gain a caller nothing: there, near endpoints are taken. */
const comfortableShare = 0.3;
/** An engine that its own host has stopped reporting on is used last: it or its host may be gone. */
const unreportedMs = 150;
/** The request and its first token both cross a link that its host's reports find full. */
const wayFactor = 2;
/** What a plain service needs for one request while nothing better is known. */
const plainRequestMs = 25;
/** A told load counts this long. */
const toldFreshMs = 300;

/** The version that an endpoint serves, by its own host's word if that is fresh. */
export const versionOf = ({announcement, load}: Candidate, profile: EngineProfile, nowMs: number): number | null => hasFreshReport(load, nowMs)
	? load.report!.version
	: announcement.models.find(({model}) => model === profile.model)?.version ?? null;

const plainExpectedMs = ({announcement: {slots}, load}: Candidate, nowMs: number): number => {
	const told = load.told !== null && nowMs - load.told.atMs < toldFreshMs ? load.told.active : 0;
	const active = Math.max(told, load.outstanding);
	return plainRequestMs * (1 + (active / Math.max(1, slots)) + Math.max(0, active + 1 - slots));
};

const expectedMsOf = (candidate: Candidate, {profile, promptTokens, nowMs}: PlaceOptions): number => {
	if (profile === null) {
		return plainExpectedMs(candidate, nowMs) + lagOf(candidate.load, nowMs);
	}

	const expected = firstTokenMs(profile, demandOf(profile, candidate.load, nowMs), promptTokens) + lagOf(candidate.load, nowMs) + (wayFactor * candidate.load.path.delayMs);
	return hasFreshReport(candidate.load, nowMs) ? expected : expected + unreportedMs;
};

const isLoading = ({load}: Candidate, nowMs: number): boolean => hasFreshReport(load, nowMs) && load.report!.isBusy;

/** A candidate with what is expected of it, which every step of a placement goes by: worked out once for each. */
type Weighed = {readonly candidate: Candidate; readonly expectedMs: number; /** `null`: a plain service, or none held. */ readonly version: number | null};

const isOpen = ({announcement: {id, state}, load: {isLeaving}}: Candidate, {excludedIds}: PlaceOptions): boolean => state === 'ready' && !isLeaving && !excludedIds.has(id);

const weigh = (candidate: Candidate, options: PlaceOptions): Weighed => {
	const {profile, nowMs} = options;
	return {candidate, expectedMs: expectedMsOf(candidate, options), version: profile === null ? null : versionOf(candidate, profile, nowMs)};
};

const canServe = ({candidate, expectedMs, version}: Weighed, {profile, dues, nowMs}: PlaceOptions, isSwitched: boolean): boolean => {
	if (profile === null) {
		return true;
	}

	if (version === null || isLoading(candidate, nowMs)) {
		return false;
	}

	const isCareful = isSwitched || (candidate.load.report?.isStrained ?? false);
	return mayBeginOn(version, dues, {expectedMs, isCareful}, nowMs);
};

/** A stream that is cut a second time is cut for its caller: only a far longer wait outweighs that. */
const secondCutMs = 1000;

/** What an engine that still has to switch to a newer version costs a request that was cut once. */
const switchMs = ({version}: Weighed, {profile, dues, isBegun}: PlaceOptions): number => {
	if (!isBegun || profile === null) {
		return 0;
	}

	return dues.some(due => due.version > (version ?? 0)) ? secondCutMs : 0;
};

/**
 * The endpoint that is expected to answer first. Resting ones are used only
 * when no other is left; `null` if none may serve the request at all.
 */
export const placeRequest = (options: PlaceOptions): Placement | null => {
	const {candidates, profile, dues, nowMs} = options;
	const isSwitched = profile !== null && dues.length > 0 && isMostlySwitched(candidates.map(candidate => versionOf(candidate, profile, nowMs)), dues);
	const usable = candidates.filter(candidate => isOpen(candidate, options))
		.map(candidate => weigh(candidate, options))
		.filter(weighed => canServe(weighed, options, isSwitched));
	const rested = usable.filter(({candidate: {health}}) => !isResting(health, nowMs));
	const ranked = (rested.length > 0 ? rested : usable).map(weighed => rankOf(weighed, options));
	if (ranked.length === 0) {
		return null;
	}

	return profile === null ? placePlain(ranked, options) : placeInCrowd(ranked, profile, options);
};

type Ranked = {readonly candidate: Candidate; readonly expectedMs: number; /** Less is better. */ readonly rankMs: number};

const rankOf = (weighed: Weighed, options: PlaceOptions): Ranked => {
	const {candidate, expectedMs} = weighed;
	const wayMs = candidate.announcement.zoneId === options.zoneId ? 0 : otherZoneMs;
	const comfortableMs = comfortableShare * options.objectiveMs;
	return {candidate, expectedMs, rankMs: Math.max(expectedMs, comfortableMs) + wayMs + switchMs(weighed, options)};
};

/** Differences below this are not real: ties go by lot. */
const tieMs = 12;

const placePlain = (ranked: readonly Ranked[], {random, nowMs}: PlaceOptions): Placement => {
	const lots = ranked.map(({rankMs}) => rankMs + (tieMs * drawShare(random)));
	const {candidate, expectedMs} = ranked[lots.indexOf(Math.min(...lots))]!;
	return {candidate, expectedMs, lagMs: lagOf(candidate.load, nowMs)};
};

/** How long ago the engines were read, in the mean over those that are reported on. */
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

/**
 * Places the request as one of all those that have come to the entries since the
 * engines were read. All entries see the same engine as the best, and until it is
 * read again each sends there: one that comes back empty gets a dozen prompts
 * within a tenth of a second and begins the last of them half a second late. So the
 * others' requests are spread over the engines first, and this one is drawn in
 * proportion to what each engine was given.
 */
const placeInCrowd = (ranked: readonly Ranked[], profile: EngineProfile, {othersPerSecond, random, nowMs}: PlaceOptions): Placement => {
	const others = othersPerSecond * meanReportAgeMs(ranked, nowMs) / 1000;
	const eachMs = readMs(profile, profile.usualPromptTokens);
	const shares = spreadOver(ranked.map(({rankMs}) => rankMs), {count: others + 1, eachMs});
	let drawn = drawShare(random) * (others + 1);
	const index = shares.findIndex(share => {
		drawn -= share;
		return drawn < 0;
	});
	// Rounding may leave the draw just above all shares.
	const chosen = index === -1 ? shares.indexOf(Math.max(...shares)) : index;
	const {candidate, expectedMs} = ranked[chosen]!;
	const beforeIt = shares[chosen]! * others / (others + 1);
	return {candidate, expectedMs: expectedMs + (beforeIt * eachMs), lagMs: lagOf(candidate.load, nowMs)};
};
