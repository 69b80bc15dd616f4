import type {Fold, HostReport, InForceResult} from '@bitternpaddle/protocol';

/** A control host, as the leader hears it. */
export type MemberPresence = {
	epoch: number;
	sequence: number;
	heardAtMs: number;
	/** Its hosts are at this revision or later, except those in `behind`. */
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
 * What the leader knows of hosts, in memory only. A message that says "as
 * before" costs nothing per host: a host is in service as long as its control
 * host is heard and has not called it silent.
 */
export type Presence = {
	readonly members: Map<string, MemberPresence>;
	readonly hosts: Map<string, HostPresence>;
	/** Hosts that are not heard, with the time since when. */
	readonly silent: Map<string, number>;
	/** Hosts whose report may differ from the configuration. */
	readonly changed: Set<string>;
	readonly options: PresenceOptions;
};

export type PresenceOptions = {
	/** A host renews at its control host for this long. */
	readonly hostLeaseMs: number;
	/** A control host renews leases this long on the leader's word. */
	readonly memberLeaseMs: number;
};

export const createPresence = (options: PresenceOptions): Presence => ({
	members: new Map(), hosts: new Map(), silent: new Map(), changed: new Set(), options,
});

/** A new leader knows nobody yet: all hosts of the configuration count as silent from now on, until a control host names them. */
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
 * Takes a control host's message; `false` if one before it was lost, so that
 * everything is needed. A message that was given up and comes late belongs to
 * an earlier epoch: it would count hosts as further than they are since.
 */
export const hearFold = (presence: Presence, fold: Fold, nowMs: number): boolean => {
	const known = presence.members.get(fold.from);
	const isNext = fold.sequence === 0
		? known === undefined || fold.epoch > known.epoch
		: known?.epoch === fold.epoch && known.sequence === fold.sequence - 1;
	if (!isNext) {
		return false;
	}

	const member: MemberPresence = {
		epoch: fold.epoch, sequence: fold.sequence, heardAtMs: nowMs, revision: fold.revision,
		behind: new Map(fold.behind.map(({hostId, revision}) => [hostId, revision])), hosts: known?.hosts ?? new Set(),
	};
	presence.members.set(fold.from, member);
	if (fold.sequence === 0) {
		forgetUnnamed(presence, member, new Set(fold.hosts.map(({report}) => report.hostId)), nowMs);
	}

	for (const {session, report} of fold.hosts) {
		hearHost(presence, fold.from, {session, report});
	}

	for (const {hostId, session, silentMs} of fold.silent) {
		const host = presence.hosts.get(hostId);
		// A host that went elsewhere falls silent here; its newer session says so.
		if (host?.memberId === fold.from && host.session === session) {
			member.hosts.delete(hostId);
			presence.silent.set(hostId, nowMs - silentMs);
		}
	}

	return true;
};

const forgetUnnamed = (presence: Presence, member: MemberPresence, named: ReadonlySet<string>, nowMs: number): void => {
	for (const hostId of member.hosts) {
		if (!named.has(hostId)) {
			member.hosts.delete(hostId);
			presence.silent.set(hostId, nowMs);
		}
	}
};

const hearHost = (presence: Presence, memberId: string, {session, report}: Fold['hosts'][number]): void => {
	const {hostId} = report;
	const known = presence.hosts.get(hostId);
	if (known !== undefined && known.session > session) {
		return;
	}

	if (known !== undefined && known.memberId !== memberId) {
		presence.members.get(known.memberId)?.hosts.delete(hostId);
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

/** Hosts of a control host that fell silent are silent with it, unless another one names them. */
export const noteSilentMembers = (presence: Presence, nowMs: number): void => {
	for (const [memberId, member] of presence.members) {
		if (nowMs - member.heardAtMs <= presence.options.memberLeaseMs) {
			continue;
		}

		presence.members.delete(memberId);
		for (const hostId of member.hosts) {
			// Its lease may have been renewed until the control host's own ran out.
			presence.silent.set(hostId, member.heardAtMs + presence.options.memberLeaseMs);
		}
	}
};

/** A silent host may still serve until its lease has surely run out. */
export const isOutOfService = (presence: Presence, hostId: string, nowMs: number): boolean => {
	const silentSinceMs = presence.silent.get(hostId);
	return silentSinceMs !== undefined && nowMs - silentSinceMs > presence.options.hostLeaseMs;
};

/** The revision that a host last confirmed. */
export const confirmedRevision = (presence: Presence, hostId: string): number => {
	const host = presence.hosts.get(hostId);
	const member = host === undefined ? undefined : presence.members.get(host.memberId);
	if (host === undefined || member === undefined || presence.silent.has(hostId)) {
		return host?.report.revision ?? 0;
	}

	return member.behind.get(hostId) ?? Math.max(member.revision, host.report.revision);
};

const maxNamed = 100;

/** On how many hosts `revision` is in force, out of those that serve or may serve. */
export const inForceOf = (presence: Presence, revision: number, nowMs: number): InForceResult => {
	const all = [...new Set([...presence.hosts.keys(), ...presence.silent.keys()])].toSorted();
	const outOfService = all.filter(hostId => isOutOfService(presence, hostId, nowMs));
	const serving = all.filter(hostId => !isOutOfService(presence, hostId, nowMs));
	const missing = serving.filter(hostId => presence.silent.has(hostId) || confirmedRevision(presence, hostId) < revision);
	return {
		revision, hosts: serving.length, inForce: serving.length - missing.length, missing: missing.slice(0, maxNamed), outOfService: outOfService.slice(0, maxNamed),
	};
};
