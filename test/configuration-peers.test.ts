import {createServer, type Server, type AddressInfo} from 'node:net';
import {rendezvousOrder} from '@bitternpaddle/coordination';
import {
	createConfigurationClient, createControlNode, createPeers, waitUntil, type ConfigurationClient,
} from '@bitternpaddle/daemon';
import {modelId} from '@bitternpaddle/state';
import {silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';

const startControl = async (t: Test): Promise<string> => {
	const node = await createControlNode({
		selfId: 'c1', folder: t.testdir(), members: new Map(), voters: ['c1'],
	});
	t.teardown(async () => node.close());
	return node.address;
};

/** Accepts connections and never says a word. */
const startSilent = async (t: Test): Promise<string> => {
	const server: Server = createServer(socket => {
		t.teardown(() => socket.destroy());
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => server.close());
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startHost = (t: Test, hostId: string, controls: readonly string[]): ConfigurationClient => {
	const client = createConfigurationClient({
		controls, logger: silentLogger,
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

// A host's copy is wrong under a right revision (a fault in its memory, say). A
// request comes from an entry whose copy is right. The host must not serve it:
// the caller's request is refused as not run and tried elsewhere, and the host
// fetches its configuration anew.
t.test('equal revisions with unequal digests: refused, and healed', async t => {
	const control = await startControl(t);
	const entry = startHost(t, 'entry', [control]);
	const host = startHost(t, 'host', [control]);
	await create(entry, 'one');
	await waitUntil('both hold it', () => entry.hasLease() && host.hasLease() && host.catalog().revision === entry.catalog().revision && host.catalog().revision > 0);
	const peers = createPeers(host);
	const {digest} = host.catalog();
	t.equal(await peers.meet(headersOf(entry), 1000), null);
	host.catalog().digest = 'damaged';
	t.match(await peers.meet(headersOf(entry), 1000), /different configurations/v);
	t.notOk(host.hasLease(), 'no work until the copy is here again');
	await waitUntil('the copy is right again', () => host.hasLease() && host.catalog().digest === digest);
	t.equal(await peers.meet(headersOf(entry), 1000), null);
});

// A host's connection to control has gone silent, so it does not learn of a
// change. An entry that knows it sends a request: the host catches up through
// another control host before it serves, within the time that a door waits.
t.test('a host whose watch is silent catches up when a request shows that it is behind', async t => {
	const control = await startControl(t);
	const silent = await startSilent(t);
	const hostId = Array.from({length: 100}, (_, index) => `host-${index}`).find(id => rendezvousOrder(id, [silent, control])[0] === silent)!;
	const entry = startHost(t, 'entry', [control]);
	await create(entry, 'one');
	await waitUntil('the entry holds it', () => entry.catalog().revision > 0);
	const host = startHost(t, hostId, [silent, control]);
	t.equal(host.catalog().revision, 0);
	t.equal(await createPeers(host).meet(headersOf(entry), 2000), null);
	t.equal(host.catalog().revision, entry.catalog().revision);
});

const headersOf = (client: ConfigurationClient): Record<string, string> => Object.fromEntries(Object.entries(createPeers(client).headers()).map(([name, value]) => [name, String(value)]));
