import fc from 'fast-check';
import t, {type Test} from 'tap';
import {
	createDevCluster, sendLine, waitUntil, type DevCluster,
} from '@bitternpaddle/daemon';
import {completeLine, parseStatement} from '@bitternpaddle/protocol';
import {
	canonicalJson, createManifest, manifestIdOf, parseManifest,
} from '@bitternpaddle/state';
import {createHttpServer, readBody, sendJson} from '@bitternpaddle/transport';
import {rawPost, sendRaw} from './support/raw-http.js';

const seed = 20_260_604;
const teamKey = 'marshals-key';

let cluster: DevCluster;
t.before(async () => {
	cluster = await createDevCluster({engines: 1, entries: 1, controls: 1});
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	await waitUntil('a team', async () => (await sendLine({...client, line: `create team marshals key ${teamKey}`})).status === 200);
	await waitUntil('all hosts', async () => {
		const [row] = (await sendLine({...client, line: 'show revision'})).body.rows ?? [];
		return row?.hosts === 3 && row.missing === '';
	});
});
t.teardown(async () => cluster.close());

const servers = (): Array<[string, string]> => [
	['entry', cluster.entries[0]!.address], ['agent', cluster.agents[0]!.address], ['control', cluster.controls[0]!.address],
];

const assertAlive = async (t: Test, name: string, address: string): Promise<void> => {
	t.match(await sendRaw(address, ['GET /readyz HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n']), {status: 200}, `${name} is still serving`);
};

// The data received is not HTTP, or exceeds a limit. The sender gets an error in
// the usual format, its connection is closed, and the next one is served.
t.test('malformed HTTP', async t => {
	const heads: Array<[string, string, number, RegExp]> = [
		['no HTTP', 'hello\r\n\r\n', 400, /this is not an HTTP request/v],
		['a bad version', 'GET / HTTP/9.9\r\n\r\n', 400, /this is not an HTTP request/v],
		['a bad header', 'GET / HTTP/1.1\r\nhost test\r\n\r\n', 400, /this is not an HTTP request/v],
		['two lengths', 'POST /rpc HTTP/1.1\r\nhost: test\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx', 400, /this is not an HTTP request/v],
		['a length and chunks', 'POST /rpc HTTP/1.1\r\nhost: test\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', 400, /this is not an HTTP request/v],
		['a large head', `GET / HTTP/1.1\r\nhost: test\r\nx-large: ${'a'.repeat(20_000)}\r\n\r\n`, 431, /the head of the request is larger than 16384 bytes/v],
		['an unknown path', 'GET /nothing/here HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n', 404, /GET \/nothing\/here/v],
	];
	for (const [name, address] of servers()) {
		for (const [what, head, status, message] of heads) {
			const answer = await sendRaw(address, [head]);
			t.equal(answer.status, status, `${name}: ${what}`);
			t.match((JSON.parse(answer.body) as {error: {message: string}}).error.message, message, `${name}: ${what}`);
		}

		await assertAlive(t, name, address);
	}
});

t.test('malformed and oversized bodies', async t => {
	const entry = cluster.entries[0]!.address;
	const agent = cluster.agents[0]!.address;
	const control = cluster.controls[0]!.address;
	const token = cluster.adminToken;
	const large = JSON.stringify({line: 'x'.repeat(2_000_000)});
	const cases: Array<[string, string, string, number, RegExp]> = [
		['entry, chat, no JSON', entry, rawPost({path: '/v1/chat/completions', body: '{"model":', token: teamKey}), 400, /the body is not JSON/v],
		['entry, chat, no model', entry, rawPost({path: '/v1/chat/completions', body: '{}', token: teamKey}), 400, /model/v],
		['entry, chat, too large', entry, rawPost({path: '/v1/chat/completions', body: large, token: teamKey}), 413, /larger than 1048576 bytes/v],
		['entry, chat, wrong key', entry, rawPost({path: '/v1/chat/completions', body: '{}', token: 'none'}), 401, /no team has this key/v],
		['entry, admin, no JSON', entry, rawPost({path: '/admin/v1/commands', body: 'show hosts', token}), 400, /the body is not JSON/v],
		['entry, admin, wrong fields', entry, rawPost({path: '/admin/v1/commands', body: '{"lines":"show hosts"}', token}), 400, /line/v],
		['entry, admin, too large', entry, rawPost({path: '/admin/v1/commands', body: large, token}), 413, /larger than 16384 bytes/v],
		['entry, admin, wrong token', entry, rawPost({path: '/admin/v1/commands', body: '{}', token: 'wrong'}), 401, /an administration token is needed/v],
		['entry, rpc, too large', entry, rawPost({path: '/rpc', body: large}), 413, /larger than 16384 bytes/v],
		['agent, door, no request id', agent, rawPost({path: '/door/v1/completions', body: '{}'}), 503, /lacks its attempt/v],
		['agent, a chunk that is none', agent, 'GET /chunks/sha256:0/..%2f..%2fetc HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n', 404, /is not held/v],
	];
	for (const [what, address, request, status, message] of cases) {
		const answer = await sendRaw(address, [request]);
		t.equal(answer.status, status, what);
		t.match(answer.body, message, what);
	}

	const rpcCases: Array<[string, string, RegExp]> = [
		['no JSON', '{"jsonrpc":', /"code":-32700/v],
		['no call', '{"hello":1}', /"code":-32600/v],
		['an unknown method', '{"jsonrpc":"2.0","id":1,"method":"none"}', /"code":-32601/v],
	];
	for (const [name, address] of servers()) {
		for (const [what, body, message] of rpcCases) {
			t.match((await sendRaw(address, [rawPost({path: '/rpc', body})])).body, message, `${name}, rpc, ${what}`);
		}
	}

	for (const method of ['control.propose', 'control.watch', 'control.query', 'control.fold']) {
		const answer = await sendRaw(control, [rawPost({
			path: '/rpc', body: JSON.stringify({
				jsonrpc: '2.0', id: 1, method, params: {command: 7},
			}),
		})]);
		t.match(answer.body, /"code":1003/v, `control, ${method}, wrong parameters`);
	}
});

// A sender that trickles its headers or its body would occupy a connection forever.
// It gets a timeout error, and its connection is closed.
t.test('slow senders', async t => {
	const server = await createHttpServer({
		listen: '127.0.0.1:0', limits: {headersTimeoutMs: 200, requestTimeoutMs: 400},
		async handler(request, response) {
			await readBody(request, 1000);
			sendJson(response, 200, {});
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	t.match(await sendRaw(server.address, ['GET / HTTP/1.1\r\nhost:'], 10_000), {status: 408, body: /did not arrive in time/v}, 'the head');
	t.match(await sendRaw(server.address, ['POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 100\r\n\r\nabc'], 10_000), {status: 408, body: /did not arrive in time/v}, 'the body');
	const chunked = 'POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
	t.match(await sendRaw(server.address, [chunked, '7d0\r\n', 'a'.repeat(2000), '\r\n']), {status: 413}, 'chunks without end');
});

// A caller sends a complete request followed by invalid data. The error must not
// be written into the response that is being sent: the caller sees the connection
// close, never a corrupted response.
t.test('invalid data after a request does not corrupt its response', async t => {
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			await readBody(request);
			response.writeHead(200, {'content-type': 'text/plain'});
			response.write('first half,');
			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
			response.end('second half');
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const answer = await sendRaw(server.address, ['GET / HTTP/1.1\r\nhost: test\r\n\r\n', 'rubbish\r\n\r\n']);
	t.notMatch(answer.text, /not an HTTP request/v);
});

t.test(`random input, seed ${seed}`, {timeout: 100_000}, async t => {
	await fc.assert(fc.asyncProperty(fc.nat(2), fc.uint8Array({minLength: 1, maxLength: 400}), async (which, bytes) => {
		const [, address] = servers()[which]!;
		const {status} = await sendRaw(address, [bytes, '\r\n\r\n'], 500);
		return status === null || (status >= 400 && status < 500);
	}), {seed, numRuns: 60});
	await fc.assert(fc.asyncProperty(fc.constantFrom('/admin/v1/commands', '/v1/chat/completions', '/v1/completions', '/services/ledger/x', '/rpc'), fc.json(), async (path, body) => {
		const {status} = await sendRaw(cluster.entries[0]!.address, [rawPost({path, body, token: path.startsWith('/admin') ? cluster.adminToken : teamKey})], 5000);
		return status !== null && (status < 500 || status === 503);
	}), {seed, numRuns: 150});
	await fc.assert(fc.asyncProperty(fc.constantFrom('consensus.message', 'control.watch', 'control.fold', 'control.propose', 'control.query'), fc.jsonValue(), async (method, parameters) => {
		const {status, body} = await sendRaw(cluster.controls[0]!.address, [rawPost({
			path: '/rpc', body: JSON.stringify({
				jsonrpc: '2.0', id: 1, method, params: parameters,
			}),
		})], 5000);
		return status === 200 && 'error' in (JSON.parse(body) as object);
	}), {seed, numRuns: 150});
	for (const [name, address] of servers()) {
		await assertAlive(t, name, address);
	}

	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	t.same((await sendLine({...client, line: 'show teams'})).body.rows?.map(({team}) => team), ['marshals'], 'no team was lost or created');
});

t.test(`random manifests, seed ${seed}`, async t => {
	const manifest = await createManifest([new Uint8Array(1000).fill(7)], {chunkSizeBytes: 300});
	const id = manifestIdOf(manifest);
	const bytes = new TextEncoder().encode(canonicalJson(manifest));
	t.ok(parseManifest(new TextDecoder().decode(bytes), id).isRight());
	fc.assert(fc.property(fc.oneof(fc.json(), fc.string()), text => parseManifest(text, id).isLeft()), {seed, numRuns: 500});
	fc.assert(fc.property(fc.nat(bytes.length - 1), fc.integer({min: 1, max: 255}), (position, flip) => {
		const changed = Uint8Array.from(bytes);
		changed[position] = (changed[position]! + flip) % 256;
		return parseManifest(new TextDecoder().decode(changed), id).isLeft();
	}), {seed, numRuns: 2000});
	t.pass('no other text is accepted as the manifest');
});

t.test(`random lines of the language, seed ${seed}`, async t => {
	const words = fc.constantFrom('create', 'show', 'where', 'hosts', 'fleet', 'move', '20%', 'of', '=', '<', 'host', 'h1', 'a:b', ',', 'in', '1e9', '%', '__proto__', 'constructor', '\u0001', '🦆');
	const line = fc.oneof(fc.string({maxLength: 200}), fc.array(words, {maxLength: 12}).map(parts => parts.join(' ')));
	fc.assert(fc.property(line, text => {
		parseStatement(text);
		completeLine(text);
	}), {seed, numRuns: 3000});
	t.pass('neither the parser nor the completion throws');
});
