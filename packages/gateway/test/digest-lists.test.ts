import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {TransferPeer} from '@bitternpaddle/daemon/transfer';
import {createHttpServer, sendJson} from '@bitternpaddle/transport';
import {
	chunkOf, createWeightAgent, digestsOf, goalOf, untilComplete, type WeightAgent,
} from './support/weight-agents.js';
import type {OriginClient} from '@bitternpaddle/gateway';

const version = 2;
const chunks = 6;
const chunkBytes = 2048;
const goal = goalOf({version, chunks, chunkBytes});
const listed = digestsOf(version, chunks, chunkBytes);
const staged: ReadonlyMap<number, Buffer> = new Map(Array.from({length: chunks}, (_, chunk) => [chunk, chunkOf(version, chunk, chunkBytes)]));
const linkBytesPerSecond = 10_000_000;

/** The list with a digest of 64 hexadecimal digits that is not the one of the chunk. */
const withWrongDigest = (chunk: number): string[] => listed.with(chunk, '0'.repeat(64));

/** An origin that sends `lists` one after the other and then the last one; `requests` counts them. */
const createOrigin = (...lists: ReadonlyArray<readonly string[]>): {requests: number; readonly client: OriginClient} => {
	const origin: {requests: number; readonly client: OriginClient} = {
		requests: 0,
		client: {
			async digests() {
				origin.requests++;
				return lists[Math.min(origin.requests, lists.length) - 1]!;
			},
			chunk: async (_, {chunk}) => chunkOf(version, chunk, chunkBytes),
		},
	};
	return origin;
};

const createAgent = async (t: Test, options: {readonly origin: OriginClient; readonly peers?: readonly TransferPeer[]; readonly staged?: ReadonlyMap<number, Buffer>}): Promise<WeightAgent> => {
	const agent = await createWeightAgent({linkBytesPerSecond, peers: [], ...options});
	t.teardown(() => {
		agent.close();
	});
	return agent;
};

const reasonsOf = ({events}: WeightAgent): unknown[] => events.filter(({id}) => id === 'BP4037').map(({fields}) => fields.reason);

const openWhenAvailable = async ({exchange}: WeightAgent) => {
	for (;;) {
		const opened = await exchange.open(goal);
		if (opened !== null) {
			return opened;
		}

		await delay(10);
	}
};

// The list was used as it came. With a short one, partial weights counted as complete and
// were loaded.
for (const {name, list, reason} of [
	{name: 'is short', list: listed.slice(0, 4), reason: 'the list has 4 digests for 6 chunks'},
	{name: 'is long', list: [...listed, listed[0]!], reason: 'the list has 7 digests for 6 chunks'},
	{name: 'is empty', list: [], reason: 'the list has 0 digests for 6 chunks'},
	{name: 'has a truncated digest', list: listed.with(3, listed[3]!.slice(1)), reason: 'the digest of chunk 3 is not 64 hexadecimal digits'},
	{name: 'has a digest with other characters', list: listed.with(5, listed[5]!.replace(/^./v, 'g')), reason: 'the digest of chunk 5 is not 64 hexadecimal digits'},
]) {
	t.test(`a list of the origin that ${name} is requested again`, async t => {
		const agent = await createAgent(t, {origin: createOrigin(list, listed).client});
		t.equal(await agent.exchange.open(goal), null);
		t.same(reasonsOf(agent), [reason]);
		const opened = await openWhenAvailable(agent);
		await untilComplete(agent);
		t.equal(opened.heldChunks().length, chunks);
		t.same(agent.staged, staged);
	});
}

t.test('digests in upper case are those of the chunks', async t => {
	const agent = await createAgent(t, {origin: createOrigin(listed.map(digest => digest.toUpperCase())).client});
	await agent.exchange.open(goal);
	await untilComplete(agent);
	t.same(agent.exchange.digests('m', version), listed);
});

// All agents together would fill the origin's link with lists.
t.test('an origin whose lists stay unusable is asked at increasing intervals', async t => {
	const origin = createOrigin(listed.slice(1));
	const agent = await createAgent(t, {origin: origin.client});
	for (let call = 0; call < 60; call++) {
		t.equal(await agent.exchange.open(goal), null);
		await delay(10);
	}

	t.ok(origin.requests >= 2 && origin.requests <= 6, `${origin.requests} requests`);
});

// Guards against a longer wait for an origin that is back after it was lost.
t.test('an origin that does not answer is asked each time', async t => {
	let requests = 0;
	const agent = await createAgent(t, {
		origin: {
			...createOrigin(listed).client,
			async digests() {
				requests++;
				throw new Error('no answer');
			},
		},
	});
	for (let call = 0; call < 8; call++) {
		t.equal(await agent.exchange.open(goal), null);
	}

	t.equal(requests, 8);
	t.equal(reasonsOf(agent).length, 8);
});

t.test('a list of a peer that is short is not used either', async t => {
	const origin: OriginClient = {...createOrigin().client, digests: async () => null};
	const short = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			request.resume();
			sendJson(response, 200, listed.slice(0, 4));
		},
	});
	t.teardown(() => {
		short.destroy();
	});
	const holder = await createAgent(t, {origin: createOrigin(listed).client, staged});
	await holder.exchange.open(goal);
	const agent = await createAgent(t, {
		origin, peers: [{
			hostId: 's', address: short.address, zoneId: 'z', regionId: 'r',
		}, holder.peer],
	});
	const opened = await agent.exchange.open(goal);
	t.same(opened?.manifest.chunkDigests.length, chunks);
	t.same(reasonsOf(agent), ['the list has 4 digests for 6 chunks']);
});

// One digest of the list was damaged and still has 64 hexadecimal digits. The version
// could never be completed on this host.
t.test('a wrong digest is found by a chunk that does not match it', async t => {
	const origin = createOrigin(withWrongDigest(4), listed);
	const agent = await createAgent(t, {origin: origin.client});
	const opened = await agent.exchange.open(goal);
	await untilComplete(agent);
	t.ok(opened?.isComplete(), 'the weights that were opened first are complete');
	t.same(agent.staged, staged);
	t.same(agent.exchange.digests('m', version), listed, 'peers get the corrected list');
	t.equal(origin.requests, 2);
});

// The digests identify a version among agents, so the peers of a host with a wrong one
// did not exchange chunks with it.
t.test('a wrong digest is found by the silence of the peers', async t => {
	const peers: TransferPeer[] = [];
	const holder = await createAgent(t, {origin: createOrigin(listed).client, staged, peers});
	const origin: OriginClient = {
		...createOrigin(withWrongDigest(4), listed).client,
		async chunk() {
			throw new Error('the origin is lost');
		},
	};
	const agent = await createAgent(t, {origin, peers});
	peers.push(holder.peer, agent.peer);
	await holder.exchange.open(goal);
	await agent.exchange.open(goal);
	await untilComplete(agent);
	t.same(agent.staged, staged);
});

// A list that is requested again may be damaged as well. The third one is wrong only for a
// chunk that is held by then.
t.test('bytes that match their digest keep it, and wrong digests of several lists are corrected', async t => {
	const origin = createOrigin(withWrongDigest(4), withWrongDigest(0), withWrongDigest(4), withWrongDigest(5), listed);
	const agent = await createAgent(t, {origin: origin.client});
	await agent.exchange.open(goal);
	await untilComplete(agent);
	t.same(agent.staged, staged);
	t.ok(origin.requests <= 3, `${origin.requests} requests`);
});

// Guards against a list request for each damaged chunk.
t.test('damaged chunks do not replace the right list and cause few requests for it', async t => {
	const origin = createOrigin(listed);
	let damaged = 0;
	const agent = await createAgent(t, {
		origin: {
			...origin.client,
			async chunk(_, {chunk}) {
				if (chunk === 4 && damaged < 3) {
					damaged++;
					return Buffer.alloc(chunkBytes, 9);
				}

				return chunkOf(version, chunk, chunkBytes);
			},
		},
	});
	await agent.exchange.open(goal);
	await untilComplete(agent);
	t.same(agent.staged, staged);
	t.equal(damaged, 3);
	t.ok(origin.requests <= 3, `${origin.requests} requests`);
	t.same(reasonsOf(agent), []);
});

// Guards against further requests while an exchange makes progress, however long it takes.
t.test('an exchange that takes seconds requests one list for each agent', async t => {
	const origin = createOrigin(digestsOf(version, 48, chunkBytes));
	const peers: TransferPeer[] = [];
	const agents: WeightAgent[] = [];
	for (let index = 0; index < 4; index++) {
		const agent = await createWeightAgent({origin: origin.client, linkBytesPerSecond: 30_000, peers});
		t.teardown(() => {
			agent.close();
		});
		peers.push(agent.peer);
		agents.push(agent);
	}

	await Promise.all(agents.map(async ({exchange}) => exchange.open(goalOf({version, chunks: 48, chunkBytes}))));
	await Promise.all(agents.map(async agent => untilComplete(agent)));
	t.equal(origin.requests, 4);
});
