import {readFile} from 'node:fs/promises';
import {
	createFailureCluster, midwayPitchDesk, operate, queryRows, stationCleaningRouterFleet, waitUntil, type Deployment, type FailureCluster,
} from '@bitternpaddle/daemon';
import {
	checkHistory, parseTrace, recordCall, replayTrace, type CallOutcome, type TraceTarget,
} from '@bitternpaddle/test-support';
import t from 'tap';

const describeOutcome = (outcome: CallOutcome, isTagged: boolean): string => outcome.type === 'answered' && isTagged ? `answered ${outcome.versionId}` : outcome.type;

/** Selects one of the running entries, as a load balancer would. */
const entryAt = (cluster: FailureCluster, position: number) => {
	const up = cluster.entries.filter(entry => entry.node() !== undefined);
	const entry = up[position % up.length]!;
	return {entryId: entry.nodeId, address: entry.node()!.address};
};

/** Resends a command with one command id until it gets a response, as operators do. */
const order = async (cluster: FailureCluster, line: string, commandId: string): Promise<string> => {
	let type = 'unknown';
	await waitUntil(line, async () => {
		({type} = await operate(cluster, line, {commandId}));
		return type !== 'unknown';
	});
	return type;
};

const createTarget = (cluster: FailureCluster): TraceTarget => {
	const {history} = cluster;
	const nodes = [...cluster.controls, ...cluster.entries, ...cluster.agents];
	let commands = 0;
	const nextId = (): string => {
		commands++;
		return `command-${commands}`;
	};

	return {
		operator: async ({line, commandId = nextId()}) => order(cluster, line, commandId),
		async version({versionId, weights}) {
			const {manifestId, digest} = cluster.manifests[weights]!;
			history.record({type: 'versionPublished', versionId, digest});
			return order(cluster, `create version ${versionId} from manifest ${manifestId}`, nextId());
		},
		async await({line, rows}) {
			await waitUntil(line, async () => (await queryRows(cluster, line)).length === rows, {timeoutMs: 60_000});
			// Hosts receive the change shortly after the control hosts.
			await waitUntil('in force on all hosts', async () => (await queryRows(cluster, 'show revision'))[0]?.missing === '');
		},
		calls: async ({name, team, modelId, count, isStream, tokens, versionId}) => Promise.all(Array.from({length: count}, async (_, position) => describeOutcome(await recordCall({
			...entryAt(cluster, position), history, callId: `${name}-${position}`, token: `${team}-key`,
			target: {
				type: 'model', modelId, isStream, maxTokens: tokens,
			},
		}), versionId !== undefined))),
		async booking({name, team, serviceId, key, entry}) {
			const outcome = await recordCall({
				...entryAt(cluster, entry), history, callId: name, token: `${team}-key`, target: {type: 'service', serviceId, key},
			});
			return outcome.type;
		},
		runs: ({key}) => cluster.ledger.runsPerKey.get(key) ?? 0,
		async fault({fault, nodeId}) {
			const handle = nodes.find(candidate => candidate.nodeId === nodeId)!;
			if (fault === 'stop') {
				history.record({type: 'leaveStarted', nodeId, cause: 'stop'});
			}

			await handle[fault]();
		},
		serviceFault({fault}) {
			cluster.ledger.faults.isCutAfterRun = fault === 'cutAfterRun';
		},
	};
};

const replay = async (deployment: Deployment, file: string) => {
	const {locations: zoneLocations, services, latencyMs} = deployment;
	const cluster = await createFailureCluster({
		zoneLocations, services, latencyMs: latencyMs.betweenRegions, deadlineMs: 10_000,
	});
	try {
		const steps = parseTrace(await readFile(file, 'utf8'));
		const differences = await replayTrace(steps, createTarget(cluster));
		return {cluster, steps, differences};
	} finally {
		await cluster.close();
	}
};

// Each trace is a morning of one deployment at full size, with the latency between
// its regions on every link: loads, callers of ten teams, resent bookings, a second
// version, drains, stops and kills. Every outcome must be the one that the trace
// states, and the history must satisfy every invariant.
for (const [deployment, file] of [
	[midwayPitchDesk, 'test/traces/midway-pitch-desk.jsonl'],
	[stationCleaningRouterFleet, 'test/traces/station-cleaning-router-fleet.jsonl'],
] as const) {
	t.test(`the trace of ${deployment.name}`, {timeout: 120_000}, async t => {
		const {cluster, differences} = await replay(deployment, file);
		t.same(differences, []);
		t.same(checkHistory(cluster.history.events), []);
	});
}
