import {createBurnCounter} from '@bitternpaddle/coordination';
import {callRpc, createHttpServer} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createEntryRpc, createRequestLog} from '@bitternpaddle/daemon';

const update = {
	sightings: [{
		fingerprint: 'a.b', address: 'h1', ageMs: 10, stage: 'begun',
	}],
	condemned: [], clearances: [],
};

const listen = async (t: Test) => {
	const received: unknown[] = [];
	const rpc = createEntryRpc({
		entryId: 'entry-1', tokens: [{role: 'read', token: 'a token'}], counter: createBurnCounter(),
		requests: createRequestLog({entryId: 'entry-1', serviceOf: () => '', onEnd: () => undefined}),
		answerShares() {
			throw new Error('unexpected request for shares');
		},
		receiveCrashUpdate(receivedUpdate) {
			received.push(receivedUpdate);
		},
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			await rpc.serve(request, response);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const send = async (parameters: object): Promise<unknown> => callRpc<unknown>({
		address: server.address, method: 'entry.crashes', params: parameters, timeoutMs: 5000,
	});
	return {received, send};
};

// Callers can reach this port too: without the token check, a caller could get any request refused.
t.test('crash updates are accepted from entries only', async t => {
	const {received, send} = await listen(t);
	await t.rejects(send({token: 'a guess', ...update}));
	await t.rejects(send(update));
	t.same(received, []);
	await send({token: 'a token', ...update});
	t.same(received, [update]);
});

t.test('a crash update with values out of bounds is rejected completely', async t => {
	const {received, send} = await listen(t);
	const [sighting] = update.sightings;
	await t.rejects(send({token: 'a token', ...update, sightings: [{...sighting, ageMs: -1}]}));
	await t.rejects(send({token: 'a token', ...update, sightings: Array.from({length: 300}, () => sighting)}));
	t.same(received, []);
});
