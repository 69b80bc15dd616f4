import {spawn} from 'node:child_process';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import t, {type Test} from 'tap';
import {
	addBurnAnswer, buildBurnReport, countSample, createBurnCounter, createBurnMerge, exportCounts, type BurnReport,
} from '@bitternpaddle/coordination';
import {createEntryPeers, renderBurnText} from '@bitternpaddle/daemon';
import type {BurnAnswer, QueryResult} from '@bitternpaddle/protocol';
import {createHttpServer, createRpcServer} from '@bitternpaddle/transport';
import * as z from 'zod';

const nowMs = Date.UTC(2026, 5, 4, 12, 0, 30);
const entryCount = 330;

type Sample = {readonly atMs: number; readonly isComplete?: boolean};

const answerOf = (entryId: string, samples: readonly Sample[]): BurnAnswer => {
	const counter = createBurnCounter();
	for (const {atMs, isComplete = true} of samples) {
		countSample(counter, {
			serviceId: 'bp-writers', teamId: 'marshals', atMs, isComplete, firstTokenMs: 100, firstTokenBoundMs: 1000,
		});
	}

	return {entryId, ...exportCounts(counter, nowMs)};
};

const answers = Array.from({length: entryCount}, (_, index) => answerOf(`entry-${index}`, [
	{atMs: nowMs - (60_000 * (index % 50))}, {atMs: nowMs - (60_000 * (index % 50)), isComplete: index % 10 > 0}, {atMs: nowMs - (3_600_000 * (index % 70))},
]));

const totalsOf = (report: BurnReport) => report.rows[0]!.answeredWhole.rates.map(({window, bad, total}) => [window, bad, total]);

const serve = async (t: Test, answer: BurnAnswer): Promise<string> => {
	const rpc = createRpcServer();
	rpc.method('entry.burn', z.object({token: z.string(), nowMs: z.number()}), () => answer);
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			await rpc.serve(request, response);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return server.address;
};

const serveRaw = async (t: Test, handler: http.RequestListener): Promise<string> => {
	const server = http.createServer(handler);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const entryProgram = `
	import {createHttpServer, createRpcServer} from '@bitternpaddle/transport';
	import * as z from 'zod';
	const [answer, stallMs] = JSON.parse(process.argv[1]);
	const rpc = createRpcServer();
	rpc.method('entry.burn', z.object({token: z.string(), nowMs: z.number()}), () => {
		process.kill(process.ppid, 'SIGSTOP');
		setTimeout(() => process.kill(process.ppid, 'SIGCONT'), stallMs);
		return answer;
	});
	const server = await createHttpServer({listen: '127.0.0.1:0', handler: async (request, response) => rpc.serve(request, response)});
	console.log(server.address);
`;

/** Serves the answer from another process, which suspends this one for `stallMs` before it answers. */
const serveWithStall = async (t: Test, answer: BurnAnswer, stallMs: number): Promise<string> => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', entryProgram, JSON.stringify([answer, stallMs])], {stdio: ['ignore', 'pipe', 'inherit']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	return new Promise(resolve => {
		child.stdout.once('data', (data: Uint8Array) => {
			resolve(new TextDecoder().decode(data).trim());
		});
	});
};

const peersOf = (addresses: ReadonlyMap<string, string>, options: Parameters<typeof createEntryPeers>[1] = {}) => createEntryPeers({
	query: async (): Promise<QueryResult> => ({revision: 1, rows: [...addresses].map(([host, address]) => ({host, address}))}),
}, options);

const collect = async (peers: ReturnType<typeof createEntryPeers>): Promise<BurnReport> => {
	const received: BurnAnswer[] = [];
	const missingEntries = await peers.burn('token', nowMs, async answer => {
		received.push(answer);
	});
	return buildBurnReport({
		nowMs, answers: received, missingEntries, objectives: new Map(),
	});
};

// 330 entries on loopback. During the report two are down, one never responds, one
// sends a byte at a time forever, one closes the connection, one sends an invalid
// response. The report counts all that responded and names the others: it neither
// fails nor omits an entry silently.
t.test('a report over 330 entries of which some are lost', {timeout: 120_000}, async t => {
	const addresses = new Map<string, string>();
	for (const answer of answers) {
		addresses.set(answer.entryId, await serve(t, answer));
	}

	const closedServer = await createHttpServer({listen: '127.0.0.1:0', handler: async () => undefined});
	closedServer.destroy();
	addresses.set('entry-7', closedServer.address);
	addresses.set('entry-8', closedServer.address);
	addresses.set('entry-100', await serveRaw(t, () => undefined));
	addresses.set('entry-101', await serveRaw(t, (_request, response) => {
		response.writeHead(200);
		const timer = setInterval(() => {
			response.write(' ');
		}, 50);
		response.once('close', () => {
			clearInterval(timer);
		});
	}));
	addresses.set('entry-102', await serveRaw(t, (_request, response) => {
		response.writeHead(200, {'content-length': 1000});
		response.write('{');
		setTimeout(() => {
			response.destroy();
		}, 50);
	}));
	addresses.set('entry-103', await serveRaw(t, (_request, response) => {
		response.end('{"jsonrpc":"2.0","id":1,"result":{"entryId":"entry-103","series":7}}');
	}));
	const lost = [7, 8, 100, 101, 102, 103];
	const report = await collect(peersOf(addresses, {silentMs: 1500, answerTimeoutMs: 2500, totalTimeoutMs: 110_000}));
	t.same(report.missingEntries, lost.map(index => `entry-${index}`).toSorted());
	t.equal(report.heardEntries.length, entryCount - lost.length);
	const expected = buildBurnReport({
		nowMs, answers: answers.filter((_, index) => !lost.includes(index)), missingEntries: [], objectives: new Map(),
	});
	t.same(totalsOf(report), totalsOf(expected));
	t.equal(totalsOf(report)[3]![2], 3 * (entryCount - lost.length), 'every request of the others is counted once');
	t.match(renderBurnText(report), /NOT HEARD, so not counted: entry-100, entry-101, /v);
});

// All entries are slow. The operator's program times out after 30 s; the report
// ends before that with the counts that it has, and names the entries without a response.
t.test('a report ends in time and names the entries that it did not reach', async t => {
	const silent = await serveRaw(t, () => undefined);
	const addresses = new Map(Array.from({length: 60}, (_, index) => [`entry-${index}`, silent]));
	addresses.set('entry-0', await serve(t, answers[0]!));
	const report = await collect(peersOf(addresses, {
		silentMs: 60_000, answerTimeoutMs: 60_000, totalTimeoutMs: 500, concurrency: 4,
	}));
	t.same(report.heardEntries, ['entry-0']);
	t.equal(report.missingEntries.length, 59);
});

// Guards against discarding an answer that arrived while the collecting process did not run.
t.test('a report counts an entry that answered during a stall of this process', async t => {
	const address = await serveWithStall(t, answers[0]!, 700);
	const report = await collect(peersOf(new Map([['entry-0', address]]), {totalTimeoutMs: 500}));
	t.same(report.heardEntries, ['entry-0']);
});

// The responses of hundreds of entries must not be in memory at the same time: the
// next entry's counts are requested only after a response has been processed.
t.test('no more responses are held than the concurrency limit allows', async t => {
	const addresses = new Map<string, string>();
	for (const answer of answers.slice(0, 40)) {
		addresses.set(answer.entryId, await serve(t, answer));
	}

	let held = 0;
	let maxHeld = 0;
	await peersOf(addresses, {concurrency: 4}).burn('token', nowMs, async () => {
		held++;
		maxHeld = Math.max(maxHeld, held);
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		held--;
	});
	t.ok(maxHeld <= 4, `${maxHeld} at the same time`);
});

// The clocks of entries differ by seconds, around the start of a minute, of ten
// minutes and of an hour. No request is lost or counted twice; one may be counted in
// the adjacent bucket, which only shows at the edge of a window.
t.test('clocks that differ by seconds', async t => {
	const offsetsMs = [-7000, -1000, 0, 1000, 7000];
	const boundaryMs = Date.UTC(2026, 5, 4, 12);
	for (const requestedAtMs of [boundaryMs + 500, boundaryMs + 30_000, boundaryMs - 500]) {
		const skewed = offsetsMs.map((offsetMs, index) => {
			const counter = createBurnCounter();
			for (let second = 240; second >= 1; second--) {
				countSample(counter, {
					serviceId: 's', teamId: 't', atMs: requestedAtMs - (1000 * second) + offsetMs, isComplete: second % 10 > 0, firstTokenMs: 100, firstTokenBoundMs: 1000,
				});
			}

			return {entryId: `e${index}`, ...exportCounts(counter, requestedAtMs)};
		});
		const {rows: [row]} = buildBurnReport({
			nowMs: requestedAtMs, answers: skewed, missingEntries: [], objectives: new Map(),
		});
		for (const {window, bad, total} of row!.answeredWhole.rates) {
			const lostAtEdge = window === '5m' ? offsetsMs.reduce((sum, offsetMs) => sum + Math.max(0, -offsetMs / 1000), 0) : 0;
			t.ok(total <= 1200 && total >= 1200 - lostAtEdge, `${window}: ${total}`);
			t.ok(bad <= 120 && bad >= 120 - lostAtEdge, `${window}: ${bad} bad`);
		}

		t.equal(row!.points.reduce((sum, {counts}) => sum + counts.total, 0), 1200, 'the plots show each request once');
	}
});

t.test('a merge grows with services and teams and not with entries', async t => {
	const merge = createBurnMerge();
	for (const answer of answers) {
		for (const _step of addBurnAnswer(merge, answer)) {
			// No other work has to run between the steps.
		}
	}

	t.equal(merge.entryIds.length, entryCount);
	const service = merge.services.get('bp-writers')!;
	t.equal(merge.services.size, 1);
	t.equal(service.teams.size, 1);
	t.ok(service.teams.get('marshals')!.minutes.size <= 60);
	t.ok(service.hours.size <= 72);
});
