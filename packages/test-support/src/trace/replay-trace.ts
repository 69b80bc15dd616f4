import {match} from 'ts-pattern';
import type {TraceStep, TraceTarget} from './trace.js';

/** A step whose outcome differs from the one that the trace expects. */
export type TraceDifference = {readonly line: number; readonly expected: string; readonly actual: string};

/** Executes a trace step by step and compares each outcome with the expected one. */
export const replayTrace = async (steps: readonly TraceStep[], target: TraceTarget): Promise<TraceDifference[]> => {
	const differences: TraceDifference[] = [];
	for (const [index, step] of steps.entries()) {
		const {expected, actual} = await executeStep(step, target);
		if (expected !== actual) {
			differences.push({line: index + 1, expected, actual});
		}
	}

	return differences;
};

type StepResult = {readonly expected: string; readonly actual: string};

const noExpectation: StepResult = {expected: '', actual: ''};

const executeStep = async (step: TraceStep, target: TraceTarget): Promise<StepResult> => match(step)
	.with({type: 'operator'}, async operator => ({expected: operator.outcome, actual: await target.operator(operator)}))
	.with({type: 'version'}, async version => ({expected: version.outcome, actual: await target.version(version)}))
	.with({type: 'await'}, async awaited => {
		await target.await(awaited);
		return noExpectation;
	})
	.with({type: 'calls'}, async calls => {
		const outcome = calls.versionId === undefined ? calls.outcome : `${calls.outcome} ${calls.versionId}`;
		const outcomes = await target.calls(calls);
		return {expected: `${calls.count} x ${outcome}`, actual: summarize(outcomes)};
	})
	.with({type: 'booking'}, async booking => ({expected: booking.outcome, actual: await target.booking(booking)}))
	.with({type: 'runs'}, async runs => ({expected: String(runs.count), actual: String(target.runs(runs))}))
	.with({type: 'fault'}, async fault => {
		await target.fault(fault);
		return noExpectation;
	})
	.with({type: 'serviceFault'}, async fault => {
		target.serviceFault(fault);
		return noExpectation;
	})
	.exhaustive();

/** Counts equal outcomes, such as `8 x answered pitch-desk:v1`. */
const summarize = (outcomes: readonly string[]): string => [...new Set(outcomes)]
	.map(outcome => `${outcomes.filter(other => other === outcome).length} x ${outcome}`)
	.join(', ');
