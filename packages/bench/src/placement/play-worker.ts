import {parentPort} from 'node:worker_threads';
import {
	simulateScenario, productPolicy, resolveScenario, type Counts, type EntryPolicy, type ProfileName, type Result, type ScenarioName, type WorkloadName,
} from '@bitternpaddle/model';
import {ablations, baselines} from './policies.js';

/** One simulation of a scenario with a policy. */
export type PlayJob = {
	readonly scenario: ScenarioName;
	/** `product`, or the name of a baseline or an ablation. */
	readonly policy: string;
	readonly seed: number;
	readonly engineCount: number;
	readonly entryCount: number;
	readonly profile: ProfileName;
	readonly work: WorkloadName;
	/** Additional age of the reports that entries know. */
	readonly reportAgeMs: number;
};

export type PlayDone = {readonly job: PlayJob; readonly result: Result; readonly bySecond: readonly Counts[]; readonly byKind: Readonly<Record<string, Counts>>};

const policyOf = (name: string): EntryPolicy => {
	if (name === 'product') {
		return productPolicy;
	}

	return ablations[name] ?? baselines[name]!();
};

parentPort!.on('message', (job: PlayJob) => {
	const {scenario, policy, seed, reportAgeMs, ...size} = job;
	const {result, tally: {bySecond, byClass}} = simulateScenario({scenario: {...resolveScenario(scenario, size), reportAgeMs}, seed, policy: policyOf(policy)});
	const done: PlayDone = {
		job, result, bySecond, byKind: Object.fromEntries(byClass),
	};
	parentPort!.postMessage(done);
});
