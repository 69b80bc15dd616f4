import {match} from 'ts-pattern';
import type {HostState} from './host-state.js';
import {penaltyOf, refreshHost} from './load.js';
import type {
	EjectionReason, Group, RouterNotice, RouterState,
} from './types.js';

/** What was known of a host before it restarted says nothing about it now. */
export const resetHealth = (host: HostState): void => {
	host.consecutiveFailures = 0;
	host.failureShare = 0;
	host.latencyMs = 0;
	host.outcomes = 0;
	host.penalty = 0;
	host.penaltyAtMs = 0;
	host.isEjected = false;
	host.ejectedUntilMs = 0;
	host.ejections = 0;
};

/** How a request ended at a host. */
export type RequestOutcome
	/** An answer, whatever its status, after `latencyMs` to its first byte. */
	= | {readonly type: 'answered'; readonly latencyMs: number}
	/** The host refused for want of room, or because it is leaving: no fault. */
		| {readonly type: 'full'}
		| {readonly type: 'failed'}
	/** The caller went, which says nothing about the host. */
		| {readonly type: 'cancelled'};

const averageWeight = 0.1;
const outcomesToJudge = 20;
const failureShareFloor = 0.3;
const latencyFactor = 4;
const latencyFloorMs = 200;
const penaltyShare = 0.25;
const longestEjectionMs = 120_000;
const silentFactor = 6;
const zoneFailureShare = 0.6;

const average = (known: number, seen: number): number => known + (averageWeight * (seen - known));

/** Takes the end of a request into the host's, the group's and the zone's record, and ejects the host if that is due. */
export const noteOutcome = (state: RouterState, host: HostState, outcome: RequestOutcome, nowMs: number): void => {
	match(outcome)
		.with({type: 'answered'}, ({latencyMs}) => {
			noteAnswer(state, host, latencyMs, nowMs);
		})
		.with({type: 'failed'}, () => {
			noteFailure(state, host, nowMs);
		})
		.with({type: 'full'}, {type: 'cancelled'}, () => undefined)
		.exhaustive();
};

const noteAnswer = (state: RouterState, host: HostState, latencyMs: number, nowMs: number): void => {
	const group = host.tier?.group;
	host.latencyMs = host.outcomes === 0 ? latencyMs : average(host.latencyMs, latencyMs);
	host.consecutiveFailures = 0;
	countOutcome(state, host, false);
	if (group === undefined) {
		return;
	}

	group.latencyMs = group.outcomes === 0 ? latencyMs : average(group.latencyMs, latencyMs);
	group.outcomes++;
	const limitMs = Math.max(latencyFloorMs, latencyFactor * group.latencyMs);
	if (host.outcomes >= outcomesToJudge && host.latencyMs > limitMs) {
		eject(state, host, 'latency', nowMs);
	}
};

const noteFailure = (state: RouterState, host: HostState, nowMs: number): void => {
	const group = host.tier?.group;
	host.consecutiveFailures++;
	// A host that fails at once is always idle, and so the least loaded of all.
	// Its failures count as load for a while, or it would draw every request.
	host.penalty = penaltyOf(host, nowMs) + Math.max(1, host.capacity * penaltyShare);
	host.penaltyAtMs = nowMs;
	countOutcome(state, host, true);
	if (group === undefined) {
		return;
	}

	const needed = isZoneFailing(state, host.endpoint.zoneId) ? 1 : state.options.failuresToEject;
	if (host.consecutiveFailures >= needed) {
		eject(state, host, 'failures', nowMs);
	} else if (host.outcomes >= outcomesToJudge && host.failureShare > Math.max(failureShareFloor, 3 * group.failureShare)) {
		eject(state, host, 'failureShare', nowMs);
	}
};

const countOutcome = (state: RouterState, host: HostState, hasFailed: boolean): void => {
	const {tier} = host;
	host.outcomes++;
	host.failureShare = average(host.failureShare, hasFailed ? 1 : 0);
	if (tier !== null) {
		tier.group.failureShare = average(tier.group.failureShare, hasFailed ? 1 : 0);
	}

	const {zoneId} = host.endpoint;
	state.zoneFailureShares.set(zoneId, average(state.zoneFailureShares.get(zoneId) ?? 0, hasFailed ? 1 : 0));
};

/**
 * When a whole hall fails, waiting for three failures of each host would cost
 * three requests a host. An average over outcomes, not over time: the successes
 * of the second before must not outweigh what is seen now.
 */
const isZoneFailing = (state: RouterState, zoneId: string): boolean => (state.zoneFailureShares.get(zoneId) ?? 0) >= zoneFailureShare;

/** Hosts of a group that may be ejected at once; the only host never is. */
const mostEjected = ({activeSize}: Group, share: number): number => activeSize < 2 ? 0 : Math.max(1, Math.floor(activeSize * share));

const eject = (state: RouterState, host: HostState, reason: EjectionReason, nowMs: number): void => {
	const {group} = host.tier!;
	if (host.isEjected || nowMs < group.panicUntilMs) {
		return;
	}

	if (group.ejected.size >= mostEjected(group, state.options.maxEjectedShare)) {
		panic(state, group, nowMs);
		return;
	}

	host.ejections++;
	host.isEjected = true;
	host.ejectedUntilMs = nowMs + Math.min(longestEjectionMs, state.options.ejectionMs * (2 ** (host.ejections - 1)));
	group.ejected.add(host);
	refreshHost(state, host, nowMs);
	state.notices.push({
		type: 'ejected', hostId: host.hostId, reason, untilMs: host.ejectedUntilMs,
	});
};

/**
 * More hosts look bad than may be ejected: then the signal is bad (this entry's
 * own network, say), and the rest alone could not carry the load either. All
 * come back; penalties still steer between them.
 */
const panic = (state: RouterState, group: Group, nowMs: number): void => {
	const {panicMs} = state.options;
	if (group.activeSize < 2 || panicMs === 0) {
		return;
	}

	group.panicUntilMs = nowMs + panicMs;
	for (const host of group.ejected) {
		readmit(state, host, nowMs);
	}

	state.notices.push({type: 'panicked', group: group.key});
};

const readmit = (state: RouterState, host: HostState, nowMs: number): void => {
	host.isEjected = false;
	host.consecutiveFailures = 0;
	host.outcomes = 0;
	host.failureShare = 0;
	host.tier!.group.ejected.delete(host);
	refreshHost(state, host, nowMs);
};

/** A host that comes back from ejection starts slowly, and one failure sends it away again. */
const returnHost = (state: RouterState, host: HostState, nowMs: number): void => {
	readmit(state, host, nowMs);
	host.consecutiveFailures = state.options.failuresToEject - 1;
	host.readySinceMs = nowMs;
	state.notices.push({type: 'returned', hostId: host.hostId});
};

/** Removes what the group knows of a host that leaves it. */
export const forgetHealth = (host: HostState): void => {
	const {group} = (host.tier!);
	group.ejected.delete(host);
	group.awaiting.delete(host);
	host.isEjected = false;
};

export const noteAwaiting = (host: HostState, nowMs: number): void => {
	host.awaiting++;
	const awaiting = host.tier?.group.awaiting;
	if (awaiting !== undefined && !awaiting.has(host)) {
		awaiting.set(host, nowMs);
	}
};

/** A first byte came, or the request ended without one. */
export const noteAnswering = (host: HostState, nowMs: number): void => {
	host.awaiting--;
	const awaiting = host.tier?.group.awaiting;
	awaiting?.delete(host);
	if (host.awaiting > 0) {
		awaiting?.set(host, nowMs);
	}
};

/** How long a host may leave all its requests without a first byte. */
const silenceMs = (state: RouterState, group: Group): number => group.outcomes === 0
	? silentFactor * state.options.silentMs
	: Math.max(state.options.silentMs, silentFactor * group.latencyMs);

/**
 * A host that accepts and never answers fails no request before the caller's
 * deadline. It is told by its silence: the one that has been silent longest
 * comes first, so only hosts that are due are looked at.
 */
const ejectSilent = (state: RouterState, group: Group, nowMs: number): void => {
	const limitMs = silenceMs(state, group);
	for (const [host, sinceMs] of group.awaiting) {
		if (nowMs - sinceMs <= limitMs) {
			return;
		}

		group.awaiting.delete(host);
		eject(state, host, 'silent', nowMs);
	}
};

const returnDue = (state: RouterState, group: Group, nowMs: number): void => {
	for (const host of group.ejected) {
		if (host.ejectedUntilMs <= nowMs) {
			returnHost(state, host, nowMs);
		}
	}

	// Healthy hosts that leave can make those aside too many, at worst all that
	// remain: callers would wait though hosts are there. The first aside come back first.
	const most = mostEjected(group, state.options.maxEjectedShare);
	for (const host of group.ejected) {
		if (group.ejected.size <= most) {
			return;
		}

		returnHost(state, host, nowMs);
	}
};

/** Called a few times a second. */
export const tickRouter = (state: RouterState, nowMs: number): RouterNotice[] => {
	for (const group of state.groups.values()) {
		ejectSilent(state, group, nowMs);
		returnDue(state, group, nowMs);
	}

	for (const host of state.full) {
		refreshHost(state, host, nowMs);
	}

	const {notices} = state;
	state.notices = [];
	return notices;
};
