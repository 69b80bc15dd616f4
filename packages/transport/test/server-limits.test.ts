import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	chunkedHeader, encodeChunks, lastChunk, openCrowd, requestHead, type CrowdMember,
} from '@bitternpaddle/test-support';
import {
	createHttpServer, createLimitReporter, readBody, sendJson, silentLogger, type LimitName, type ServerLimits,
} from '@bitternpaddle/transport';

/** Starts a server that reads each body and counts the limits that are met; `/slow` is never answered. */
const startServer = async (t: Test, limits: ServerLimits) => {
	const met: LimitName[] = [];
	const bodies: number[] = [];
	const server = await createHttpServer({
		listen: '127.0.0.1:0', limits,
		async handler(request, response) {
			if (request.url === '/unread') {
				sendJson(response, 404, {});
				return;
			}

			const body = await readBody(request);
			bodies.push(body.length);
			if (request.url !== '/slow') {
				sendJson(response, 200, {size: body.length});
			}
		},
		onLimit(limit) {
			met.push(limit);
		},
	});
	t.teardown(server.destroy);
	return {server, met, bodies};
};

const waitFor = async (isMet: () => boolean): Promise<void> => {
	while (!isMet()) {
		await delay(5);
	}
};

const isAnswered = (member: CrowdMember | undefined): boolean => member!.text().includes('\r\n\r\n') || member!.isClosed();

const post = requestHead('POST', '/', ['host: a', chunkedHeader]);

// Guards against a bound on small parts that keeps out a body that is alone, and against one that bounds nothing.
t.test('bodies in very small parts are bounded in number, and one alone is served', async t => {
	const {server, met, bodies} = await startServer(t, {maxFragmentedBodies: 2});
	const {members: [alone]} = await openCrowd(t, {address: server.address, count: 1, parts: [post, encodeChunks(100_000, 1), lastChunk]});
	await waitFor(() => isAnswered(alone));
	t.match(alone!.text(), /^HTTP\/1\.1 200 /v);
	t.same(met, []);
	const crowd = await openCrowd(t, {address: server.address, count: 6, parts: [post, encodeChunks(100_000, 1)]});
	await waitFor(() => crowd.members.filter(member => isAnswered(member)).length >= 4);
	t.ok(met.every(limit => limit === 'fragmentedBodies' || limit === 'discardedBody'));
	t.ok(crowd.members.filter(member => isAnswered(member)).every(member => /^HTTP\/1\.1 503 [\s\S]*retry-after: 1\r\n/v.test(member.text())));
	t.same(bodies, [100_000]);
});

// Guards against pipelined requests without a bound, and against a bound that a pipelining client meets.
t.test('a connection is closed that has more requests in progress than it may have', async t => {
	const {server, met} = await startServer(t, {maxPipelinedRequests: 10});
	const request = requestHead('GET', '/slow', ['host: a']);
	const [few, many] = await Promise.all([10, 11].map(async count => openCrowd(t, {address: server.address, count: 1, parts: [Buffer.alloc(count * request.length, request)]})));
	await waitFor(() => many!.members[0]!.isClosed());
	t.same(met, ['pipelinedRequests']);
	t.notOk(few!.members[0]!.isClosed());
});

// Guards against a body that is read for as long as it lasts although its request was answered.
t.test('a body that goes on after its request was answered ends its connection', async t => {
	const {server, met} = await startServer(t, {});
	const {members: [member]} = await openCrowd(t, {address: server.address, count: 1, parts: [requestHead('POST', '/unread', ['host: a', chunkedHeader]), encodeChunks(2_000_000, 65_536)]});
	await waitFor(() => member!.isClosed());
	t.match(member!.text(), /^HTTP\/1\.1 404 /v);
	t.same(met, ['discardedBody']);
});

// Guards against a budget that is not given back, so that a crowd that comes again is refused for good.
t.test('nothing is counted any more once a crowd has left', async t => {
	const {server, bodies} = await startServer(t, {maxBufferedBytes: 300_000});
	for (let round = 0; round < 5; round++) {
		const crowd = await openCrowd(t, {address: server.address, count: 10, parts: [post, encodeChunks(200_000, 20_000)]});
		await crowd.settled();
		crowd.close();
	}

	await waitFor(() => server.usage().connections === 0);
	t.same(server.usage(), {connections: 0, requestBytes: 0, unreadBytes: 0});
	const {members: [member]} = await openCrowd(t, {address: server.address, count: 1, parts: [post, encodeChunks(200_000, 20_000), lastChunk]});
	await waitFor(() => isAnswered(member));
	t.same(bodies, [200_000]);
});

// Guards against a large body in progress that keeps out all small ones.
t.test('a small body is served beside a large one that takes nearly all of the memory', async t => {
	const {server, met} = await startServer(t, {maxBufferedBytes: 1_000_000});
	const size = 950_000;
	const large = await openCrowd(t, {address: server.address, count: 1, parts: [requestHead('POST', '/slow', ['host: a', chunkedHeader]), encodeChunks(size, 50_000), lastChunk]});
	await large.settled();
	await waitFor(() => server.usage().requestBytes > size);
	const {members: [small]} = await openCrowd(t, {address: server.address, count: 1, parts: [post, encodeChunks(200, 200), lastChunk]});
	await waitFor(() => isAnswered(small));
	t.match(small!.text(), /^HTTP\/1\.1 200 /v);
	t.same(met, []);
});

// Guards against a crowd that fills the log.
t.test('a limit is counted each time and logged once a second', async t => {
	const lines: unknown[] = [];
	let now = 0;
	let counted = 0;
	const report = createLimitReporter({
		listener: 'callers', nowMs: () => now,
		logger: {
			...silentLogger,
			event(id, fields) {
				lines.push({id, ...fields});
			},
		},
		count() {
			counted++;
		},
	});
	for (now = 0; now < 2000; now += 100) {
		report('connections', '127.0.0.1');
	}

	t.equal(counted, 20);
	t.same(lines, [
		{
			id: 'BP9004', listener: 'callers', limit: 'connections', times: 1, remoteAddress: '127.0.0.1',
		},
		{
			id: 'BP9004', listener: 'callers', limit: 'connections', times: 10, remoteAddress: '127.0.0.1',
		},
	]);
});
