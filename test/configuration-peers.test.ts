import path from 'node:path';
import {createServer, type Server, type AddressInfo} from 'node:net';
import {rendezvousOrder} from '@bitternpaddle/coordination';
import {
	createConfigurationClient, createControlNode, createPeers, waitUntil, type ConfigurationClient, type ControlNode,
} from '@bitternpaddle/daemon';
import type {Show} from '@bitternpaddle/protocol';
import {modelId} from '@bitternpaddle/state';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {silentLogger, type Logger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';

const startControlAt = async (listen: string, folder: string): Promise<ControlNode> => createControlNode({
	selfId: 'c1', listen, folder, members: new Map(), voters: ['c1'],
});

const startControl = async (t: Test): Promise<string> => {
	const node = await startControlAt('127.0.0.1:0', testFolder(t));
	t.teardown(async () => node.close());
	return node.address;
};

/** Accepts connections and never sends data. */
const startUnresponsive = async (t: Test): Promise<string> => {
	const server: Server = createServer(socket => {
		t.teardown(() => socket.destroy());
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => server.close());
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startHost = (t: Test, hostId: string, controls: readonly string[], logger: Logger = silentLogger): ConfigurationClient => {
	const client = createConfigurationClient({
		controls, logger,
		report: () => ({
			hostId, role: 'entry', address: '127.0.0.1:1', revision: client.catalog().revision, requestsInFlight: 0, announcement: null, readyVersionId: null,
			isLeaving: false, transfers: [],
		}),
		onChange: () => undefined,
	});
	t.teardown(() => {
		client.close();
	});
	return client;
};

const create = async (client: ConfigurationClient, id: string): Promise<void> => waitUntil(`model ${id}`, async () => {
	const result = await client.propose({commandId: null, ifRevision: null, change: {type: 'createModel', modelId: modelId(id)}}).catch(() => null);
	return result !== null;
});

// A host's copy of the configuration is corrupted while its revision is right (for
// example by a memory fault). An entry whose copy is right sends a request. The host
// must not serve it: the request is refused as not run and retried elsewhere, and
// the host fetches its configuration again.
t.test('equal revisions with different digests: the request is refused and the copy is repaired', async t => {
	const control = await startControl(t);
	const entry = startHost(t, 'entry', [control]);
	const host = startHost(t, 'host', [control]);
	await create(entry, 'one');
	// The name of the system is a change too, and may arrive last.
	await waitUntil('both have it', () => entry.hasLease() && host.hasLease() && host.catalog().revision === entry.catalog().revision && host.catalog().systemId !== undefined);
	const peers = createPeers(host);
	const {digest} = host.catalog();
	t.equal(await peers.checkRequestHeaders(headersOf(entry), 1000), null);
	host.catalog().digest = 'damaged';
	t.match(await peers.checkRequestHeaders(headersOf(entry), 1000), /different configurations/v);
	t.notOk(host.hasLease(), 'no work until the copy has been fetched again');
	await waitUntil('the copy is right again', () => host.hasLease() && host.catalog().digest === digest);
	t.equal(await peers.checkRequestHeaders(headersOf(entry), 1000), null);
});

// A host's connection to a control host no longer delivers data, so it does not
// receive a change. An entry that has the change sends a request: the host catches
// up through another control host before it serves, within the time that a request
// gate waits.
t.test('a host whose watch has stalled catches up when a request shows that it is behind', async t => {
	const control = await startControl(t);
	const unresponsive = await startUnresponsive(t);
	const hostId = Array.from({length: 100}, (_, index) => `host-${index}`).find(id => rendezvousOrder(id, [unresponsive, control])[0] === unresponsive)!;
	const entry = startHost(t, 'entry', [control]);
	await create(entry, 'one');
	await waitUntil('the entry has it', () => entry.catalog().revision > 0);
	const host = startHost(t, hostId, [unresponsive, control]);
	t.equal(host.catalog().revision, 0);
	t.equal(await createPeers(host).checkRequestHeaders(headersOf(entry), 2000), null);
	t.equal(host.catalog().revision, entry.catalog().revision);
});

// A host's control host is down, and another system's control host starts at the
// same address, with a higher revision. The host must not apply that system's
// configuration, nor be counted as its member, nor submit changes to it: requests
// would be served by a configuration that was never accepted in the host's own
// system. The host resumes when its own control host is back.
t.test('another system at the address of a control host is refused', async t => {
	const folder = t.testdir({own: {}, other: {}});
	const [address] = await freeAddresses(1);
	const own = await startControlAt(address!, path.join(folder, 'own'));
	const events: string[] = [];
	const host = startHost(t, 'host', [address!], {
		...silentLogger, event(id) {
			events.push(id);
		},
	});
	await create(host, 'one');
	await waitUntil('the host has it', () => 'one' in host.catalog().models && host.catalog().systemId !== undefined);
	await own.close();

	const other = await startControlAt(address!, path.join(folder, 'other'));
	const foreignHost = startHost(t, 'stranger', [address!]);
	for (const id of ['two', 'three', 'four']) {
		await create(foreignHost, id);
	}

	await waitUntil('the host was refused', () => events.includes('BP3008'));
	await t.rejects(host.propose({commandId: null, ifRevision: null, change: {type: 'createModel', modelId: modelId('five')}}), /belongs to system/v);
	await waitUntil('its lease has expired', () => !host.hasLease());
	t.strictSame(Object.keys(host.catalog().models), ['one']);
	const {rows} = await foreignHost.query(everyHost);
	t.strictSame(rows.map(row => row.host), ['stranger']);
	await other.close();

	const again = await startControlAt(address!, path.join(folder, 'own'));
	t.teardown(async () => again.close());
	await waitUntil('the host serves its own configuration', () => host.hasLease());
	t.strictSame(Object.keys(host.catalog().models), ['one']);
});

const everyHost: Show = {type: 'show', subject: 'hosts', where: []};

const headersOf = (client: ConfigurationClient): Record<string, string> => Object.fromEntries(Object.entries(createPeers(client).headers()).map(([name, value]) => [name, String(value)]));
