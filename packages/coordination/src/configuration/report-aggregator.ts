import type {ReportAggregate, HostReport} from '@bitternpaddle/protocol';
import {leaseTimes} from './lease-times.js';

type Watcher = {
	session: number;
	revision: number;
	report: HostReport;
	/** The part of the report that the leader acts on, as JSON. */
	relevantPart: string;
	receivedAtMs: number;
	/** Whether the report has yet to be sent to the leader. */
	hasUpdate: boolean;
	/** Whether the host has called since the current leader became known. */
	isCurrent: boolean;
};

/** Aggregates the reports of the hosts that watch at one control host, and tracks what was sent to the leader. */
export type ReportAggregator = {
	readonly memberId: string;
	/** A host that has not called for this long has no lease any more. */
	readonly silentMs: number;
	readonly watchers: Map<string, Watcher>;
	readonly silentHosts: ReportAggregate['silent'];
	epoch: number;
	/** Sequence number of the next message; 0 if it must be a full report. */
	sequence: number;
	sentAtMs: number;
	/** Common revision, and number of hosts behind it, in the last message. */
	sentRevision: number;
	sentBehindCount: number;
};

/** Maximum number of hosts below the common revision that one message lists. */
const maxBehind = 32;
/** Slightly below the interval of requests to the leader, each of which carries a message: a timer that fires early must not skip one. */
export const aggregateIntervalMs = 0.8 * leaseTimes.leaderRequestIntervalMs;

export type ReportAggregatorOptions = {
	readonly memberId: string;
	readonly silentMs: number;
	/** Must be greater than in any earlier start of this control host, such as a wall-clock time. */
	readonly epoch: number;
};

export const createReportAggregator = ({memberId, silentMs, epoch}: ReportAggregatorOptions): ReportAggregator => ({
	memberId, silentMs, epoch, watchers: new Map(), silentHosts: [], sequence: 0, sentAtMs: Number.NEGATIVE_INFINITY, sentRevision: 0, sentBehindCount: 0,
});

/** Omits load and progress, which change constantly and do not affect the leader's decisions; they are sent only on request. */
const relevantPartOf = ({requestsInFlight, revision, transfers, fleetOutcomes, serviceOutcomes, ...relevantFields}: HostReport): string => JSON.stringify(relevantFields);

export type ReceivedWatch = {
	readonly hostId: string;
	readonly session: number;
	readonly revision: number;
	readonly report: HostReport | null;
};

/** Records a watch call of a host. Returns `false` if the call must be repeated with the host's report. */
export const recordWatch = (aggregator: ReportAggregator, {hostId, session, revision, report}: ReceivedWatch, nowMs: number): boolean => {
	const existing = aggregator.watchers.get(hostId);
	if (report === null) {
		if (existing?.session !== session) {
			return false;
		}

		existing.revision = revision;
		existing.receivedAtMs = nowMs;
		existing.hasUpdate ||= !existing.isCurrent;
		existing.isCurrent = true;
		return true;
	}

	const relevantPart = relevantPartOf(report);
	aggregator.watchers.set(hostId, {
		session, revision, report, relevantPart, receivedAtMs: nowMs,
		hasUpdate: !existing?.isCurrent || existing.hasUpdate || existing.session !== session || existing.relevantPart !== relevantPart,
		isCurrent: true,
	});
	return true;
};

/** Makes the next message a full report, because it is unknown whether the leader received the last one. */
export const restartAggregator = (aggregator: ReportAggregator): void => {
	aggregator.epoch++;
	aggregator.sequence = 0;
	aggregator.silentHosts.length = 0;
};

/**
 * Makes the next message a full report to a new leader, in which each host is
 * included only once it calls again. A host that has just moved to another
 * control host is still among the watchers here. The previous leader knew its
 * newer session, but a new leader would accept the outdated report and treat
 * the host's replica as not ready, although it serves, until the newer report
 * arrives. A host that still watches here calls again within the hold time.
 */
export const restartAggregatorForLeader = (aggregator: ReportAggregator): void => {
	restartAggregator(aggregator);
	for (const watcher of aggregator.watchers.values()) {
		watcher.isCurrent = false;
	}
};

const dropSilentWatchers = (aggregator: ReportAggregator, nowMs: number): void => {
	for (const [hostId, {session, receivedAtMs}] of aggregator.watchers) {
		if (nowMs - receivedAtMs > aggregator.silentMs) {
			aggregator.watchers.delete(hostId);
			aggregator.silentHosts.push({hostId, session, silentMs: nowMs - receivedAtMs});
		}
	}
};

const commonRevision = (watchers: readonly Watcher[]): number => {
	const revisions = watchers.map(({revision}) => revision).toSorted((a, b) => a - b);
	return revisions[Math.min(maxBehind, revisions.length - 1)] ?? 0;
};

/**
 * Returns the next message to the leader, or `null` if there is nothing to
 * report. The caller sends it, and calls `restartAggregator` if that fails.
 */
export const takeAggregate = (aggregator: ReportAggregator, nowMs: number): ReportAggregate | null => {
	dropSilentWatchers(aggregator, nowMs);
	const isFullReport = aggregator.sequence === 0;
	const watchers = [...aggregator.watchers].filter(([, {isCurrent}]) => isCurrent);
	const updates = watchers.filter(([, watcher]) => isFullReport || watcher.hasUpdate);
	const revision = commonRevision(watchers.map(([, watcher]) => watcher));
	const behind = watchers.filter(([, watcher]) => watcher.revision < revision).map(([hostId, watcher]) => ({hostId, revision: watcher.revision}));
	const isDue = nowMs - aggregator.sentAtMs >= aggregateIntervalMs;
	// Operators wait for a change to be in force, so progress is reported immediately.
	const hasProgress = revision !== aggregator.sentRevision || behind.length < aggregator.sentBehindCount;
	if (!isDue && !hasProgress && updates.length === 0 && aggregator.silentHosts.length === 0) {
		return null;
	}

	const message: ReportAggregate = {
		from: aggregator.memberId,
		epoch: aggregator.epoch,
		sequence: aggregator.sequence,
		revision,
		hosts: updates.map(([, {session, report}]) => ({session, report})),
		silent: [...aggregator.silentHosts],
		behind,
	};
	for (const [, watcher] of updates) {
		watcher.hasUpdate = false;
	}

	aggregator.silentHosts.length = 0;
	aggregator.sequence++;
	aggregator.sentAtMs = nowMs;
	aggregator.sentRevision = revision;
	aggregator.sentBehindCount = behind.length;
	return message;
};
