import {
	createFailureCluster, loadFirstVersion, queryRows, type FailureCluster,
} from '@bitternpaddle/daemon';
import {checkHistory} from '@bitternpaddle/test-support';
import {addHistory, createTally, type Tally} from './goodput.js';
import {runSchedule, type ScheduleRun} from './run-schedule.js';
import type {Schedule} from './schedule.js';

export type Findings = {readonly tally: Tally; violations: number; hangs: number; readonly lines: string[]};

export const createFindings = (): Findings => ({
	tally: createTally(), violations: 0, hangs: 0, lines: [],
});

const sampleMs = 50;

const formatSchedule = ({schedule}: ScheduleRun): string => `  schedule ${schedule.number}: ${JSON.stringify(schedule.faults)}`;

const addClusterFindings = (cluster: FailureCluster, runs: readonly ScheduleRun[], findings: Findings): void => {
	addHistory(findings.tally, cluster.history.events);
	for (const run of runs) {
		for (const problem of [...run.hangs, ...run.errors]) {
			findings.hangs++;
			findings.lines.push(`hang: ${problem}`, formatSchedule(run));
		}
	}

	for (const violation of checkHistory(cluster.history.events)) {
		findings.violations++;
		const during = runs.filter(run => run.startedAtMs <= violation.atMs && run.endedAtMs >= violation.atMs);
		findings.lines.push(`violation: ${violation.type} at ${Math.round(violation.atMs)} ms: ${violation.detail}`, ...during.map(run => formatSchedule(run)));
	}
};

/** Returns the state that an operator would inspect first. */
const describeCluster = async (cluster: FailureCluster): Promise<string[]> => Promise.all(['show revision', 'show hosts', 'show replicas', 'show transfers'].map(async line => {
	const rows = await queryRows(cluster, line);
	return `  ${line}: ${JSON.stringify(rows)}`;
}));

/** Runs schedules on one cluster until none are left; a cluster that does not recover is replaced. */
const runCluster = async (pending: Schedule[], findings: Findings): Promise<void> => {
	while (pending.length > 0) {
		const cluster = await createFailureCluster();
		const sampling = setInterval(() => {
			cluster.sampleHosts();
		}, sampleMs);
		const runs: ScheduleRun[] = [];
		try {
			await loadFirstVersion(cluster);
		} catch (error) {
			findings.hangs++;
			findings.lines.push(`hang before any fault: ${(error as Error).message}`, ...await describeCluster(cluster));
			clearInterval(sampling);
			await cluster.close();
			continue;
		}

		try {
			let isBroken = false;
			while (pending.length > 0 && !isBroken) {
				const run = await runSchedule(cluster, pending.shift()!);
				runs.push(run);
				isBroken = run.hangs.length > 0;
			}
		} finally {
			clearInterval(sampling);
			addClusterFindings(cluster, runs, findings);
			await cluster.close();
		}
	}
};

export type RunClustersOptions = {readonly schedules: readonly Schedule[]; readonly clusters: number};

/** Runs all schedules on several clusters in parallel. */
export const runClusters = async ({schedules, clusters}: RunClustersOptions): Promise<Findings> => {
	const pending = [...schedules];
	const findings = createFindings();
	await Promise.all(Array.from({length: Math.min(clusters, pending.length)}, async () => runCluster(pending, findings)));
	return findings;
};
