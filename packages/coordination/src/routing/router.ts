import {
	adapterNameOf, isUsable, isWorthWaiting, type HostFilter,
} from './adapter-hosts.js';
import {findOnRing} from './hash-ring.js';
import {createHostNumbers, freeNumbers, type HostState} from './host-state.js';
import {
	noteAnswering, noteAwaiting, noteOutcome, type RequestOutcome,
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
		/** Hosts whose load should be asked for: what is known of them is old. */
		readonly probes: readonly Endpoint[];
	}
	| {readonly type: 'unknownTarget'}
	/** Nothing serves the target, or all that does was tried. */
	| {readonly type: 'noEndpoint'}
	/** All that serves the target is full. */
	| {readonly type: 'busy'};

export type ChooseOptions = {
	readonly target: RouteTarget;
	/** Hosts that this request has tried already. */
	readonly tried: ReadonlySet<string>;
	/** Start of the prompt; requests with the same go to the same host while its load allows. @default null */
	readonly prefixKey?: string | null;
};

const noProbes: readonly Endpoint[] = [];
const affinityTries = 3;

/**
 * Picks an endpoint: a fleet by its share of the traffic, the nearest tier that
 * is not yet loaded, there the owner of the prompt's prefix, or of two random
 * hosts the less loaded. Its cost does not depend on the number of endpoints.
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

	return chooseOfTwo(state, group, {tier, filter, nowMs});
};

/** Whether a request for the target could start now. */
export const hasRoom = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target)?.some(({group}) => groupHasRoom(group)) ?? false;

/** Whether anything serves the target, full or not. */
export const hasEndpoint = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target)?.some(({group}) => group.activeSize > 0) ?? false;

export const isKnownTarget = (state: RouterState, target: RouteTarget): boolean => groupsFor(state, target) !== null;

const groupHasRoom = ({tiers: [zone, region, far]}: Group): boolean => zone.available.length > 0 || region.available.length > 0 || far.available.length > 0;

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

/** A full fleet's share goes to the others: the operator's percentages hold while there is room. */
const pickGroup = (state: RouterState, groups: readonly TrafficGroup[]): Group | null => {
	let total = 0;
	for (const {group, percent} of groups) {
		total += groupHasRoom(group) ? percent : 0;
	}

	if (total === 0) {
		return null;
	}

	let draw = state.options.random.between(0, Math.ceil(total * 100) - 1) / 100;
	let last: Group | null = null;
	for (const {group, percent} of groups) {
		if (!groupHasRoom(group)) {
			continue;
		}

		last = group;
		draw -= percent;
		if (draw < 0) {
			break;
		}
	}

	return last;
};

const utilisation = ({load, capacity}: Tier): number => capacity === 0 ? 1 : load / capacity;

/** The nearest tier below the share from which requests spill; when all are above, the least loaded with room. */
const pickTier = (state: RouterState, {tiers}: Group): Tier => {
	let least: Tier | null = null;
	for (const tier of tiers) {
		if (tier.available.length === 0) {
			continue;
		}

		if (utilisation(tier) < state.options.spillShare) {
			return tier;
		}

		if (least === null || utilisation(tier) < utilisation(least)) {
			least = tier;
		}
	}

	return least!;
};

/**
 * The host that owns the prefix, unless it is loaded above its tier's mean by
 * the factor: a popular prefix would otherwise pile up on one host. Entries
 * agree on the owner without telling each other, and cache events, which come
 * late and with gaps, are not needed.
 */
const ownerOf = (state: RouterState, tier: Tier, {prefixKey, filter}: {readonly prefixKey: string | null; readonly filter: HostFilter}, nowMs: number): HostState | null => {
	if (prefixKey === null) {
		return null;
	}

	const {options} = state;
	const share = Math.max(options.affinityFloor, options.affinityFactor * utilisation(tier));
	return findOnRing(tier.ring, prefixKey, affinityTries, host => host.position >= 0
		&& scoreOf(host, options, nowMs) <= Math.max(share, 1 / host.capacity)
		&& isUsable(host, filter));
};

type Drawing = {readonly tier: Tier; readonly filter: HostFilter; readonly nowMs: number};

const chooseOfTwo = (state: RouterState, group: Group, {tier, filter, nowMs}: Drawing): Choice => {
	const first = drawUntried(state, tier, filter) ?? drawAnywhere(state, group, filter);
	if (first === null) {
		return {type: isWorthWaiting(group, filter) ? 'busy' : 'noEndpoint'};
	}

	const second = drawUntried(state, first.tier!, filter) ?? first;
	const best = scoreOf(second, state.options, nowMs) < scoreOf(first, state.options, nowMs) ? second : first;
	const probes = first === second ? noProbes : [first, second].filter(host => isProbeDue(state, host, nowMs)).map(host => host.endpoint);
	return {type: 'chosen', endpoint: best.endpoint, probes};
};

const drawAnywhere = (state: RouterState, {tiers}: Group, filter: HostFilter): HostState | null => {
	for (const tier of tiers) {
		const host = drawUntried(state, tier, filter);
		if (host !== null) {
			return host;
		}
	}

	return null;
};

/** A random host with room that may be chosen: of any run of `tried.size + 1` hosts one is untried; holders of an adapter may be few while it is loaded. */
const drawUntried = ({options}: RouterState, {available}: Tier, filter: HostFilter): HostState | null => {
	if (available.length === 0) {
		return null;
	}

	const start = options.random.between(0, available.length - 1);
	const looks = filter.adapterId === undefined ? Math.min(available.length, filter.tried.size + 1) : available.length;
	for (let step = 0; step < looks; step++) {
		const host = available[(start + step) % available.length]!;
		if (isUsable(host, filter)) {
			return host;
		}
	}

	return null;
};

/** Only a host that others may use as well has a load that this entry cannot know. */
const isProbeDue = (state: RouterState, host: HostState, nowMs: number): boolean => {
	const {staleMs} = state.options;
	if (state.otherEntries.size === 0 || nowMs - host.reportedAtMs <= staleMs || nowMs - host.probedAtMs <= staleMs) {
		return false;
	}

	host.probedAtMs = nowMs;
	return true;
};

export const noteStart = (state: RouterState, hostId: string, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host === undefined) {
		return;
	}

	pushStart(state.starts, host, nowMs);
	noteAwaiting(host, nowMs);
	refreshHost(state, host, nowMs);
};

/** The first byte of an answer came. */
export const noteFirstByte = (state: RouterState, hostId: string, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host !== undefined) {
		noteAnswering(host, nowMs);
	}
};

export type RequestEnd = {
	readonly outcome: RequestOutcome;
	/** `noteFirstByte` was called for this request. */
	readonly hadFirstByte: boolean;
};

export const noteEnd = (state: RouterState, hostId: string, {outcome, hadFirstByte}: RequestEnd, nowMs: number): void => {
	const host = state.hosts.get(hostId);
	if (host === undefined) {
		return;
	}

	dropOldestStart(state.starts, host);
	if (!hadFirstByte) {
		noteAnswering(host, nowMs);
	}

	if (outcome.type === 'full') {
		// What the door has just proved goes before any earlier report.
		host.others = Math.max(host.others, host.capacity - host.running);
		host.reportedAtMs = nowMs;
	} else if (outcome.type === 'answered') {
		// It left a place free. A report from before this entry's last starts counts
		// that place as another's still; by it the host would stay full, and idle,
		// until the report has faded.
		host.others = Math.min(host.others, Math.max(0, host.capacity - 1 - host.running));
	}

	noteOutcome(state, host, outcome, nowMs);
	refreshHost(state, host, nowMs);
	if (host.tier === null && host.running === 0) {
		state.hosts.delete(hostId);
		freeNumbers(host);
	}
};

/** This entry's requests in flight on a host. */
export const inFlightOn = (state: RouterState, hostId: string): number => state.hosts.get(hostId)?.running ?? 0;

/** Load of a host as this entry reckons it. */
export const knownLoad = (state: RouterState, hostId: string, nowMs: number): number => {
	const host = state.hosts.get(hostId);
	return host === undefined ? 0 : loadOf(host, state.options, nowMs);
};
