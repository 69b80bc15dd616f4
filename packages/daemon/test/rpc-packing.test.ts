import {Buffer} from 'node:buffer';
import {gzipSync} from 'node:zlib';
import {
	callRpc, createHttpServer, createRpcServer, readBody, rpcPath, sendHttp,
} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import * as z from 'zod';

const start = async (t: Test) => {
	const lengths: number[] = [];
	const rpc = createRpcServer({bodyLimitBytes: 200_000});
	rpc.method('echo', z.object({text: z.string()}), ({text}) => ({text}));
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			lengths.push(Number(request.headers['content-length']));
			await rpc.serve(request, response);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return {lengths, address: server.address};
};

const routes = JSON.stringify(Array.from({length: 230}, (_, index) => ({
	name: `route-${index}`, prefix: `/p${index}/`, timeoutMs: 6000, objectiveMs: 400, maxAttempts: 2,
})));

t.test('long calls and responses are compressed, short ones are not', async t => {
	const {address, lengths} = await start(t);
	t.same(await callRpc({
		address, method: 'echo', params: {text: routes}, isCompressed: true, timeoutMs: 5000,
	}), {text: routes});
	t.ok(lengths[0]! < routes.length / 5, `${routes.length} characters in ${lengths[0]} bytes`);
	await callRpc({
		address, method: 'echo', params: {text: routes}, timeoutMs: 5000,
	});
	t.ok(lengths[1]! > routes.length, 'without the option, calls and responses are plain text');
	t.same(await callRpc({
		address, method: 'echo', params: {text: 'short'}, isCompressed: true, timeoutMs: 5000,
	}), {text: 'short'});
});

// A client sends a small body that decompresses to far more than the size limit of a
// call. Decompressed completely, it would exhaust the host's memory; it is refused first.
t.test('a body that decompresses to more than the limit is refused', async t => {
	const {address} = await start(t);
	const body = gzipSync(Buffer.alloc(5_000_000, 32));
	const response = await sendHttp({
		address, method: 'POST', path: rpcPath, body, headers: {'content-type': 'application/json', 'content-encoding': 'gzip'}, idleTimeoutMs: 5000,
	});
	await readBody(response);
	t.equal(response.statusCode, 413);
	t.same(await callRpc({
		address, method: 'echo', params: {text: 'after'}, timeoutMs: 5000,
	}), {text: 'after'});
});
