import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	cascadiaHalls, postJson, randomWeights, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {
	createFakeEngine, createFakeOrigin, freeAddresses, type FakeEngine,
} from '@bitternpaddle/test-support';
import {build as buildHistogram} from 'hdr-histogram-js';

const agents = 64;
const sizeBytes = 16 * 1024 * 1024;
const chunkSizeBytes = 128 * 1024;
/** Low enough that twelve processors carry 64 links; the origin has twice that. */
const linkBytesPerSecond = 512 * 1024;
const callers = 8;
const callerPauseMs = 50;
const idleMs = 15_000;
const adminToken = 'burst-admin';
const teamKey = 'burst-team';
const daemonFile = path.resolve('packages/daemon/bin/bitternpaddled.js');

type Bed = {
	readonly entryAddress: string;
	readonly engines: FakeEngine[];
	readonly origin: Awaited<ReturnType<typeof createFakeOrigin>>;
	readonly versions: ReadonlyArray<{readonly manifestId: string; readonly digest: string}>;
	close(): Promise<void>;
};

const startDaemon = (flags: Record<string, string>): ChildProcess => spawn(
	process.execPath,
	[daemonFile, 'run', ...Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])],
	{stdio: 'ignore'},
);

/** One control host, one entry and 64 agents, each a process; engines and the origin are fakes in this one. */
const createBed = async (): Promise<Bed> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-burst-'));
	const [controlAddress, entryAddress] = await freeAddresses(2) as [string, string];
	const controls = `c1=${controlAddress}`;
	const origin = await createFakeOrigin({bytesPerSecond: 2 * linkBytesPerSecond});
	const published = [await origin.publish(randomWeights(1, sizeBytes), chunkSizeBytes), await origin.publish(randomWeights(2, sizeBytes), chunkSizeBytes)];
	const engines = await Promise.all(Array.from({length: agents}, async () => createFakeEngine()));
	const children = [
		startDaemon({
			roles: 'control', 'host-id': 'c1', listen: controlAddress, controls, 'data-folder': path.join(folder, 'c1'),
		}),
		startDaemon({
			roles: 'entry', 'host-id': 'e1', listen: entryAddress, controls, 'admin-tokens': `administer:${adminToken}`,
		}),
	];
	for (const [index, engine] of engines.entries()) {
		const hall = cascadiaHalls[index % cascadiaHalls.length]!;
		children.push(startDaemon({
			roles: 'agent', 'host-id': `h${index}`, controls, endpoint: engine.address, origin: origin.address, zone: hall.zoneId, region: hall.regionId,
			service: 'bp-writers', provider: 'new', 'data-folder': path.join(folder, `h${index}`),
			'transfer-in-bytes-per-second': String(linkBytesPerSecond), 'transfer-out-bytes-per-second': String(linkBytesPerSecond),
		}));
	}

	return {
		entryAddress, engines, origin, versions: published.map(({manifestId, manifest}) => ({manifestId, digest: manifest.wholeDigest})),
		async close() {
			for (const child of children) {
				child.kill('SIGKILL');
			}

			await Promise.all([...engines, origin].map(async fake => fake.close()));
			await rm(folder, {recursive: true, force: true});
		},
	};
};

type Calls = {readonly latencies: ReturnType<typeof buildHistogram>; answered: number; refused: number; wrong: number};

const createCalls = (): Calls => ({
	latencies: buildHistogram({numberOfSignificantValueDigits: 3}), answered: 0, refused: 0, wrong: 0,
});

/** An answer is wrong unless it is whole, the caller's own, and from exactly one of the two versions as tagged. */
const callOnce = async ({entryAddress, versions}: Bed, calls: Calls, text: string): Promise<void> => {
	const startedAtMs = performance.now();
	const {status, text: body, headers} = await postJson({
		address: entryAddress, token: teamKey, path: '/v1/chat/completions', body: {model: 'pitch-desk', max_tokens: 8, messages: [{role: 'user', content: text}]},
	});
	if (status !== 200) {
		calls.refused++;
		return;
	}

	calls.answered++;
	calls.latencies.recordValue(Math.round((performance.now() - startedAtMs) * 1000));
	const answer = JSON.parse(body) as {system_fingerprint: string; choices: Array<{message: {content: string}}>};
	const tagged = headers['x-bitternpaddle-version'] === 'pitch-desk:v2' ? versions[1]! : versions[0]!;
	if (answer.system_fingerprint !== tagged.digest || answer.choices[0]!.message.content !== `echo ${text}`) {
		calls.wrong++;
	}
};

const callUntil = async (bed: Bed, calls: Calls, isOver: () => boolean): Promise<void> => {
	await Promise.all(Array.from({length: callers}, async (_, caller) => {
		for (let number = 0; !isOver(); number++) {
			await callOnce(bed, calls, `${caller}-${number}`).catch(() => {
				calls.refused++;
			});
			await delay(callerPauseMs);
		}
	}));
};

const order = async (bed: Bed, line: string): Promise<void> => waitUntil(line, async () => {
	const answer = await sendLine({
		address: bed.entryAddress, token: adminToken, line, commandId: line,
	}).catch(() => null);
	return answer?.body.type === 'accepted';
}, {timeoutMs: 60_000});

const load = async (bed: Bed, position: number): Promise<{seconds: number; copies: number}> => {
	const sentBefore = bed.origin.sentBytes();
	const startedAtMs = performance.now();
	await order(bed, `load pitch-desk:v${position + 1} on fleet bench`);
	await waitUntil('all engines hold the version', () => bed.engines.every(engine => engine.heldDigest() === bed.versions[position]!.digest), {timeoutMs: 300_000});
	return {seconds: (performance.now() - startedAtMs) / 1000, copies: (bed.origin.sentBytes() - sentBefore) / sizeBytes};
};

/** A new version goes to 64 agents that serve callers all the while. */
export const measureBurst = async (): Promise<Record<string, unknown>> => {
	const bed = await createBed();
	try {
		await waitUntil('all agents joined', async () => {
			const answer = await sendLine({address: bed.entryAddress, token: adminToken, line: 'show hosts where role = agent'}).catch(() => null);
			return answer?.body.rows?.length === agents;
		}, {timeoutMs: 120_000});
		await order(bed, `create team bench key ${teamKey}`);
		await order(bed, 'create model pitch-desk');
		for (const [index, {manifestId}] of bed.versions.entries()) {
			await order(bed, `create version pitch-desk:v${index + 1} from manifest ${manifestId}`);
		}

		await order(bed, `create fleet bench provider new for pitch-desk:v1 replicas ${agents}`);
		const first = await load(bed, 0);
		process.stdout.write(`first version: ${JSON.stringify(first)}\n`);
		await delay(3000);
		const idle = createCalls();
		const idleUntilMs = performance.now() + idleMs;
		await callUntil(bed, idle, () => performance.now() > idleUntilMs);
		const during = createCalls();
		let isOver = false;
		const calling = callUntil(bed, during, () => isOver);
		const second = await load(bed, 1);
		isOver = true;
		await calling;
		const floorSeconds = sizeBytes / linkBytesPerSecond;
		const p99Ms = ({latencies}: Calls): number => latencies.getValueAtPercentile(99) / 1000;
		return {
			bench: 'burst', agents, sizeBytes, linkBytesPerSecond, floorSeconds, allSeconds: second.seconds, allOverFloor: second.seconds / floorSeconds, originCopies: second.copies,
			idleP99Ms: p99Ms(idle), duringP99Ms: p99Ms(during), liveP99Ratio: p99Ms(during) / p99Ms(idle), wrongAnswers: idle.wrong + during.wrong,
			answered: during.answered, refused: during.refused, refusedIdle: idle.refused, firstVersion: first,
		};
	} finally {
		await bed.close();
	}
};
