import {
	arrivalsPerSecond, createArrivalRate, noteArrival, type ArrivalRate,
} from './arrival-rate.js';

/** A request that waits at an entry for what those that can be in time leave over. */
export type LaneMember = {
	/** Its caller was sent away before, and has no further try. */
	readonly isLastTry: boolean;
	readonly deadlineAtMs: number;
};

/** The requests of one service that wait at one entry. */
export type LateLane = {
	/** In the order in which they go in. */
	readonly members: LaneMember[];
	/** Free places of engines that this entry may take; a part of one, too. */
	places: number;
	/** This entry's part of all that were free when last looked. */
	part: number;
	refreshedAtMs: number;
	/** Members that were sent on. */
	readonly sent: ArrivalRate;
};

/**
 * All entries see the same free places, and each takes its part of them alone: let
 * in at the first look, those that wait at 39 entries would each fill the same one.
 * What is free is told anew after this.
 */
const turnMs = 250;
/** So many may wait at least, and as many as places are free: what the lane has sent on says nothing of a load, or of engines, that have just come. */
const leastMembers = 3;
/** Of what the lane sent on lately, that much is promised to those who wait. */
const sureShare = 0.8;
/** Whoever waits is given up on only once the lane has slowed this much. */
const patienceFactor = 2;
/**
 * After this only what the lane was seen to serve counts: places that look free may
 * be beyond reach. Counted on, a caller waits to its deadline beside engines with
 * places, and has lost its next try: one in twenty of a calm day.
 */
const trustMs = 1000;
const msPerSecond = 1000;

export const createLateLane = (): LateLane => ({
	members: [], places: 0, part: 0, refreshedAtMs: Number.NEGATIVE_INFINITY, sent: createArrivalRate(),
});

/** Who has no further try goes first, then whoever has the least time left. */
const goesBefore = (a: LaneMember, b: LaneMember): boolean => a.isLastTry === b.isLastTry ? a.deadlineAtMs < b.deadlineAtMs : a.isLastTry;

export const joinLane = ({members}: LateLane, member: LaneMember): void => {
	const index = members.findIndex(other => goesBefore(member, other));
	members.splice(index === -1 ? members.length : index, 0, member);
};

export const leaveLane = ({members}: LateLane, member: LaneMember): void => {
	const index = members.indexOf(member);
	if (index !== -1) {
		members.splice(index, 1);
	}
};

/** How many go in before `member`, which need not have joined. */
export const aheadOf = ({members}: LateLane, member: LaneMember): number => {
	const index = members.indexOf(member);
	return index === -1 ? members.filter(other => !goesBefore(member, other)).length : index;
};

/** Takes in how many places of all engines are free now; each of `entryCount` entries gets its part. */
export const refreshPlaces = (lane: LateLane, freePlaces: number, entryCount: number, nowMs: number): void => {
	const elapsedMs = Math.min(turnMs, nowMs - lane.refreshedAtMs);
	lane.part = freePlaces / entryCount;
	lane.places = Math.min(Math.max(1, lane.part), lane.places + (lane.part * elapsedMs / turnMs));
	lane.refreshedAtMs = nowMs;
};

/** Takes a place for a member that is sent on; `false` if this entry's part is used up. */
export const takePlace = (lane: LateLane, nowMs: number): boolean => {
	if (lane.places < 1) {
		return false;
	}

	lane.places--;
	noteArrival(lane.sent, nowMs);
	return true;
};

/** What a request may expect of a lane. */
export type LaneOutlook = {
	/** Members that go in before it. */
	readonly ahead: number;
	/** In which it can still be answered whole. */
	readonly leftMs: number;
	/** In the lane; 0 for one that has not joined. */
	readonly waitedMs: number;
};

/**
 * Whether a request with `ahead` others before it will most likely be sent on in
 * the `leftMs` in which it can still be answered whole. Whoever will not be is told
 * at once: held to its deadline it would have lost its next try as well.
 */
export const willBeSent = (lane: LateLane, {ahead, leftMs, waitedMs}: LaneOutlook, nowMs: number): boolean => {
	if (leftMs <= 0) {
		return false;
	}

	const promised = arrivalsPerSecond(lane.sent, nowMs) * sureShare * leftMs / msPerSecond;
	const trusted = waitedMs < trustMs ? Math.max(leastMembers, lane.part) : 0;
	return ahead < Math.max(trusted, promised) * (waitedMs > 0 ? patienceFactor : 1);
};
