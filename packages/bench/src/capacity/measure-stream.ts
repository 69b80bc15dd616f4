import path from 'node:path';
import {sendLine, waitUntil} from '@bitternpaddle/daemon';
import {createFakeEngine, createFakeOrigin, freeAddresses} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import {withTemporaryFolder, type Measured} from './measure-state.js';
import {measureUsage, type ProcessUsage} from './process-usage.js';
import {startDaemon, type DaemonProcess} from './processes.js';
import type {Point} from './slope.js';
import {startupTimeoutMs} from './start-controls.js';

const tokenCounts = [1, 32, 64, 128, 256] as const;
const concurrency = 16;
const requestsPerSize = 64;
/** Long enough that no two tokens of a stream are sent in one write. */
const tokenMs = 8;
export const adminToken = 'bench-token';
export const teamKey = 'bench-key';

export type StreamPath = {readonly entry: DaemonProcess; readonly agent: DaemonProcess; readonly entryAddress: string};

/** Starts control, entry and agent as processes, with engine and origin in this process, and runs `work` once a replica is serving. */
export const withStreamPath = async (work: (path: StreamPath) => Promise<void>, entryFlags: Record<string, string> = {}): Promise<void> => withTemporaryFolder(async folder => {
	const [controlAddress, entryAddress] = await freeAddresses(2) as [string, string];
	const engine = await createFakeEngine({tokenMs});
	const origin = await createFakeOrigin();
	const {manifestId} = await origin.publish(new Uint8Array(65_536).fill(7), 65_536);
	const controls = `c1=${controlAddress}`;
	const control = startDaemon({
		roles: 'control', 'host-id': 'c1', listen: controlAddress, controls, 'data-folder': path.join(folder, 'c1'),
	});
	const entry = startDaemon({
		roles: 'entry', 'host-id': 'e1', listen: entryAddress, controls, 'admin-tokens': `administer:${adminToken}`, ...entryFlags,
	});
	const agent = startDaemon({
		roles: 'agent', 'host-id': 'h1', controls, endpoint: engine.address, origin: origin.address, provider: 'new', capacity: '64',
		'data-folder': path.join(folder, 'h1'),
	});
	try {
		await loadReplicas(entryAddress, manifestId);
		await work({entry, agent, entryAddress});
	} finally {
		await Promise.all([control, entry, agent].map(async daemon => daemon.terminate()));
		await engine.close();
		await origin.close();
	}
});

/** Loads a version on `replicas` agents with operator commands. */
export const loadReplicas = async (address: string, manifestId: string, replicas = 1): Promise<void> => {
	const send = async (line: string) => sendLine({
		address, token: adminToken, line, commandId: line,
	}).catch(() => null);
	await waitUntil('the agents have joined', async () => (await send('show hosts where role = agent'))?.body.rows?.length === replicas, {timeoutMs: startupTimeoutMs});
	for (const line of [
		`create team bench key ${teamKey}`,
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${manifestId}`,
		`create fleet bench provider new for pitch-desk:v1 replicas ${replicas}`,
		'load pitch-desk:v1 on fleet bench',
	]) {
		await send(line);
	}

	await waitUntil('the replicas are ready', async () => (await send('show replicas where ready = true'))?.body.rows?.length === replicas, {timeoutMs: startupTimeoutMs});
};

/** Sends one streaming request; throws unless the streamed answer is complete. */
export const streamOne = async (address: string, tokens: number): Promise<void> => {
	const response = await sendHttp({
		address, method: 'POST', path: '/v1/chat/completions', idleTimeoutMs: 10_000,
		headers: {authorization: `Bearer ${teamKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'pitch-desk', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'hello'}],
		}),
	});
	const text = (await readBody(response)).toString();
	if (response.statusCode !== 200 || !text.endsWith('data: [DONE]\n\n')) {
		throw new Error(`streaming request failed with status ${response.statusCode}: ${text.slice(0, 200)}`);
	}
};

const streamMany = async (address: string, tokens: number): Promise<void> => {
	let left = requestsPerSize;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (left > 0) {
			left--;
			await streamOne(address, tokens);
		}
	}));
};

/** Measures a real entry and agent with streamed answers of increasing length: the slope is the cost per token, the intercept the cost per request. */
export const measureStreams = async (): Promise<Measured> => {
	const entryProcessor: Point[] = [];
	const entryBytes: Point[] = [];
	const agentProcessor: Point[] = [];
	const agentBytes: Point[] = [];
	await withStreamPath(async ({entry, agent, entryAddress}) => {
		// Warm-up: the first requests include compiling the code and are not counted.
		await streamMany(entryAddress, 32);
		await streamMany(entryAddress, 32);
		for (const x of tokenCounts) {
			let agentUsage: ProcessUsage = {processorMs: 0, transferBytes: 0};
			const entryUsage = await measureUsage(entry.pid, async () => {
				agentUsage = await measureUsage(agent.pid, async () => streamMany(entryAddress, x));
			});
			entryProcessor.push({x, y: entryUsage.processorMs / requestsPerSize});
			entryBytes.push({x, y: entryUsage.transferBytes / requestsPerSize});
			agentProcessor.push({x, y: agentUsage.processorMs / requestsPerSize});
			agentBytes.push({x, y: agentUsage.transferBytes / requestsPerSize});
		}
	});
	return {
		'entry.stream.processor': entryProcessor, 'entry.stream.bytes': entryBytes,
		'agent.stream.processor': agentProcessor, 'agent.stream.bytes': agentBytes,
	};
};
