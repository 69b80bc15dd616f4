import {hasFreshReport, type Candidate} from '@bitternpaddle/coordination';
import type {Call} from './gateway-call.js';

/** How long an attempt may receive nothing before it fails. */
export type AttemptLimits = {
	/** Before the first byte, for an endpoint without a fresh report (`isReported`); `null` if only the caller's deadline applies. */
	readonly firstByteMs: number | null;
	/** Before the first byte, even with fresh reports. */
	readonly maxFirstByteMs: number | null;
	/** Between two events of a stream. */
	readonly pauseMs: number | null;
	/** Whether the endpoint's own host still reports that it is running. */
	isReported(): boolean;
	/** Called when the endpoint has been silent for too long; resolves with `true` if the attempt ends, with `false` if it goes on. */
	failOver(): Promise<boolean>;
};

/** Timeouts as multiples of the route's objective. An engine without fresh reports from its host may be suspended or lost. */
const unreportedObjectiveFactor = 1.5;
/**
 * An engine with fresh reports is slow because requests are queued there: moving the
 * request would only put it at the end of another queue. If the answer was lost in
 * transit, nothing ever arrives; this timeout still leaves time for one more attempt.
 */
const maxObjectiveFactor = 4.5;
/** For services without an engine. */
const plainObjectiveFactor = 2.5;
const minTimeoutMs = 250;
/** Multiple of the longest gap between events that still meets the objective. */
const pauseFactor = 3;
const defaultPauseObjectiveMs = 1000;

const noLimits: AttemptLimits = {
	firstByteMs: null, maxFirstByteMs: null, pauseMs: null, isReported: () => false, failOver: async () => false,
};

export type AttemptLimitsOptions = {
	/** Whether the request is idempotent and further attempts remain. */
	readonly canRepeat: boolean;
	failOver(): Promise<boolean>;
	nowMs(): number;
};

export const attemptLimits = ({service: {engine}, route}: Call, {load}: Candidate, {canRepeat, failOver, nowMs}: AttemptLimitsOptions): AttemptLimits => {
	if (!canRepeat) {
		return noLimits;
	}

	const scaleObjective = (objectives: number): number => Math.max(minTimeoutMs, route.objectiveMs * objectives);
	return {
		firstByteMs: scaleObjective(engine === null ? plainObjectiveFactor : unreportedObjectiveFactor),
		maxFirstByteMs: scaleObjective(engine === null ? plainObjectiveFactor : maxObjectiveFactor),
		pauseMs: pauseFactor * (route.pauseObjectiveMs ?? defaultPauseObjectiveMs),
		isReported: () => hasFreshReport(load, nowMs()),
		failOver,
	};
};
