import {match} from 'ts-pattern';
import type {HostState} from './host-state.js';
import {penaltyOf, refreshHost} from './load.js';
import type {
	EjectionReason, Group, RouterNotice, RouterState,
} from './types.js';

/** Clears the health record of a restarted host, because earlier outcomes do not indicate its current health. */
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

/** Outcome of a request at a host. */
export type RequestOutcome
	/** An answer with any status; its first byte came after `latencyMs`. */
	= | {readonly type: 'answered'; readonly latencyMs: number}
	/** The host refused because it is full or draining, which is not a failure. */
		| {readonly type: 'full'}
		| {readonly type: 'failed'}
	/** The caller disconnected, which does not indicate the health of the host. */
		| {readonly type: 'cancelled'};

const outcomeSampleWeight = 0.1;
const minOutcomesForEjection = 20;
const minFailureShare = 0.3;
const latencyEjectionFactor = 4;
const minEjectionLatencyMs = 200;
const penaltyCapacityShare = 0.25;
const maxEjectionMs = 120_000;
const silenceLatencyFactor = 6;
const zoneFailureThreshold = 0.6;

const movingAverage = (average: number, sample: number): number => average + (outcomeSampleWeight * (sample - average));

/** Adds the outcome of a request to the statistics of the host, its group and its zone, and ejects the host if necessary. */
export const recordOutcome = (state: RouterState, host: HostState, outcome: RequestOutcome, nowMs: number): void => {
	match(outcome)
		.with({type: 'answered'}, ({latencyMs}) => {
			recordAnswer(state, host, latencyMs, nowMs);
		})
		.with({type: 'failed'}, () => {
			recordFailure(state, host, nowMs);
		})
		.with({type: 'full'}, {type: 'cancelled'}, () => undefined)
		.exhaustive();
};

const recordAnswer = (state: RouterState, host: HostState, latencyMs: number, nowMs: number): void => {
	const group = host.tier?.group;
	host.latencyMs = host.outcomes === 0 ? latencyMs : movingAverage(host.latencyMs, latencyMs);
	host.consecutiveFailures = 0;
	countOutcome(state, host, false);
	if (group === undefined) {
		return;
	}

	group.latencyMs = group.outcomes === 0 ? latencyMs : movingAverage(group.latencyMs, latencyMs);
	group.outcomes++;
	const limitMs = Math.max(minEjectionLatencyMs, latencyEjectionFactor * group.latencyMs);
	if (host.outcomes >= minOutcomesForEjection && host.latencyMs > limitMs) {
		eject(state, host, 'latency', nowMs);
	}
};

const recordFailure = (state: RouterState, host: HostState, nowMs: number): void => {
	const group = host.tier?.group;
	host.consecutiveFailures++;
	// A host that fails immediately is always idle and so has the lowest load. Its
	// failures count as load for a while; otherwise it would attract every request.
	host.penalty = penaltyOf(host, nowMs) + Math.max(1, host.capacity * penaltyCapacityShare);
	host.penaltyAtMs = nowMs;
	countOutcome(state, host, true);
	if (group === undefined) {
		return;
	}

	const failureThreshold = isZoneFailing(state, host.endpoint.zoneId) ? 1 : state.options.failuresToEject;
	if (host.consecutiveFailures >= failureThreshold) {
		eject(state, host, 'failures', nowMs);
	} else if (host.outcomes >= minOutcomesForEjection && host.failureShare > Math.max(minFailureShare, 3 * group.failureShare)) {
		eject(state, host, 'failureShare', nowMs);
	}
};

const countOutcome = (state: RouterState, host: HostState, hasFailed: boolean): void => {
	const {tier} = host;
	host.outcomes++;
	host.failureShare = movingAverage(host.failureShare, hasFailed ? 1 : 0);
	if (tier !== null) {
		tier.group.failureShare = movingAverage(tier.group.failureShare, hasFailed ? 1 : 0);
	}

	const {zoneId} = host.endpoint;
	state.zoneFailureShares.set(zoneId, movingAverage(state.zoneFailureShares.get(zoneId) ?? 0, hasFailed ? 1 : 0));
};

/**
 * When an entire zone fails, waiting for three failures of each host would cost
 * three requests per host. The average is taken over outcomes rather than over
 * time, so that successes of the previous second don't outweigh current failures.
 */
const isZoneFailing = (state: RouterState, zoneId: string): boolean => (state.zoneFailureShares.get(zoneId) ?? 0) >= zoneFailureThreshold;

/** Maximum number of hosts of a group that may be ejected at the same time; a single host is never ejected. */
const maxEjected = ({activeSize}: Group, share: number): number => activeSize < 2 ? 0 : Math.max(1, Math.floor(activeSize * share));

const eject = (state: RouterState, host: HostState, reason: EjectionReason, nowMs: number): void => {
	const {group} = host.tier!;
	if (host.isEjected || nowMs < group.panicUntilMs) {
		return;
	}

	if (group.ejected.size >= maxEjected(group, state.options.maxEjectedShare)) {
		panic(state, group, nowMs);
		return;
	}

	host.ejections++;
	host.isEjected = true;
	host.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, state.options.ejectionMs * (2 ** (host.ejections - 1)));
	group.ejected.add(host);
	refreshHost(state, host, nowMs);
	state.notices.push({
		type: 'ejected', hostId: host.hostId, reason, untilMs: host.ejectedUntilMs,
	});
};

/**
 * More hosts look unhealthy than may be ejected, so the signal itself is unreliable
 * (this entry's own network may be failing), and the remaining hosts could not
 * carry the load alone. All hosts are readmitted; penalties still affect the choice.
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

/** Readmits an ejected host: it ramps up slowly, and a single failure ejects it again. */
const readmitOnProbation = (state: RouterState, host: HostState, nowMs: number): void => {
	readmit(state, host, nowMs);
	host.consecutiveFailures = state.options.failuresToEject - 1;
	host.readySinceMs = nowMs;
	state.notices.push({type: 'returned', hostId: host.hostId});
};

/** Removes a leaving host from its group's health records. */
export const forgetHealth = (host: HostState): void => {
	const {group} = (host.tier!);
	group.ejected.delete(host);
	group.awaiting.delete(host);
	host.isEjected = false;
};

export const recordAwaitingFirstByte = (host: HostState, nowMs: number): void => {
	host.awaiting++;
	const awaiting = host.tier?.group.awaiting;
	if (awaiting !== undefined && !awaiting.has(host)) {
		awaiting.set(host, nowMs);
	}
};

/** Called at the first byte of an answer, or when the request ends without one. */
export const clearAwaitingFirstByte = (host: HostState, nowMs: number): void => {
	host.awaiting--;
	const awaiting = host.tier?.group.awaiting;
	awaiting?.delete(host);
	if (host.awaiting > 0) {
		awaiting?.set(host, nowMs);
	}
};

/** How long a host may leave all its requests without a first byte before it is ejected. */
const silenceMs = (state: RouterState, group: Group): number => group.outcomes === 0
	? silenceLatencyFactor * state.options.silentMs
	: Math.max(state.options.silentMs, silenceLatencyFactor * group.latencyMs);

/**
 * A host that accepts requests and never answers produces no failure before the
 * caller's deadline, so it is detected by the missing first bytes. Hosts are
 * ordered by how long they have been silent, so only those that are due are checked.
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

const readmitDue = (state: RouterState, group: Group, nowMs: number): void => {
	for (const host of group.ejected) {
		if (host.ejectedUntilMs <= nowMs) {
			readmitOnProbation(state, host, nowMs);
		}
	}

	// When healthy hosts leave, the ejected ones may exceed the limit, in the worst case
	// all that remain: callers would wait although hosts exist. The earliest ejected are readmitted first.
	const limit = maxEjected(group, state.options.maxEjectedShare);
	for (const host of group.ejected) {
		if (group.ejected.size <= limit) {
			return;
		}

		readmitOnProbation(state, host, nowMs);
	}
};

/** Ejects and readmits hosts that are due; called several times per second. */
export const tickRouter = (state: RouterState, nowMs: number): RouterNotice[] => {
	for (const group of state.groups.values()) {
		ejectSilent(state, group, nowMs);
		readmitDue(state, group, nowMs);
	}

	for (const host of state.full) {
		refreshHost(state, host, nowMs);
	}

	const {notices} = state;
	state.notices = [];
	return notices;
};
