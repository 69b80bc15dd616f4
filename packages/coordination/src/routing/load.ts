import type {HostState} from './host-state.js';
import {countStartedBy} from './start-times.js';
import type {ResolvedRouterOptions, RouterState} from './types.js';

/**
 * Requests of other entries, as far as the last report still counts. A report
 * that is never renewed must fade: a host once seen full would otherwise get no
 * requests, and so never report that it is free.
 */
const othersOn = ({others, reportedAtMs}: HostState, {reportHalfLifeMs}: ResolvedRouterOptions, nowMs: number): number => others === 0
	? 0
	: others * (2 ** (-(nowMs - reportedAtMs) / reportHalfLifeMs));

/** Requests that run on a host, by this entry's reckoning. */
export const loadOf = (host: HostState, options: ResolvedRouterOptions, nowMs: number): number => host.running + Math.round(othersOn(host, options, nowMs));

const leastRamp = 0.1;

/** A fresh replica has cold caches; it counts as smaller until it has run for a while. */
const rampOf = ({readySinceMs}: HostState, {slowStartMs}: ResolvedRouterOptions, nowMs: number): number => {
	const share = (nowMs - readySinceMs) / slowStartMs;
	return share >= 1 ? 1 : Math.max(leastRamp, share);
};

const penaltyHalfLifeMs = 2000;

export const penaltyOf = ({penalty, penaltyAtMs}: HostState, nowMs: number): number => penalty === 0
	? 0
	: penalty * (2 ** (-(nowMs - penaltyAtMs) / penaltyHalfLifeMs));

/** Which of two hosts is the better choice: the lower, by the load that one request more would make. */
export const scoreOf = (host: HostState, options: ResolvedRouterOptions, nowMs: number): number => {
	const load = host.running + othersOn(host, options, nowMs) + penaltyOf(host, nowMs) + 1;
	return load / (host.capacity * rampOf(host, options, nowMs));
};

export type LoadReport = {
	/** Requests that ran on the host, of all entries. */
	readonly running: number;
	/** How long ago that was. */
	readonly ageMs: number;
};

/**
 * Takes a host's report. What this entry has sent since is not in it, so only
 * its requests from before are taken off; the rest belongs to others.
 */
export const noteLoadReport = (state: RouterState, hostId: string, {running, ageMs}: LoadReport, nowMs: number): void => {
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

/** Brings the host's place among those with room, and its tier's totals, up to date. */
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
	const hasRoom = load < capacity;
	setAvailable(host, isCounted && hasRoom);
	if (isCounted && !hasRoom) {
		state.full.add(host);
	} else {
		state.full.delete(host);
	}
};

/** Keeps `tier.available` dense, so that a random member is found in one step at any size. */
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
