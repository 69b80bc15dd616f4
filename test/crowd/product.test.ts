import {Buffer} from 'node:buffer';
import path from 'node:path';
import {waitUntil} from '@bitternpaddle/daemon';
import {
	chunkedHeader, createFakeService, encodeChunks, freeAddresses, openCrowd, requestHead, testFolder, watchUsage, type UsageWatch,
} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {startDaemon, type DaemonProcess} from '../support/daemon-process.js';

const mebibyte = 1_048_576;
const bytesPerMegabyte = 1_000_000;
/** Memory of the smallest host that a role is deployed to. */
const memoryMb = 250;
const maxDescriptors = 400;
const maxConnections = 200;
const largestCallBytes = 67_108_864;
const stepTimeoutMs = 60_000;

type WatchedDaemon = DaemonProcess & {readonly address: string; readonly usage: UsageWatch};

/** Starts a control host, an entry and an agent with a plain service, each as a process with low limits. */
const startRoles = async (t: Test) => {
	const folder = testFolder(t);
	const service = await createFakeService();
	t.teardown(async () => service.close());
	const addresses = await freeAddresses(3);
	const start = (role: string, index: number, flags: Record<string, string>): WatchedDaemon => {
		const address = addresses[index]!;
		const daemon = startDaemon(t, {
			roles: role, 'host-id': `${role}1`, listen: address, controls: `control1=${addresses[0]}`, 'data-folder': path.join(folder, role),
			'max-connections': String(maxConnections), ...flags,
		}, {hasLoaders: false});
		const usage = watchUsage(daemon.pid);
		t.teardown(usage.close);
		return {...daemon, address, usage};
	};

	const control = start('control', 0, {'max-buffered-bytes': String(largestCallBytes)});
	const entry = start('entry', 1, {'max-buffered-bytes': String(16 * mebibyte), 'admin-tokens': 'administer:test-admin'});
	const agent = start('agent', 2, {
		endpoint: service.address, 'endpoint-kind': 'plain', service: 'ledger', 'max-buffered-bytes': String(16 * mebibyte),
	});
	const status = async ({address}: WatchedDaemon, path: string): Promise<number> => {
		try {
			const response = await sendHttp({
				address, path, idleTimeoutMs: 5000, agent: false,
			});
			await readBody(response);
			return response.statusCode!;
		} catch {
			return 0;
		}
	};

	await waitUntil('the entry is ready', async () => await status(entry, '/readyz') === 200, {timeoutMs: stepTimeoutMs});
	return {
		control, entry, agent, status,
	};
};

type Roles = Awaited<ReturnType<typeof startRoles>>;

const checkRoles = async (t: Test, {control, entry, agent, status}: Roles): Promise<void> => {
	await waitUntil('an ordinary request is answered', async () => !entry.isRunning() || await status(entry, '/readyz') === 200, {timeoutMs: stepTimeoutMs});
	for (const daemon of [control, entry, agent]) {
		const {peakMemoryBytes, peakDescriptors} = daemon.usage.read();
		t.ok(daemon.isRunning(), `${daemon.hostId} lives`);
		t.ok(peakMemoryBytes <= memoryMb * bytesPerMegabyte, `${daemon.hostId} had ${Math.round(peakMemoryBytes / bytesPerMegabyte)} MB of ${memoryMb} at its peak`);
		t.ok(peakDescriptors <= maxDescriptors, `${daemon.hostId} had ${peakDescriptors} descriptors of ${maxDescriptors}`);
	}
};

// Guards against bodies in parts that take more memory than the process has, on each role of the product's own program.
for (const [role, head] of [
	['entry', requestHead('POST', '/v1/chat/completions', ['host: a', chunkedHeader])],
	['agent', requestHead('POST', '/rpc', ['host: a', chunkedHeader])],
	['control', requestHead('POST', '/rpc', ['host: a', chunkedHeader])],
] as const) {
	t.test(`the role ${role} outlives a crowd of bodies in chunks of 1 byte`, async t => {
		const roles = await startRoles(t);
		const crowd = await openCrowd(t, {address: roles[role].address, count: 16, parts: [head, encodeChunks(mebibyte - 1, 1)]});
		await crowd.settled();
		await checkRoles(t, roles);
	});

	t.test(`the role ${role} outlives a crowd of idle connections`, async t => {
		const roles = await startRoles(t);
		const crowd = await openCrowd(t, {address: roles[role].address, count: 2 * maxDescriptors});
		await crowd.settled();
		await checkRoles(t, roles);
	});

	t.test(`the role ${role} outlives a crowd of pipelined requests`, async t => {
		const roles = await startRoles(t);
		const request = requestHead('POST', '/rpc', ['host: a', 'content-length: 0']);
		const crowd = await openCrowd(t, {
			address: roles[role].address, count: 40, parts: Array.from({length: 20}, () => Buffer.alloc(1000 * request.length, request)), isReading: false,
		});
		await crowd.settled();
		await checkRoles(t, roles);
	});
}
