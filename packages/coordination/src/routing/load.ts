import type {HostState} from './host-state.js';
import {countStartedBy} from './start-times.js';
import type {ResolvedRouterOptions, RouterState} from './types.js';

/**
 * Estimated running requests of other entries: the last report, decayed by its
 * age. A report that is not renewed must decay; otherwise a host that was reported
 * full would get no requests and so never report that it has spare slots.
 */
const otherEntriesLoad = ({others, reportedAtMs}: HostState, {reportHalfLifeMs}: ResolvedRouterOptions, nowMs: number): number => others === 0
	? 0
	: others * (2 ** (-(nowMs - reportedAtMs) / reportHalfLifeMs));

/** This entry's estimate of the requests running on a host. */
export const loadOf = (host: HostState, options: ResolvedRouterOptions, nowMs: number): number => host.running + Math.round(otherEntriesLoad(host, options, nowMs));

const minRamp = 0.1;

/** A new replica has cold caches, so its capacity counts only in part until it has run for a while. */
const rampOf = ({readySinceMs}: HostState, {slowStartMs}: ResolvedRouterOptions, nowMs: number): number => {
	const share = (nowMs - readySinceMs) / slowStartMs;
	return share >= 1 ? 1 : Math.max(minRamp, share);
};

const penaltyHalfLifeMs = 2000;

export const penaltyOf = ({penalty, penaltyAtMs}: HostState, nowMs: number): number => penalty === 0
	? 0
	: penalty * (2 ** (-(nowMs - penaltyAtMs) / penaltyHalfLifeMs));

/** Relative load of the host with one more request; the host with the lower score is preferred. */
export const scoreOf = (host: HostState, options: ResolvedRouterOptions, nowMs: number): number => {
	const load = host.running + otherEntriesLoad(host, options, nowMs) + penaltyOf(host, nowMs) + 1;
	return load / (host.capacity * rampOf(host, options, nowMs));
};

export type LoadReport = {
	/** Requests running on the host, from all entries. */
	readonly running: number;
	/** Age of the report. */
	readonly ageMs: number;
};

/**
 * Applies a host's load report. It doesn't include requests that this entry sent
 * later, so only this entry's earlier requests are subtracted; the remainder
 * belongs to other entries.
 */
export const recordLoadReport = (state: RouterState, hostId: string, {running, ageMs}: LoadReport, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	const reportedAtMs = nowMs - ageMs;
	if (host === undefined || reportedAtMs < host.reportedAtMs) {
		return;
	}

	const included = countStartedBy(state.starts, host, reportedAtMs);
	host.others = Math.max(0, running - included);
	host.reportedAtMs = reportedAtMs;
	refreshHost(state, host, nowMs);
};

/** Updates the tier's totals and whether the host counts as available. */
export const refreshHost = (state: RouterState, host: HostState, nowMs: number): void => {
	const {tier} = host;
	if (tier === null) {
		return;
	}

	const isCounted = host.isActive && !host.isEjected;
	const load = loadOf(host, state.options, nowMs);
	const {capacity} = host;
	const countedLoad = isCounted ? Math.min(load, capacity) : 0;
	const countedCapacity = isCounted ? capacity : 0;
	tier.load += countedLoad - host.countedLoad;
	tier.capacity += countedCapacity - host.countedCapacity;
	host.countedLoad = countedLoad;
	host.countedCapacity = countedCapacity;
	const hasSpareSlots = load < capacity;
	setAvailable(host, isCounted && hasSpareSlots);
	if (isCounted && !hasSpareSlots) {
		state.full.add(host);
	} else {
		state.full.delete(host);
	}
};

/** Keeps `tier.available` dense, so that picking a random member takes constant time. */
const setAvailable = (host: HostState, isAvailable: boolean): void => {
	const {available} = host.tier!;
	if (isAvailable === (host.position >= 0)) {
		return;
	}

	if (isAvailable) {
		host.position = available.length;
		available.push(host);
		return;
	}

	const last = available.pop()!;
	if (last !== host) {
		available[host.position] = last;
		last.position = host.position;
	}

	host.position = -1;
};
