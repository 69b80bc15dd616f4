import {mayServe, type HostRecord} from '@bitternpaddle/state';
import {rendezvousWeight} from '../utils/rendezvous.js';
import {
	addToRing, createHashRing, removeFromRing,
} from './hash-ring.js';
import {forgetHealth, resetHealth} from './health.js';
import {freeNumbers, HostState} from './host-state.js';
import {refreshHost} from './load.js';
import {
	countEntriesAhead, isInSubset, offerToMinimum, removeFromMinimum,
} from './subset.js';
import type {
	Endpoint, Group, RouterState, Tier,
} from './types.js';

/** Key of the group that a host belongs to; hosts with the same key can answer the same requests. */
const groupKeyOf = (record: HostRecord): string | null => {
	const {announcement, assignment, readyVersionId} = record;
	if (!mayServe(record)) {
		return null;
	}

	if (announcement.kind === 'plain') {
		return serviceKey(announcement.serviceId);
	}

	return assignment === null || readyVersionId === null ? null : fleetKey(assignment.fleetId, readyVersionId);
};

export const serviceKey = (serviceId: string): string => `service/${serviceId}`;
export const fleetKey = (fleetId: string, versionId: string): string => `fleet/${fleetId}/${versionId}`;

const toEndpoint = ({announcement, readyVersionId, assignment}: HostRecord): Endpoint => ({
	hostId: announcement.hostId,
	address: announcement.address,
	incarnation: announcement.incarnation,
	zoneId: announcement.zoneId,
	regionId: announcement.regionId,
	capacity: announcement.capacity,
	versionId: announcement.kind === 'plain' ? null : readyVersionId,
	fleetId: assignment?.fleetId ?? null,
});

const createGroup = (key: string): Group => {
	const tiers: Tier[] = [];
	const group = {
		key, tiers, size: 0, activeSize: 0, ejected: new Set<HostState>(), panicUntilMs: 0, awaiting: new Map<HostState, number>(),
		failureShare: 0, latencyMs: 0, outcomes: 0,
	} as unknown as Group;
	for (let distance = 0; distance < 3; distance++) {
		tiers.push({
			group, members: new Set(), minimum: [], available: [], ring: createHashRing(), load: 0, capacity: 0,
		});
	}

	return group;
};

const tierFor = ({options}: RouterState, {tiers: [zone, region, far]}: Group, endpoint: Endpoint): Tier => {
	if (endpoint.zoneId === options.zoneId) {
		return zone;
	}

	return endpoint.regionId === options.regionId ? region : far;
};

export type PlaceOptions = {
	/** The entry has just started and knows no host yet, so no host counts as newly ready. */
	readonly isInitial: boolean;
	readonly nowMs: number;
};

/** Applies a host's new record and moves the host to its group. */
export const placeHost = (state: RouterState, record: HostRecord, {isInitial, nowMs}: PlaceOptions): void => {
	const {hostId, incarnation} = record.announcement;
	let host = state.hosts.get(hostId);
	if (host === undefined) {
		host = createHost(state, record);
		state.hosts.set(hostId, host);
	}

	const isRestarted = host.record.announcement.incarnation !== incarnation;
	const key = groupKeyOf(record);
	host.record = record;
	if (!isRestarted && host.tier?.group.key === key && host.capacity === record.announcement.capacity) {
		host.endpoint = toEndpoint(record);
		return;
	}

	leaveGroup(state, host, nowMs);
	host.endpoint = toEndpoint(record);
	host.capacity = host.endpoint.capacity;
	if (isRestarted) {
		host.others = 0;
		resetHealth(host);
	}

	if (key !== null) {
		host.readySinceMs = isInitial ? Number.NEGATIVE_INFINITY : nowMs;
		joinGroup(state, host, key, nowMs);
	}
};

const createHost = (state: RouterState, record: HostRecord): HostState => {
	const {hostId} = record.announcement;
	const weight = rendezvousWeight(state.options.entryId, hostId);
	return new HostState(state.numbers, {
		record, endpoint: toEndpoint(record), weight, entriesAhead: countEntriesAhead(state, hostId, weight),
	});
};

export const removeHost = (state: RouterState, host: HostState, nowMs: number): void => {
	leaveGroup(state, host, nowMs);
	if (host.running === 0) {
		state.hosts.delete(host.hostId);
		freeNumbers(host);
	}
};

const joinGroup = (state: RouterState, host: HostState, key: string, nowMs: number): void => {
	let group = state.groups.get(key);
	if (group === undefined) {
		group = createGroup(key);
		state.groups.set(key, group);
	}

	const tier = tierFor(state, group, host.endpoint);
	host.tier = tier;
	tier.members.add(host);
	group.size++;
	const displaced = offerToMinimum(state, tier, host);
	updateActivity(state, host, nowMs);
	if (displaced !== null) {
		updateActivity(state, displaced, nowMs);
	}
};

const leaveGroup = (state: RouterState, host: HostState, nowMs: number): void => {
	const {tier} = host;
	if (tier === null) {
		return;
	}

	forgetHealth(host);
	tier.members.delete(host);
	const promoted = removeFromMinimum(tier, host);
	setActive(state, host, false, nowMs);
	tier.group.size--;
	host.tier = null;
	if (promoted !== null) {
		updateActivity(state, promoted, nowMs);
	}

	if (tier.group.size === 0) {
		state.groups.delete(tier.group.key);
	}
};

const updateActivity = (state: RouterState, host: HostState, nowMs: number): void => {
	setActive(state, host, host.tier!.minimum.includes(host) || isInSubset(state, host), nowMs);
};

const setActive = (state: RouterState, host: HostState, isActive: boolean, nowMs: number): void => {
	const tier = host.tier!;
	if (host.isActive !== isActive) {
		host.isActive = isActive;
		tier.group.activeSize += isActive ? 1 : -1;
		if (isActive) {
			addToRing(tier.ring, host);
		} else {
			removeFromRing(tier.ring, host);
		}
	}

	refreshHost(state, host, nowMs);
};

/** Each change costs one hash per host; 12,000 hashes take about 3 ms. */
const entryChangesPerStep = 4;

/**
 * Applies the list of all entries and recomputes the subset, a few entries per
 * call so that requests are not delayed; returns whether all changes are applied.
 */
export const setEntries = (state: RouterState, entryIds: readonly string[], nowMs: number): boolean => {
	const listed = new Set(entryIds.filter(id => id !== state.options.entryId));
	const joined = [...listed].filter(id => !state.otherEntries.has(id));
	const left = [...state.otherEntries].filter(id => !listed.has(id));
	const changes = [...joined, ...left].slice(0, entryChangesPerStep);
	for (const entryId of changes) {
		changeEntry(state, entryId, nowMs);
	}

	return changes.length === joined.length + left.length;
};

const changeEntry = (state: RouterState, entryId: string, nowMs: number): void => {
	const isLeaving = state.otherEntries.delete(entryId);
	if (!isLeaving) {
		state.otherEntries.add(entryId);
	}

	for (const host of state.hosts.values()) {
		if (rendezvousWeight(entryId, host.hostId) > host.weight) {
			host.entriesAhead += isLeaving ? -1 : 1;
			if (host.tier !== null) {
				updateActivity(state, host, nowMs);
			}
		}
	}
};
