import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseAddress} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createLinks, createNodeHandle, type NodeHandle} from '@bitternpaddle/daemon';

type Echo = {readonly address: string; readonly server: net.Server};

const stopMs = 60;

const createHandle = async (t: Test): Promise<{handle: NodeHandle<Echo>; isReachable(): Promise<boolean>; started: Echo[]}> => {
	const links = createLinks();
	const linkAddress = await links.addressOf('peer', 'node');
	const started: Echo[] = [];
	const close = async ({server}: Echo): Promise<void> => {
		server.close();
	};

	const handle = await createNodeHandle<Echo>({
		nodeId: 'node', links,
		async start() {
			const server = net.createServer(socket => {
				socket.end('here');
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			await delay(10);
			const echo = {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
			started.push(echo);
			return echo;
		},
		async stop(echo) {
			await delay(stopMs);
			await close(echo);
		},
		kill: close,
	});
	t.teardown(async () => {
		await handle.kill();
		links.close();
	});
	const isReachable = async (): Promise<boolean> => new Promise(resolve => {
		const socket = net.connect(parseAddress(linkAddress));
		socket.once('data', () => {
			resolve(true);
		});
		socket.once('close', () => {
			resolve(false);
		});
		socket.on('error', () => undefined);
	});
	return {handle, isReachable, started};
};

// A host loses power in the middle of a planned stop and is started again before
// that stop would have ended. If the late termination of the old process takes
// down the links of the new one, the node stays unreachable to all callers.
t.test('a node that lost power during a stop is reachable once it is started', async t => {
	const {handle, isReachable} = await createHandle(t);
	t.ok(await isReachable());
	const stopping = handle.stop();
	await handle.lose();
	await handle.start();
	await stopping;
	t.ok(await isReachable());
});

t.test('a start during a stop waits until the node has stopped', async t => {
	const {handle, isReachable} = await createHandle(t);
	const stopping = handle.stop();
	await handle.start();
	await stopping;
	t.ok(await isReachable());
});

t.test('concurrent starts create one node', async t => {
	const {handle, started} = await createHandle(t);
	await handle.kill();
	await Promise.all([handle.start(), handle.start()]);
	t.equal(started.length, 2, 'the initial node and one more');
});
