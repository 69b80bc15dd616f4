import {
	adapterNameOf, isUsable, isWorthWaiting, type HostFilter,
} from './adapter-hosts.js';
import {findOnRing} from './hash-ring.js';
import {createHostNumbers, freeNumbers, type HostState} from './host-state.js';
import {
	clearAwaitingFirstByte, recordAwaitingFirstByte, recordOutcome, type RequestOutcome,
} from './health.js';
import {loadOf, refreshHost, scoreOf} from './load.js';
import {createStartTimes, dropOldestStart, pushStart} from './start-times.js';
import type {
	Endpoint, Group, RouterOptions, RouterState, RouteTarget, Tier, TrafficGroup,
} from './types.js';

export const createRouter = (options: RouterOptions): RouterState => ({
	options: {
		entriesPerEndpoint: 4, minimumPerTier: 12, spillShare: 0.8, affinityFactor: 1.25, affinityFloor: 0.5, staleMs: 1000, reportHalfLifeMs: 2000,
		slowStartMs: 30_000, maxEjectedShare: 0.5, panicMs: 10_000, failuresToEject: 3, ejectionMs: 5000, silentMs: 2000, ...options,
	},
	revision: 0, hosts: new Map(), numbers: createHostNumbers(), starts: createStartTimes(), groups: new Map(), models: new Map(), services: new Map(), adapters: new Set(), otherEntries: new Set(),
	full: new Set(), zoneFailureShares: new Map(), notices: [],
});

export type Choice
	= | {
		readonly type: 'chosen';
		readonly endpoint: Endpoint;
		/** Hosts whose load should be probed, because their last report is stale. */
		readonly probes: readonly Endpoint[];
	}
	| {readonly type: 'unknownTarget'}
	/** No endpoint serves the target, or all that do were tried. */
	| {readonly type: 'noEndpoint'}
	/** All endpoints that serve the target are full. */
	| {readonly type: 'busy'};

export type ChooseOptions = {
	readonly target: RouteTarget;
	/** Hosts that this request has already tried. */
	readonly tried: ReadonlySet<string>;
	/** Key of the prompt's prefix; requests with the same key go to the same host while its load allows. @default null */
	readonly prefixKey?: string | null;
};

const noProbes: readonly Endpoint[] = [];
const affinityTries = 3;

/**
 * Picks an endpoint: a fleet according to the traffic split, then the nearest tier
 * that is not loaded yet, and there the owner of the prompt's prefix or the less
 * loaded of two random hosts. The cost does not depend on the number of endpoints.
 */
export const chooseEndpoint = (state: RouterState, options: ChooseOptions, nowMs: number): Choice => {
	const groups = groupsFor(state, options.target);
	if (groups === null) {
		return {type: 'unknownTarget'};
	}

	const group = pickGroup(state, groups);
	if (group === null) {
		return groups.some(({group}) => group.activeSize > 0) ? {type: 'busy'} : {type: 'noEndpoint'};
	}

	const tier = pickTier(state, group);
	const {target, tried} = options;
	const filter: HostFilter = {tried, adapterId: target.type === 'model' ? target.adapterId : undefined};
	const owner = ownerOf(state, tier, {prefixKey: options.prefixKey ?? null, filter}, nowMs);
	if (owner !== null) {
		return {type: 'chosen', endpoint: owner.endpoint, probes: noProbes};
	}

	return chooseLessLoadedOfTwo(state, group, {tier, filter, nowMs});
};

/** Whether a request for the target could start now. */
export const hasSpareSlots = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target)?.some(({group}) => groupHasSpareSlots(group)) ?? false;

/** Whether any endpoint serves the target, full or not. */
export const hasEndpoint = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target)?.some(({group}) => group.activeSize > 0) ?? false;

export const isKnownTarget = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target) !== null;

const groupHasSpareSlots = ({tiers: [zone, region, far]}: Group): boolean => zone.available.length > 0 || region.available.length > 0 || far.available.length > 0;

const groupsFor = (state: RouterState, target: RouteTarget): readonly TrafficGroup[] | null => {
	if (target.type === 'model') {
		const groups = state.models.get(target.modelId) ?? null;
		return target.adapterId === undefined ? groups : groupsWithAdapter(state, groups, adapterNameOf(target.modelId, target.adapterId), target.adapterId);
	}

	const group = state.services.get(target.serviceId);
	if (group === undefined) {
		return null;
	}

	return group === null ? [] : [{percent: 100, group}];
};

const groupsWithAdapter = ({adapters}: RouterState, groups: readonly TrafficGroup[] | null, name: string, adapterId: string): readonly TrafficGroup[] | null =>
	adapters.has(name) ? groups?.filter(({adapterIds}) => adapterIds?.includes(adapterId)) ?? null : null;

/** Distributes a full fleet's share over the others; the configured percentages apply while every fleet has spare slots. */
const pickGroup = (state: RouterState, groups: readonly TrafficGroup[]): Group | null => {
	let total = 0;
	for (const {group, percent} of groups) {
		total += groupHasSpareSlots(group) ? percent : 0;
	}

	if (total === 0) {
		return null;
	}

	let remainingPercent = state.options.random.between(0, Math.ceil(total * 100) - 1) / 100;
	let picked: Group | null = null;
	for (const {group, percent} of groups) {
		if (!groupHasSpareSlots(group)) {
			continue;
		}

		picked = group;
		remainingPercent -= percent;
		if (remainingPercent < 0) {
			break;
		}
	}

	return picked;
};

const utilisation = ({load, capacity}: Tier): number => capacity === 0 ? 1 : load / capacity;

/** The nearest tier below the spill threshold; if all are above it, the least loaded tier with spare slots. */
const pickTier = (state: RouterState, {tiers}: Group): Tier => {
	let leastLoaded: Tier | null = null;
	for (const tier of tiers) {
		if (tier.available.length === 0) {
			continue;
		}

		if (utilisation(tier) < state.options.spillShare) {
			return tier;
		}

		if (leastLoaded === null || utilisation(tier) < utilisation(leastLoaded)) {
			leastLoaded = tier;
		}
	}

	return leastLoaded!;
};

/**
 * The host that owns the prefix, unless its load exceeds the tier's mean by the
 * affinity factor; otherwise a popular prefix would overload one host. Entries
 * agree on the owner without communicating, and no cache events are needed, which
 * would arrive late and incompletely.
 */
const ownerOf = (state: RouterState, tier: Tier, {prefixKey, filter}: {readonly prefixKey: string | null; readonly filter: HostFilter}, nowMs: number): HostState | null => {
	if (prefixKey === null) {
		return null;
	}

	const {options} = state;
	const maxScore = Math.max(options.affinityFloor, options.affinityFactor * utilisation(tier));
	return findOnRing(tier.ring, prefixKey, affinityTries, host => host.position >= 0
		&& scoreOf(host, options, nowMs) <= Math.max(maxScore, 1 / host.capacity)
		&& isUsable(host, filter));
};

type PickContext = {readonly tier: Tier; readonly filter: HostFilter; readonly nowMs: number};

const chooseLessLoadedOfTwo = (state: RouterState, group: Group, {tier, filter, nowMs}: PickContext): Choice => {
	const first = pickRandomUntried(state, tier, filter) ?? pickFromAnyTier(state, group, filter);
	if (first === null) {
		return {type: isWorthWaiting(group, filter) ? 'busy' : 'noEndpoint'};
	}

	const second = pickRandomUntried(state, first.tier!, filter) ?? first;
	const best = scoreOf(second, state.options, nowMs) < scoreOf(first, state.options, nowMs) ? second : first;
	const probes = first === second ? noProbes : [first, second].filter(host => isProbeDue(state, host, nowMs)).map(host => host.endpoint);
	return {type: 'chosen', endpoint: best.endpoint, probes};
};

const pickFromAnyTier = (state: RouterState, {tiers}: Group, filter: HostFilter): HostState | null => {
	for (const tier of tiers) {
		const host = pickRandomUntried(state, tier, filter);
		if (host !== null) {
			return host;
		}
	}

	return null;
};

/**
 * A random available host that passes the filter. Among any `tried.size + 1`
 * consecutive hosts at least one is untried; with an adapter all are checked,
 * because few hosts may hold it while it is being loaded.
 */
const pickRandomUntried = ({options}: RouterState, {available}: Tier, filter: HostFilter): HostState | null => {
	if (available.length === 0) {
		return null;
	}

	const start = options.random.between(0, available.length - 1);
	const maxChecks = filter.adapterId === undefined ? Math.min(available.length, filter.tried.size + 1) : available.length;
	for (let step = 0; step < maxChecks; step++) {
		const host = available[(start + step) % available.length]!;
		if (isUsable(host, filter)) {
			return host;
		}
	}

	return null;
};

/** A probe is useful only if other entries exist, because their load on the host is unknown to this entry. */
const isProbeDue = (state: RouterState, host: HostState, nowMs: number): boolean => {
	const {staleMs} = state.options;
	if (state.otherEntries.size === 0 || nowMs - host.reportedAtMs <= staleMs || nowMs - host.probedAtMs <= staleMs) {
		return false;
	}

	host.probedAtMs = nowMs;
	return true;
};

export const recordStart = (state: RouterState, hostId: string, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host === undefined) {
		return;
	}

	pushStart(state.starts, host, nowMs);
	recordAwaitingFirstByte(host, nowMs);
	refreshHost(state, host, nowMs);
};

/** Records the first byte of an answer. */
export const recordFirstByte = (state: RouterState, hostId: string, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host !== undefined) {
		clearAwaitingFirstByte(host, nowMs);
	}
};

export type RequestEnd = {
	readonly outcome: RequestOutcome;
	/** The first byte of this request's answer was recorded. */
	readonly hadFirstByte: boolean;
};

export const recordEnd = (state: RouterState, hostId: string, {outcome, hadFirstByte}: RequestEnd, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host === undefined) {
		return;
	}

	dropOldestStart(state.starts, host);
	if (!hadFirstByte) {
		clearAwaitingFirstByte(host, nowMs);
	}

	if (outcome.type === 'full') {
		// The refusal by the request gate is more recent than any report.
		host.others = Math.max(host.others, host.capacity - host.running);
		host.reportedAtMs = nowMs;
	} else if (outcome.type === 'answered') {
		// The request has freed a slot. A report from before this entry's latest starts still
		// counts that slot as used by another entry; the host would appear full while it is
		// idle until the report has decayed.
		host.others = Math.min(host.others, Math.max(0, host.capacity - 1 - host.running));
	}

	recordOutcome(state, host, outcome, nowMs);
	refreshHost(state, host, nowMs);
	if (host.tier === null && host.running === 0) {
		state.hosts.delete(hostId);
		freeNumbers(host);
	}
};

/** This entry's requests in flight on a host. */
export const inFlightOn = (state: RouterState, hostId: string): number => state.hosts.get(hostId)?.running ?? 0;

/** This entry's estimate of a host's load. */
export const estimatedLoad = (state: RouterState, hostId: string, nowMs: number): number => {
	const host = state.hosts.get(hostId);
	return host === undefined ? 0 : loadOf(host, state.options, nowMs);
};
