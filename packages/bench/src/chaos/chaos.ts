import process from 'node:process';
import {parseArgs} from 'node:util';
import {Worker} from 'node:worker_threads';
import {createRandom} from '@bitternpaddle/coordination';
import {addTally, goodputOf} from './goodput.js';
import {createFindings, type Findings, type RunClustersOptions} from './run-clusters.js';
import {createSchedules} from './schedule.js';

const defaultSchedules = 200;
const defaultSeed = 4;
/** Each worker runs its own clusters in one thread; in an overloaded thread the hosts would detect stalls of their own process. */
const workers = 4;
const clustersPerWorker = 3;

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const runWorker = async (options: RunClustersOptions): Promise<Findings> => new Promise((resolve, reject) => {
	const worker = new Worker(new URL('chaos-worker.js', import.meta.url), {workerData: options});
	worker.once('message', (findings: Findings) => {
		resolve(findings);
		void worker.terminate();
	});
	worker.once('error', reject);
});

const addFindings = (total: Findings, found: Findings): void => {
	total.violations += found.violations;
	total.hangs += found.hangs;
	addTally(total.tally, found.tally);
	for (const line of found.lines) {
		print(line);
	}
};

/** Runs random schedules of faults over all roles and checks the recorded history for violations. */
export const measureChaos = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {schedules: {type: 'string'}, seed: {type: 'string'}}});
	const count = Number(values.schedules ?? defaultSchedules);
	const seed = Number(values.seed ?? defaultSeed);
	print(`seed ${seed}, ${count} schedules`);
	const schedules = createSchedules(createRandom(seed), count);
	const total = createFindings();
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: workers}, async (_, worker) => {
		const workerSchedules = schedules.filter(schedule => schedule.number % workers === worker);
		addFindings(total, await runWorker({schedules: workerSchedules, clusters: clustersPerWorker}));
	}));
	const {tally} = total;
	return {
		bench: 'chaos', seed, schedules: count, violations: total.violations + total.hangs, hangs: total.hangs, requests: tally.requests,
		outcomes: tally.outcomes, faults: tally.faults, goodput: goodputOf(tally), tookMs: Math.round(performance.now() - startedAtMs),
	};
};
