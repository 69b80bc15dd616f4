import {hasFreshReport, type Candidate} from '@bitternpaddle/coordination';
import type {Call} from './gateway-call.js';

/** How long an attempt may be silent. */
export type AttemptLimits = {
	/** Before the first byte, from an endpoint that `isReported` no longer vouches for; `null`: only the caller's deadline ends it. */
	readonly firstByteMs: number | null;
	/** Before the first byte in any case. */
	readonly longestFirstByteMs: number | null;
	/** Between events. */
	readonly pauseMs: number | null;
	/** Whether the endpoint's own host still says that it lives. */
	isReported(): boolean;
};

/** An engine that its host says nothing of may be frozen or gone. */
const unreportedObjectives = 1.5;
/**
 * An engine that its host reports on has a queue: to leave it would only put
 * the request at the end of another. One whose answer was lost on its way is
 * silent for ever; this is soon enough for one more attempt.
 */
const longestObjectives = 4.5;
const plainObjectives = 2.5;
const leastMs = 250;
/** Of the longest pause that is on time. */
const pauses = 3;
const defaultPauseMs = 1000;

const noLimits: AttemptLimits = {
	firstByteMs: null, longestFirstByteMs: null, pauseMs: null, isReported: () => false,
};

/** `canRepeat`: the request may run again, and there are attempts left. */
export const attemptLimits = ({service: {engine}, route}: Call, {load}: Candidate, canRepeat: boolean, nowMs: () => number): AttemptLimits => {
	if (!canRepeat) {
		return noLimits;
	}

	const withObjectives = (objectives: number): number => Math.max(leastMs, route.objectiveMs * objectives);
	return {
		firstByteMs: withObjectives(engine === null ? plainObjectives : unreportedObjectives),
		longestFirstByteMs: withObjectives(engine === null ? plainObjectives : longestObjectives),
		pauseMs: pauses * (route.pauseObjectiveMs ?? defaultPauseMs),
		isReported: () => hasFreshReport(load, nowMs()),
	};
};
