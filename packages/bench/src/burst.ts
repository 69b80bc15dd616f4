import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	cascadiaZones, postJson, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {freeAddresses} from '@bitternpaddle/test-support';
import {build as buildHistogram} from 'hdr-histogram-js';
import type {PublishedVersion} from './burst-fake.js';
import {startFake, type FakeProcess} from './burst-fakes.js';

const agents = 64;
const sizeBytes = 16 * 1024 * 1024;
const chunkSizeBytes = 128 * 1024;
/** Low enough for twelve CPU cores to sustain 64 links; the origin has twice this rate. */
const linkBytesPerSecond = 512 * 1024;
const callers = 8;
const callPauseMs = 50;
const idlePhaseMs = 15_000;
const adminToken = 'burst-admin';
const teamKey = 'burst-team';
const daemonFile = path.resolve('packages/daemon/bin/bitternpaddled.js');

type BurstCluster = {
	readonly entryAddress: string;
	readonly engines: readonly FakeProcess[];
	readonly origin: FakeProcess;
	readonly versions: readonly PublishedVersion[];
	close(): Promise<void>;
};

const startDaemon = (flags: Record<string, string>): ChildProcess => spawn(
	process.execPath,
	[daemonFile, 'run', ...Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])],
	{stdio: 'ignore'},
);

/** Starts one control host, one entry, 64 agents, their fake engines and the fake origin, each in its own process; this process runs only the callers. */
const createBurstCluster = async (): Promise<BurstCluster> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-burst-'));
	const origin = await startFake({
		type: 'origin', bytesPerSecond: 2 * linkBytesPerSecond, sizeBytes, chunkSizeBytes, seeds: [1, 2],
	});
	const engines = await Promise.all(Array.from({length: agents}, async () => startFake({type: 'engine'})));
	const [controlAddress, entryAddress] = await freeAddresses(2) as [string, string];
	const controls = `c1=${controlAddress}`;
	const children = [
		startDaemon({
			roles: 'control', 'host-id': 'c1', listen: controlAddress, controls, 'data-folder': path.join(folder, 'c1'),
		}),
		startDaemon({
			roles: 'entry', 'host-id': 'e1', listen: entryAddress, controls, 'admin-tokens': `administer:${adminToken}`,
		}),
	];
	for (const [index, engine] of engines.entries()) {
		const zone = cascadiaZones[index % cascadiaZones.length]!;
		children.push(startDaemon({
			roles: 'agent', 'host-id': `h${index}`, controls, endpoint: engine.address, origin: origin.address, zone: zone.zoneId, region: zone.regionId,
			service: 'bp-writers', provider: 'new', 'data-folder': path.join(folder, `h${index}`),
			'transfer-in-bytes-per-second': String(linkBytesPerSecond), 'transfer-out-bytes-per-second': String(linkBytesPerSecond),
		}));
	}

	return {
		entryAddress, engines, origin, versions: origin.versions,
		async close() {
			for (const child of children) {
				child.kill('SIGKILL');
			}

			for (const fake of [...engines, origin]) {
				fake.close();
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
};

/** `flowing`: weights are being transferred and no engine has changed its version yet; `switching`: from the first engine's change of version to the last one's. */
type Phase = 'idle' | 'flowing' | 'switching';

type Histogram = ReturnType<typeof buildHistogram>;

type Calls = {readonly latencies: Histogram; readonly latenciesOf: Record<Phase, Histogram>; answered: number; refused: number; wrong: number};

const createLatencies = (): Histogram => buildHistogram({numberOfSignificantValueDigits: 3});

const createCalls = (): Calls => ({
	latencies: createLatencies(), latenciesOf: {idle: createLatencies(), flowing: createLatencies(), switching: createLatencies()},
	answered: 0, refused: 0, wrong: 0,
});

type PhaseOf = () => Phase;

/** Counts an answer as wrong unless it is complete, belongs to this caller's request, and was produced by the version that its header names. */
const callOnce = async ({entryAddress, versions}: BurstCluster, calls: Calls, phase: Phase, text: string): Promise<void> => {
	const startedAtMs = performance.now();
	const {status, text: body, headers} = await postJson({
		address: entryAddress, token: teamKey, path: '/v1/chat/completions', body: {model: 'pitch-desk', max_tokens: 8, messages: [{role: 'user', content: text}]},
	});
	if (status !== 200) {
		calls.refused++;
		return;
	}

	calls.answered++;
	const latencyUs = Math.round((performance.now() - startedAtMs) * 1000);
	calls.latencies.recordValue(latencyUs);
	calls.latenciesOf[phase].recordValue(latencyUs);
	const answer = JSON.parse(body) as {system_fingerprint: string; choices: Array<{message: {content: string}}>};
	const taggedVersion = headers['x-bitternpaddle-version'] === 'pitch-desk:v2' ? versions[1]! : versions[0]!;
	if (answer.system_fingerprint !== taggedVersion.digest || answer.choices[0]!.message.content !== `echo ${text}`) {
		calls.wrong++;
	}
};

const callUntil = async (cluster: BurstCluster, calls: Calls, phaseOf: PhaseOf, isOver: () => boolean): Promise<void> => {
	await Promise.all(Array.from({length: callers}, async (_, caller) => {
		for (let number = 0; !isOver(); number++) {
			await callOnce(cluster, calls, phaseOf(), `${caller}-${number}`).catch(() => {
				calls.refused++;
			});
			await delay(callPauseMs);
		}
	}));
};

const submitLine = async (cluster: BurstCluster, line: string): Promise<void> => waitUntil(line, async () => {
	const answer = await sendLine({
		address: cluster.entryAddress, token: adminToken, line, commandId: line,
	}).catch(() => null);
	return answer?.body.type === 'accepted';
}, {timeoutMs: 60_000});

const loadVersion = async (cluster: BurstCluster, position: number): Promise<{seconds: number; copies: number}> => {
	const sentBefore = cluster.origin.sentBytes();
	const startedAtMs = performance.now();
	await submitLine(cluster, `load pitch-desk:v${position + 1} on fleet bench`);
	await waitUntil('all engines hold the version', () => cluster.engines.every(engine => engine.heldDigest() === cluster.versions[position]!.digest), {timeoutMs: 300_000});
	return {seconds: (performance.now() - startedAtMs) / 1000, copies: (cluster.origin.sentBytes() - sentBefore) / sizeBytes};
};

/** Distributes a new version to 64 agents that serve callers throughout. */
export const measureBurst = async (): Promise<Record<string, unknown>> => {
	const cluster = await createBurstCluster();
	try {
		await waitUntil('all agents have joined', async () => {
			const answer = await sendLine({address: cluster.entryAddress, token: adminToken, line: 'show hosts where role = agent'}).catch(() => null);
			return answer?.body.rows?.length === agents;
		}, {timeoutMs: 120_000});
		await submitLine(cluster, `create team bench key ${teamKey}`);
		await submitLine(cluster, 'create model pitch-desk');
		for (const [index, {manifestId}] of cluster.versions.entries()) {
			await submitLine(cluster, `create version pitch-desk:v${index + 1} from manifest ${manifestId}`);
		}

		await submitLine(cluster, `create fleet bench provider new for pitch-desk:v1 replicas ${agents}`);
		const first = await loadVersion(cluster, 0);
		process.stdout.write(`first version: ${JSON.stringify(first)}\n`);
		await delay(3000);
		const idle = createCalls();
		const idleUntilMs = performance.now() + idlePhaseMs;
		await callUntil(cluster, idle, () => 'idle', () => performance.now() > idleUntilMs);
		const during = createCalls();
		let isOver = false;
		const hasSwitched = (): boolean => cluster.engines.some(engine => engine.heldDigest() === cluster.versions[1]!.digest);
		const calling = callUntil(cluster, during, () => hasSwitched() ? 'switching' : 'flowing', () => isOver);
		const second = await loadVersion(cluster, 1);
		isOver = true;
		await calling;
		// Lower bound: every agent receives the version once at the full rate of its link.
		const floorSeconds = sizeBytes / linkBytesPerSecond;
		const p99Ms = (latencies: Histogram): number => latencies.getValueAtPercentile(99) / 1000;
		const phaseResult = (phase: Phase) => ({answered: during.latenciesOf[phase].totalCount, p99Ms: p99Ms(during.latenciesOf[phase])});
		return {
			bench: 'burst', agents, sizeBytes, linkBytesPerSecond, floorSeconds, allSeconds: second.seconds, allOverFloor: second.seconds / floorSeconds, originCopies: second.copies,
			idleP99Ms: p99Ms(idle.latencies), duringP99Ms: p99Ms(during.latencies), liveP99Ratio: p99Ms(during.latencies) / p99Ms(idle.latencies),
			flowing: phaseResult('flowing'), switching: phaseResult('switching'), wrongAnswers: idle.wrong + during.wrong,
			answered: during.answered, refused: during.refused, refusedIdle: idle.refused, firstVersion: first,
		};
	} finally {
		await cluster.close();
	}
};
