import type {Fold, HostReport} from '@bitternpaddle/protocol';
import {leaseTimes} from './lease-times.js';

type Watcher = {
	session: number;
	revision: number;
	report: HostReport;
	/** What of the report the leader acts on, as text. */
	essence: string;
	heardAtMs: number;
	/** The leader has yet to be told. */
	isNews: boolean;
	/** Heard since the present leader was. */
	isCurrent: boolean;
};

/** The hosts that watch at one control host, and what its leader has been told of them. */
export type ReportFold = {
	readonly memberId: string;
	/** A host that is not heard for this long has no lease any more. */
	readonly silentMs: number;
	readonly watchers: Map<string, Watcher>;
	readonly lost: Fold['silent'];
	epoch: number;
	/** Number of the next message; 0 when the leader must be told everything. */
	sequence: number;
	sentAtMs: number;
	/** Common revision and hosts behind it, as told last. */
	toldRevision: number;
	toldBehind: number;
};

/** Hosts below the common revision that one message names. */
const maxBehind = 32;
/** Each question at the leader is such a message. A timer that fires a little early must not skip one. */
export const foldIntervalMs = 0.8 * leaseTimes.askMs;

export type ReportFoldOptions = {
	readonly memberId: string;
	readonly silentMs: number;
	/** Above that of any earlier start of this control host; the wall clock will do. */
	readonly epoch: number;
};

export const createReportFold = ({memberId, silentMs, epoch}: ReportFoldOptions): ReportFold => ({
	memberId, silentMs, epoch, watchers: new Map(), lost: [], sequence: 0, sentAtMs: Number.NEGATIVE_INFINITY, toldRevision: 0, toldBehind: 0,
});

/** Load and progress change all the time and decide nothing at the leader, so they stay here until asked for. */
const essenceOf = ({requestsInFlight, revision, transfers, fleetOutcomes, serviceOutcomes, ...rest}: HostReport): string => JSON.stringify(rest);

export type HeardWatch = {
	readonly hostId: string;
	readonly session: number;
	readonly revision: number;
	readonly report: HostReport | null;
};

/** Notes a call of a host. `false` if its report is needed and was not sent. */
export const hearWatch = (fold: ReportFold, {hostId, session, revision, report}: HeardWatch, nowMs: number): boolean => {
	const known = fold.watchers.get(hostId);
	if (report === null) {
		if (known?.session !== session) {
			return false;
		}

		known.revision = revision;
		known.heardAtMs = nowMs;
		known.isNews ||= !known.isCurrent;
		known.isCurrent = true;
		return true;
	}

	const essence = essenceOf(report);
	fold.watchers.set(hostId, {
		session, revision, report, essence, heardAtMs: nowMs,
		isNews: !known?.isCurrent || known.isNews || known.session !== session || known.essence !== essence,
		isCurrent: true,
	});
	return true;
};

/** Everything has to be told again: the fate of a message is not known. */
export const restartFold = (fold: ReportFold): void => {
	fold.epoch++;
	fold.sequence = 0;
	fold.lost.length = 0;
};

/**
 * Another leader is to be told everything, but of each host only once it calls
 * again. One that turned to another control host a moment ago is still among
 * the watchers here. The leader before knew its newer session; the next one
 * would take the old report for what holds, and call the host's replica not
 * ready while it serves, until the newer report arrives. A host that watches
 * here calls again within the time that a call is held.
 */
export const startFoldForLeader = (fold: ReportFold): void => {
	restartFold(fold);
	for (const watcher of fold.watchers.values()) {
		watcher.isCurrent = false;
	}
};

const dropSilent = (fold: ReportFold, nowMs: number): void => {
	for (const [hostId, {session, heardAtMs}] of fold.watchers) {
		if (nowMs - heardAtMs > fold.silentMs) {
			fold.watchers.delete(hostId);
			fold.lost.push({hostId, session, silentMs: nowMs - heardAtMs});
		}
	}
};

const commonRevision = (watchers: readonly Watcher[]): number => {
	const revisions = watchers.map(({revision}) => revision).toSorted((a, b) => a - b);
	return revisions[Math.min(maxBehind, revisions.length - 1)] ?? 0;
};

/**
 * The next message to the leader, or `null` while there is nothing to say.
 * Whoever takes it sends it, and calls `restartFold` if that fails.
 */
export const takeFold = (fold: ReportFold, nowMs: number): Fold | null => {
	dropSilent(fold, nowMs);
	const isAll = fold.sequence === 0;
	const watchers = [...fold.watchers].filter(([, {isCurrent}]) => isCurrent);
	const news = watchers.filter(([, watcher]) => isAll || watcher.isNews);
	const revision = commonRevision(watchers.map(([, watcher]) => watcher));
	const behind = watchers.filter(([, watcher]) => watcher.revision < revision).map(([hostId, watcher]) => ({hostId, revision: watcher.revision}));
	const isDue = nowMs - fold.sentAtMs >= foldIntervalMs;
	// An operator waits for a change to be in force, so its arrival is told at once.
	const isFurther = revision !== fold.toldRevision || behind.length < fold.toldBehind;
	if (!isDue && !isFurther && news.length === 0 && fold.lost.length === 0) {
		return null;
	}

	const message: Fold = {
		from: fold.memberId,
		epoch: fold.epoch,
		sequence: fold.sequence,
		revision,
		hosts: news.map(([, {session, report}]) => ({session, report})),
		silent: [...fold.lost],
		behind,
	};
	for (const [, watcher] of news) {
		watcher.isNews = false;
	}

	fold.lost.length = 0;
	fold.sequence++;
	fold.sentAtMs = nowMs;
	fold.toldRevision = revision;
	fold.toldBehind = behind.length;
	return message;
};
