import path from 'node:path';
import {postJson, sendLine, waitUntil} from '@bitternpaddle/daemon';
import {
	createFakeEngine, createFakeOrigin, freeAddresses, testFolder,
} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t from 'tap';
import {startDaemon, type DaemonProcess} from './support/daemon-process.js';

// Every role runs in separate processes. The leader of the control hosts is killed
// during a load. The load still completes, the next command is accepted, and a
// caller gets a complete answer. Then an entry and an agent get SIGTERM and exit by
// themselves with code 0.
t.test('the leader of the control hosts is killed during a load', {timeout: 90_000}, async t => {
	const folder = testFolder(t);
	const addresses = await freeAddresses(4);
	const controlAddresses = addresses.slice(0, 3);
	const controls = controlAddresses.map((address, index) => `c${index + 1}=${address}`).join(',');
	const entryAddress = addresses[3]!;
	const origin = await createFakeOrigin({bytesPerSecond: 1_000_000});
	t.teardown(async () => origin.close());
	const {manifestId} = await origin.publish(new Uint8Array(2_000_000).fill(7), 65_536);
	const controlProcesses = new Map(controlAddresses.map((address, index) => [`c${index + 1}`, startDaemon(t, {
		roles: 'control', 'host-id': `c${index + 1}`, listen: address, controls, 'data-folder': path.join(folder, `c${index + 1}`),
	})]));
	const entryProcess = startDaemon(t, {
		roles: 'entry', 'host-id': 'e1', listen: entryAddress, controls, 'admin-tokens': 'administer:test-token',
	});
	const agentProcesses: DaemonProcess[] = [];
	for (let index = 1; index <= 3; index++) {
		const engine = await createFakeEngine();
		t.teardown(async () => engine.close());
		agentProcesses.push(startDaemon(t, {
			roles: 'agent', 'host-id': `h${index}`, controls, endpoint: engine.address, origin: origin.address, zone: `zone-${index}`,
			service: 'bp-writers', provider: 'new', 'data-folder': path.join(folder, `h${index}`),
		}));
	}

	const client = {address: entryAddress, token: 'test-token'};
	const query = async (line: string) => {
		const answer = await sendLine({...client, line}).catch(() => null);
		return answer?.body.rows ?? [];
	};

	const order = async (line: string): Promise<void> => waitUntil(line, async () => {
		const answer = await sendLine({...client, line, commandId: line}).catch(() => null);
		return answer?.body.type === 'accepted';
	});

	await waitUntil('three agents joined', async () => (await query('show hosts where role = agent')).length === 3);
	for (const line of [
		'create team marshals key marshals-key',
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${manifestId}`,
		'create fleet fair provider new for pitch-desk:v1 replicas 3',
		'load pitch-desk:v1 on fleet fair',
	]) {
		await order(line);
	}

	await waitUntil('the transfers have started', async () => (await query('show transfers')).length === 3);
	const ready = await sendHttp({address: controlAddresses[0]!, path: '/readyz', idleTimeoutMs: 2000});
	const {leaderId} = JSON.parse((await readBody(ready)).toString()) as {leaderId: string};
	await controlProcesses.get(leaderId)!.terminate('SIGKILL');
	await order('create model next-desk');
	t.pass('the next command is accepted');
	await waitUntil('three replicas ready', async () => (await query('show replicas where ready = true')).length === 3);
	t.pass('the load completes');
	// The leader has the state first; the entry gets it shortly afterwards from the control host that it watches.
	const {revision} = (await sendLine({...client, line: 'show replicas'})).body;
	await waitUntil('the entry is at that revision', async () => {
		const answer = await sendHttp({address: entryAddress, path: '/readyz', idleTimeoutMs: 2000});
		return (JSON.parse((await readBody(answer)).toString()) as {revision: number}).revision >= revision!;
	});

	const answer = await postJson({
		address: entryAddress, token: 'marshals-key', path: '/v1/chat/completions', body: {model: 'pitch-desk', stream: true, messages: [{role: 'user', content: 'hello'}]},
	});
	t.equal(answer.status, 200);
	t.ok(answer.text.endsWith('data: [DONE]\n\n'), 'the answer is complete');

	for (const daemon of [agentProcesses[0]!, entryProcess]) {
		t.strictSame(await daemon.terminate('SIGTERM'), {code: 0, signal: null}, 'it exits with code 0 on SIGTERM');
	}
});
