import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '@bitternpaddle/coordination';
import {createFailureCluster, loadFirstVersion, type FailureCluster} from '@bitternpaddle/daemon';
import {checkHistory} from '@bitternpaddle/test-support';
import {
	addHistory, createTally, goodputOf, type Tally,
} from './goodput.js';
import {runSchedule, type ScheduleRun} from './run-schedule.js';
import {drawSchedules, type Schedule} from './schedule.js';

const defaultSchedules = 200;
const defaultSeed = 4;
const parallelClusters = 8;
const sampleMs = 50;

type Findings = {readonly tally: Tally; violations: number; hangs: number};

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const printRun = ({schedule}: ScheduleRun): void => {
	print(`  schedule ${schedule.number}: ${JSON.stringify(schedule.faults)}`);
};

const report = (cluster: FailureCluster, runs: readonly ScheduleRun[], findings: Findings): void => {
	addHistory(findings.tally, cluster.history.events);
	for (const run of runs) {
		for (const problem of [...run.hangs, ...run.errors]) {
			findings.hangs++;
			print(`hang: ${problem}`);
			printRun(run);
		}
	}

	for (const violation of checkHistory(cluster.history.events)) {
		findings.violations++;
		print(`violation: ${violation.type} at ${Math.round(violation.atMs)} ms: ${violation.detail}`);
		for (const run of runs.filter(candidate => candidate.startedAtMs <= violation.atMs && candidate.endedAtMs >= violation.atMs)) {
			printRun(run);
		}
	}
};

/** One cluster takes schedules until there are none left; one that does not recover is replaced. */
const runCluster = async (left: Schedule[], findings: Findings): Promise<void> => {
	while (left.length > 0) {
		const cluster = await createFailureCluster();
		const sampling = setInterval(() => {
			cluster.sampleHosts();
		}, sampleMs);
		const runs: ScheduleRun[] = [];
		try {
			await loadFirstVersion(cluster);
			let isBroken = false;
			while (left.length > 0 && !isBroken) {
				const run = await runSchedule(cluster, left.shift()!);
				runs.push(run);
				isBroken = run.hangs.length > 0;
			}
		} finally {
			clearInterval(sampling);
			report(cluster, runs, findings);
			await cluster.close();
		}
	}
};

/** Random schedules of faults over all roles, judged by the history that they leave. */
export const measureChaos = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {schedules: {type: 'string'}, seed: {type: 'string'}}});
	const count = Number(values.schedules ?? defaultSchedules);
	const seed = Number(values.seed ?? defaultSeed);
	print(`seed ${seed}, ${count} schedules`);
	const left = drawSchedules(createRandom(seed), count);
	const findings: Findings = {tally: createTally(), violations: 0, hangs: 0};
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: Math.min(parallelClusters, count)}, async () => runCluster(left, findings)));
	const {tally} = findings;
	return {
		bench: 'chaos', seed, schedules: count, violations: findings.violations + findings.hangs, hangs: findings.hangs, requests: tally.requests,
		outcomes: tally.outcomes, faults: tally.faults, goodput: goodputOf(tally), tookMs: Math.round(performance.now() - startedAtMs),
	};
};
