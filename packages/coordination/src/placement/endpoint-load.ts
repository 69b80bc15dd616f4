import {createPathDelay, type PathDelay} from './path-delay.js';
import type {LearnedTime} from './plain-model.js';
import type {AgedFigure} from './slowdown.js';

/**
 * What the agent on an engine's host has shown of the weights that the engine holds.
 * `unknown`: nothing yet, such as after a start of the agent; what was reported before still holds.
 * `none`: no weights, or none that were shown to be whole.
 */
export type WeightsProof
	= | {readonly type: 'unknown'}
		| {readonly type: 'none'}
		| {
			readonly type: 'whole';
			readonly version: number;
			/** The id under which this start of the engine is announced; `null` if the engine does not tell. */
			readonly engineId: string | null;
			/** When this start of the engine began, in Unix milliseconds; `null` if the engine does not tell. */
			readonly startedAtMs: number | null;
		};

/** The state of an engine, as reported by the agent on its host. */
export type EngineReport = {
	/** Requests in prefill or decoding. */
	readonly running: number;
	readonly queued: number;
	/** Above 1, the engine is slower than its published profile. */
	readonly pace: number;
	/** A command is being carried out; no new request starts. */
	readonly isBusy: boolean;
	/** The link of its host has recently been too slow for the required traffic. */
	readonly isStrained: boolean;
	readonly weights: WeightsProof;
	/** Estimated time until it serves the wanted version; `null` if it already does or the time is unknown. */
	readonly readyInMs: number | null;
};

/** The load that an endpoint advertised in the head of an answer. */
export type ReceivedLoad = {
	/** Running and waiting requests. */
	readonly active: number;
	/** The number of requests that it runs concurrently; `null` if not given. */
	readonly slots: number | null;
	/** How long work takes on its host, relative to its usual duration (1); `null` if not given. */
	readonly slowdown: number | null;
	/** When the head was received. */
	readonly atMs: number;
};

/** What an entry knows about the load of one endpoint. */
export type EndpointLoad = {
	report: EngineReport | null;
	/** When the last report was sent, as far as known. */
	reportedAtMs: number;
	/** The version of the weights that this start of the endpoint was shown to hold whole; `null` if none was. */
	wholeVersion: number | null;
	/** The last version that was proven and then refused by the endpoint; reports sent before the refusal prove nothing. `null` if there was none. */
	disproof: {readonly version: number; readonly atMs: number} | null;
	/** Delay on the path from the endpoint's host, measured by its reports. */
	readonly path: PathDelay;
	/** Requests of this entry that are in progress. */
	outstanding: number;
	/** Requests of this entry that wait for their first byte, by key. */
	readonly awaiting: Map<number, AwaitedRequest>;
	/** The load as last advertised in the head of an answer; `null` if none advertised it. */
	advertisedLoad: ReceivedLoad | null;
	/** The slowdown that its answers have advertised; `null` if none has. */
	slowdown: AgedFigure | null;
	/** The requests at the endpoint that its answers have advertised; `null` if none has. */
	active: AgedFigure | null;
	/** The usual time of a request at a plain endpoint; `null` until learned. */
	learned: LearnedTime | null;
	/** Its last refusal of a request, and the requests that it had then; `null` if there was none. */
	refusal: {readonly atMs: number; readonly active: number} | null;
	/** How much later than expected its answers start; halves in `lagHalfLifeMs`. */
	lagMs: number;
	lagAtMs: number;
	/** The end of the pause that the endpoint requested; `-Infinity` if it has requested none. */
	pausedUntilMs: number;
	/** Whether an answer from this start of the endpoint reported that it is leaving; its announcement may report it later or never. */
	isLeaving: boolean;
};

export type AwaitedRequest = {
	readonly promptTokens: number;
	readonly sentAtMs: number;
	/** The wait that was estimated when it was sent, and the stalls of this process since. */
	expectedMs: number;
};

export const createEndpointLoad = (): EndpointLoad => ({
	report: null, reportedAtMs: Number.NEGATIVE_INFINITY, wholeVersion: null, disproof: null, path: createPathDelay(), outstanding: 0, awaiting: new Map(), advertisedLoad: null, lagMs: 0, lagAtMs: 0,
	slowdown: null, active: null, learned: null, refusal: null,
	pausedUntilMs: Number.NEGATIVE_INFINITY, isLeaving: false,
});

/** A request sent up to this long before a report was taken is included in the report: the network latency between regions and of one measurement. */
const reportMarginMs = 10;

const noRequests: readonly AwaitedRequest[] = [];

/** Requests of this entry that the latest report cannot include. */
export const sentSinceReport = ({awaiting, reportedAtMs}: EndpointLoad): readonly AwaitedRequest[] => awaiting.size === 0
	? noRequests
	: [...awaiting.values()].filter(({sentAtMs}) => sentAtMs > reportedAtMs - reportMarginMs);

/** Reports arrive every 0.1 to 0.3 s; without any for this long, the endpoint's host is stalled or unreachable. */
export const maxReportAgeMs = 550;

export const hasFreshReport = ({report, reportedAtMs}: EndpointLoad, nowMs: number): boolean => report !== null && nowMs - reportedAtMs < maxReportAgeMs;

/** The lag decays, so that an endpoint whose link or host has become slow is tried again now and then, by requests that find no better endpoint. */
const lagHalfLifeMs = 2000;
const lagWeight = 0.3;
const maxLagMs = 2000;

const decayedLagMs = ({lagMs, lagAtMs}: EndpointLoad, nowMs: number): number => lagMs === 0 ? 0 : lagMs * (0.5 ** ((nowMs - lagAtMs) / lagHalfLifeMs));

/** Allows for a stall of this process in the estimates of all awaited answers: they may have arrived during it. */
export const excuseStall = ({awaiting}: EndpointLoad, stalledMs: number): void => {
	for (const awaited of awaiting.values()) {
		awaited.expectedMs += stalledMs;
	}
};

/** How far the most overdue request is behind its estimate. */
const overdueMs = ({awaiting}: EndpointLoad, nowMs: number): number => {
	let maxMs = 0;
	for (const {sentAtMs, expectedMs} of awaiting.values()) {
		maxMs = Math.max(maxMs, nowMs - sentAtMs - expectedMs);
	}

	return maxMs;
};

/**
 * How much later than expected a further request would start. Overdue requests count
 * at once: by the time that they start and their lag is measured, as many again would
 * have been sent after them.
 */
export const lagOf = (load: EndpointLoad, nowMs: number): number => Math.max(decayedLagMs(load, nowMs), overdueMs(load, nowMs));

/**
 * Records how late an answer started, or how long it was awaited without a result. Reports
 * don't show a link that became slow or a host that stalled: the engine there looks
 * idle and would be chosen again and again.
 */
export const recordLag = (load: EndpointLoad, lateMs: number, nowMs: number): void => {
	const before = decayedLagMs(load, nowMs);
	load.lagMs = before + (lagWeight * (Math.min(maxLagMs, Math.max(0, lateMs)) - before));
	load.lagAtMs = nowMs;
};
