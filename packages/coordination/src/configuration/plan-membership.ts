import type {HostReport} from '@bitternpaddle/protocol';
import type {Catalog, Change, Readiness} from '@bitternpaddle/state';
import {forgetHost, type Presence} from './presence.js';

/** How many hosts may still be taken out of the configuration. */
export type LossBudget = {tokens: number; filledAtMs: number};

export const createLossBudget = (): LossBudget => ({tokens: 0, filledAtMs: Number.NEGATIVE_INFINITY});

export type PlanMembershipOptions = {
	readonly catalog: Catalog;
	readonly presence: Presence;
	readonly budget: LossBudget;
	readonly nowMs: number;
	/** A host that is silent for this long may be lost. */
	readonly hostLossMs: number;
};

/** Silence alone, without an entry that fails to reach the host, must last this much longer. */
const silenceAloneFactor = 3;
const lossShare = 0.02;
const minLosses = 2;
const lossPeriodMs = 60_000;

/**
 * The changes that follow from what hosts reported: who came, who left, who
 * is lost, which versions are ready. Looks only at hosts whose report changed
 * and at silent ones.
 */
export const planMembership = (options: PlanMembershipOptions): Change[] => {
	const {catalog, presence} = options;
	const changes: Change[] = [];
	const readiness: Readiness[] = [];
	for (const hostId of presence.changed) {
		const change = planHost(catalog, presence.hosts.get(hostId)!.report);
		if (change === null) {
			presence.changed.delete(hostId);
		} else if (change.type === 'readiness') {
			readiness.push(change.readiness);
		} else {
			changes.push(change);
		}
	}

	if (readiness.length > 0) {
		changes.push({type: 'replicasChanged', readiness});
	}

	return [...changes, ...planLosses(options)];
};

const planHost = (catalog: Catalog, {announcement, readyVersionId, readyAdapterIds = [], isLeaving}: HostReport): Change | {readonly type: 'readiness'; readonly readiness: Readiness} | null => {
	if (announcement === null) {
		return null;
	}

	const {hostId, incarnation} = announcement;
	const known = catalog.hosts[hostId];
	if (isLeaving) {
		return known?.announcement.incarnation === incarnation ? {type: 'hostLeft', hostId, incarnation} : null;
	}

	if (known === undefined || known.announcement.incarnation < incarnation) {
		return {type: 'hostJoined', announcement};
	}

	const isNewlyReady = known.announcement.incarnation === incarnation
		&& (known.readyVersionId !== readyVersionId || !isSameList(known.readyAdapterIds ?? [], readyAdapterIds));
	return isNewlyReady
		? {
			type: 'readiness', readiness: {
				hostId, incarnation, versionId: readyVersionId, ...(readyAdapterIds.length > 0 && {adapterIds: readyAdapterIds}),
			},
		}
		: null;
};

const isSameList = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every((item, position) => item === b[position]);

/**
 * Takes lost hosts out, a bounded number a minute. A silent host has no lease
 * and gets no work, so keeping it costs its replica; taking it out moves its
 * assignment, which costs a transfer of weights. When a zone or a region is
 * cut off, removing all its hosts at once would send its weights to hosts
 * elsewhere in the worst minute, and back when it returns.
 */
const planLosses = (options: PlanMembershipOptions): Change[] => {
	const {catalog, presence, budget, nowMs} = options;
	const failing = failingHosts(presence);
	const lost = [...presence.silent]
		.filter(([hostId, sinceMs]) => isLost(options, failing.has(hostId), nowMs - sinceMs))
		.toSorted(([a, sinceA], [b, sinceB]) => sinceA - sinceB || (a < b ? -1 : 1))
		.map(([hostId]) => hostId);
	if (lost.length === 0) {
		return [];
	}

	fillBudget(budget, Object.keys(catalog.hosts).length, nowMs);
	const changes: Change[] = [];
	for (const hostId of lost) {
		const host = catalog.hosts[hostId];
		if (host === undefined) {
			forgetHost(presence, hostId);
		} else if (budget.tokens >= 1) {
			budget.tokens--;
			changes.push({type: 'hostLeft', hostId: host.announcement.hostId, incarnation: host.announcement.incarnation});
		}
	}

	return changes;
};

/** One side alone does not take a host out at once: its line to control may be cut while it serves, or the lines of some entries. */
const isLost = ({hostLossMs}: PlanMembershipOptions, isFailing: boolean, silentMs: number): boolean => silentMs > hostLossMs * (isFailing ? 1 : silenceAloneFactor);

const failingHosts = (presence: Presence): Set<string> => {
	const failing = new Set<string>();
	if (presence.silent.size === 0) {
		return failing;
	}

	for (const [entryId, {report}] of presence.hosts) {
		for (const hostId of presence.silent.has(entryId) ? [] : report.failingHostIds ?? []) {
			failing.add(hostId);
		}
	}

	return failing;
};

const fillBudget = (budget: LossBudget, hosts: number, nowMs: number): void => {
	const perPeriod = Math.max(minLosses, Math.floor(hosts * lossShare));
	budget.tokens = Math.min(perPeriod, budget.tokens + ((nowMs - budget.filledAtMs) / lossPeriodMs * perPeriod));
	budget.filledAtMs = nowMs;
};
