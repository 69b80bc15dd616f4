import {createPathDelay, type PathDelay} from './path-delay.js';

/** What an engine says of itself, as read on its own host. */
export type EngineReport = {
	/** Requests that write or read. */
	readonly running: number;
	readonly queued: number;
	/** Above 1 the engine is slower than published. */
	readonly pace: number;
	/** An order is being carried out; nothing new begins. */
	readonly isBusy: boolean;
	/** Its host's link has lately been too narrow for what it should carry. */
	readonly isStrained: boolean;
	/** The version of the weights that it serves; `null` while it holds none whole. */
	readonly version: number | null;
	/** When it will most likely serve the version that is wanted; `null` if it does, or nobody can tell. */
	readonly readyInMs: number | null;
};

/** What a caller knows of the load of one endpoint. */
export type EndpointLoad = {
	report: EngineReport | null;
	reportedAtMs: number;
	/** The way from the endpoint's host, by its reports. */
	readonly path: PathDelay;
	/** Own requests that are under way. */
	outstanding: number;
	/** Own requests that wait for their first byte, with the prompt tokens of each. */
	readonly awaiting: Map<number, AwaitedRequest>;
	/** Running and waiting requests as last told in an answer's head; `null` if it tells none. */
	told: {readonly active: number; readonly atMs: number} | null;
	/** How much later than expected its answers begin; halves in `lagHalfLifeMs`. */
	lagMs: number;
	lagAtMs: number;
	/** The end of the pause that the endpoint requested; `-Infinity` if it has requested none. */
	pausedUntilMs: number;
	/** Whether an answer from this start of the endpoint said that it is leaving; its announcement may say so later or never. */
	isLeaving: boolean;
};

export type AwaitedRequest = {readonly promptTokens: number; readonly sentAtMs: number; /** How long it was expected to wait. */ readonly expectedMs: number};

export const createEndpointLoad = (): EndpointLoad => ({
	report: null, reportedAtMs: Number.NEGATIVE_INFINITY, path: createPathDelay(), outstanding: 0, awaiting: new Map(), told: null, lagMs: 0, lagAtMs: 0,
	pausedUntilMs: Number.NEGATIVE_INFINITY, isLeaving: false,
});

/** A request that left this long before a report was read is in the report: a crossing between regions and one reading. */
const inReportMs = 10;

const noRequests: readonly AwaitedRequest[] = [];

/** Own requests that the newest report cannot know of. */
export const sentSinceReport = ({awaiting, reportedAtMs}: EndpointLoad): readonly AwaitedRequest[] => awaiting.size === 0
	? noRequests
	: [...awaiting.values()].filter(({sentAtMs}) => sentAtMs > reportedAtMs - inReportMs);

/** Reports come every tenth to third of a second; without any for this long, the endpoint's host stands still or is cut off. */
export const reportFreshMs = 550;

export const hasFreshReport = ({report, reportedAtMs}: EndpointLoad, nowMs: number): boolean => report !== null && nowMs - reportedAtMs < reportFreshMs;

/** An endpoint whose link or host has turned slow is tried again now and then, by those requests that find no better. */
const lagHalfLifeMs = 2000;
const lagWeight = 0.3;
const mostLagMs = 2000;

const decayedLagMs = ({lagMs, lagAtMs}: EndpointLoad, nowMs: number): number => lagMs === 0 ? 0 : lagMs * (0.5 ** ((nowMs - lagAtMs) / lagHalfLifeMs));

/** How far the request that has waited longest is behind what was expected of it. */
const overdueMs = ({awaiting}: EndpointLoad, nowMs: number): number => {
	let most = 0;
	for (const {sentAtMs, expectedMs} of awaiting.values()) {
		most = Math.max(most, nowMs - sentAtMs - expectedMs);
	}

	return most;
};

/**
 * How much later than expected a further request would begin. What is overdue
 * now counts at once: by the time that it begins, and shows how late it was, as
 * many again would have been sent after it.
 */
export const lagOf = (load: EndpointLoad, nowMs: number): number => Math.max(decayedLagMs(load, nowMs), overdueMs(load, nowMs));

/**
 * Takes in how late an answer began, or how long it was waited for in vain. No
 * report tells of a link that has narrowed or a host that stands still: the
 * engine there looks idle, and would be chosen again and again.
 */
export const noteLag = (load: EndpointLoad, lateMs: number, nowMs: number): void => {
	const before = decayedLagMs(load, nowMs);
	load.lagMs = before + (lagWeight * (Math.min(mostLagMs, Math.max(0, lateMs)) - before));
	load.lagAtMs = nowMs;
};
