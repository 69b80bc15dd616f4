import type {ReportAggregate, HostReport, InForceResult} from '@bitternpaddle/protocol';

/** The leader's view of a control host. */
export type MemberPresence = {
	epoch: number;
	sequence: number;
	receivedAtMs: number;
	/** All its hosts are at this revision or later, except those in `behind`. */
	revision: number;
	behind: ReadonlyMap<string, number>;
	readonly hosts: Set<string>;
};

export type HostPresence = {
	report: HostReport;
	session: number;
	memberId: string;
};

/**
 * The leader's view of all hosts, held in memory only. A message that reports
 * no changes costs nothing per host: a host is in service as long as messages
 * of its control host arrive and do not report it as silent.
 */
export type Presence = {
	readonly members: Map<string, MemberPresence>;
	readonly hosts: Map<string, HostPresence>;
	/** Hosts that send no watch calls, with the time since when. */
	readonly silent: Map<string, number>;
	/** Hosts whose report may differ from the configuration. */
	readonly changed: Set<string>;
	readonly options: PresenceOptions;
};

export type PresenceOptions = {
	/** Duration of the lease that a control host grants to a host. */
	readonly hostLeaseMs: number;
	/** Duration of the lease that the leader grants to a control host. */
	readonly memberLeaseMs: number;
};

export const createPresence = (options: PresenceOptions): Presence => ({
	members: new Map(), hosts: new Map(), silent: new Map(), changed: new Set(), options,
});

/** Resets the view when a new leader starts: all hosts of the configuration count as silent from now on, until a control host reports them. */
export const resetPresence = (presence: Presence, knownHostIds: readonly string[], nowMs: number): void => {
	presence.members.clear();
	presence.hosts.clear();
	presence.changed.clear();
	presence.silent.clear();
	for (const hostId of knownHostIds) {
		presence.silent.set(hostId, nowMs);
	}
};

/**
 * Records a control host's aggregated reports. Returns `false` if an earlier
 * message was lost, so that the sender must send a full report. A late message
 * that its sender abandoned belongs to an earlier epoch and is rejected: it
 * could count hosts at a later revision than they have now.
 */
export const recordAggregate = (presence: Presence, aggregate: ReportAggregate, nowMs: number): boolean => {
	const existing = presence.members.get(aggregate.from);
	const isNext = aggregate.sequence === 0
		? existing === undefined || aggregate.epoch > existing.epoch
		: existing?.epoch === aggregate.epoch && existing.sequence === aggregate.sequence - 1;
	if (!isNext) {
		return false;
	}

	const member: MemberPresence = {
		epoch: aggregate.epoch, sequence: aggregate.sequence, receivedAtMs: nowMs, revision: aggregate.revision,
		behind: new Map(aggregate.behind.map(({hostId, revision}) => [hostId, revision])), hosts: existing?.hosts ?? new Set(),
	};
	presence.members.set(aggregate.from, member);
	if (aggregate.sequence === 0) {
		markUnlistedSilent(presence, member, new Set(aggregate.hosts.map(({report}) => report.hostId)), nowMs);
	}

	for (const {session, report} of aggregate.hosts) {
		recordHost(presence, aggregate.from, {session, report});
	}

	for (const {hostId, session, silentMs} of aggregate.silent) {
		const host = presence.hosts.get(hostId);
		// A host that moved to another control host becomes silent at this one; its newer session shows that it moved.
		if (host?.memberId === aggregate.from && host.session === session) {
			member.hosts.delete(hostId);
			presence.silent.set(hostId, nowMs - silentMs);
		}
	}

	return true;
};

const markUnlistedSilent = (presence: Presence, member: MemberPresence, listed: ReadonlySet<string>, nowMs: number): void => {
	for (const hostId of member.hosts) {
		if (!listed.has(hostId)) {
			member.hosts.delete(hostId);
			presence.silent.set(hostId, nowMs);
		}
	}
};

const recordHost = (presence: Presence, memberId: string, {session, report}: ReportAggregate['hosts'][number]): void => {
	const {hostId} = report;
	const existing = presence.hosts.get(hostId);
	if (existing !== undefined && existing.session > session) {
		return;
	}

	if (existing !== undefined && existing.memberId !== memberId) {
		presence.members.get(existing.memberId)?.hosts.delete(hostId);
	}

	presence.hosts.set(hostId, {report, session, memberId});
	presence.members.get(memberId)!.hosts.add(hostId);
	presence.silent.delete(hostId);
	presence.changed.add(hostId);
};

export const forgetHost = (presence: Presence, hostId: string): void => {
	const host = presence.hosts.get(hostId);
	if (host !== undefined) {
		presence.members.get(host.memberId)?.hosts.delete(hostId);
	}

	presence.hosts.delete(hostId);
	presence.silent.delete(hostId);
	presence.changed.delete(hostId);
};

/** Marks the hosts of silent control hosts as silent, unless another control host has reported them. */
export const markSilentMembers = (presence: Presence, nowMs: number): void => {
	for (const [memberId, member] of presence.members) {
		if (nowMs - member.receivedAtMs <= presence.options.memberLeaseMs) {
			continue;
		}

		presence.members.delete(memberId);
		for (const hostId of member.hosts) {
			// The control host may have renewed the host's lease until its own lease expired.
			presence.silent.set(hostId, member.receivedAtMs + presence.options.memberLeaseMs);
		}
	}
};

/** Whether a host is silent for so long that its lease has certainly expired; until then it may still serve. */
export const isOutOfService = (presence: Presence, hostId: string, nowMs: number): boolean => {
	const silentSinceMs = presence.silent.get(hostId);
	return silentSinceMs !== undefined && nowMs - silentSinceMs > presence.options.hostLeaseMs;
};

/** The latest revision that a host has confirmed. */
export const confirmedRevision = (presence: Presence, hostId: string): number => {
	const host = presence.hosts.get(hostId);
	const member = host === undefined ? undefined : presence.members.get(host.memberId);
	if (host === undefined || member === undefined || presence.silent.has(hostId)) {
		return host?.report.revision ?? 0;
	}

	return member.behind.get(hostId) ?? Math.max(member.revision, host.report.revision);
};

const maxListedHosts = 100;

/** Counts the hosts on which `revision` is in force, out of those that serve or may still serve. */
export const inForceOf = (presence: Presence, revision: number, nowMs: number): InForceResult => {
	const all = [...new Set([...presence.hosts.keys(), ...presence.silent.keys()])].toSorted();
	const outOfService = all.filter(hostId => isOutOfService(presence, hostId, nowMs));
	const serving = all.filter(hostId => !isOutOfService(presence, hostId, nowMs));
	const missing = serving.filter(hostId => presence.silent.has(hostId) || confirmedRevision(presence, hostId) < revision);
	return {
		revision, hosts: serving.length, inForce: serving.length - missing.length, missing: missing.slice(0, maxListedHosts), outOfService: outOfService.slice(0, maxListedHosts),
	};
};
