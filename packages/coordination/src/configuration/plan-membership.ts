import type {HostReport} from '@bitternpaddle/protocol';
import type {Catalog, Change, Readiness} from '@bitternpaddle/state';
import {forgetHost, type Presence} from './presence.js';

/** Token bucket that limits how many lost hosts are removed from the configuration. */
export type LossBudget = {tokens: number; refilledAtMs: number};

export const createLossBudget = (): LossBudget => ({tokens: 0, refilledAtMs: Number.NEGATIVE_INFINITY});

export type PlanMembershipOptions = {
	readonly catalog: Catalog;
	readonly presence: Presence;
	readonly budget: LossBudget;
	readonly nowMs: number;
	/** A host that is silent for this long is considered lost if an entry also fails to reach it. */
	readonly hostLossMs: number;
};

/** Without an entry that fails to reach the host, the silence must last this many times as long. */
const unconfirmedLossFactor = 3;
const maxLossShare = 0.02;
const minLossesPerPeriod = 2;
const lossPeriodMs = 60_000;

/**
 * Derives configuration changes from the hosts' reports: hosts that joined,
 * left or are lost, and versions that became ready. Only examines hosts whose
 * report changed and silent ones.
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
	const registered = catalog.hosts[hostId];
	if (isLeaving) {
		return registered?.announcement.incarnation === incarnation ? {type: 'hostLeft', hostId, incarnation} : null;
	}

	if (registered === undefined || registered.announcement.incarnation < incarnation) {
		return {type: 'hostJoined', announcement};
	}

	const isNewlyReady = registered.announcement.incarnation === incarnation
		&& (registered.readyVersionId !== readyVersionId || !isEqualList(registered.readyAdapterIds ?? [], readyAdapterIds));
	return isNewlyReady
		? {
			type: 'readiness', readiness: {
				hostId, incarnation, versionId: readyVersionId, ...(readyAdapterIds.length > 0 && {adapterIds: readyAdapterIds}),
			},
		}
		: null;
};

const isEqualList = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every((item, position) => item === b[position]);

/**
 * Removes lost hosts, at a limited rate per minute. A silent host has no lease
 * and receives no requests, so keeping it costs a replica; removing it moves
 * its assignment, which costs a transfer of weights. If a zone or a region is
 * partitioned, removing all its hosts at once would transfer its weights to
 * other hosts during the outage, and back when it returns.
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

	refillBudget(budget, Object.keys(catalog.hosts).length, nowMs);
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

/**
 * Silence towards the control plane alone does not remove a host at once: only its
 * connection to the control plane may be down while it still serves. Neither does a
 * failure at entries alone, whose own connections may be down.
 */
const isLost = ({hostLossMs}: PlanMembershipOptions, isFailing: boolean, silentMs: number): boolean => silentMs > hostLossMs * (isFailing ? 1 : unconfirmedLossFactor);

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

const refillBudget = (budget: LossBudget, hosts: number, nowMs: number): void => {
	const perPeriod = Math.max(minLossesPerPeriod, Math.floor(hosts * maxLossShare));
	budget.tokens = Math.min(perPeriod, budget.tokens + ((nowMs - budget.refilledAtMs) / lossPeriodMs * perPeriod));
	budget.refilledAtMs = nowMs;
};
