import {createBurnCounter} from '@bitternpaddle/coordination';
import {callRpc, createHttpServer} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createEntryRpc, createRequestLog} from '@bitternpaddle/daemon';

const news = {
	sightings: [{
		fingerprint: 'a.b', address: 'h1', ageMs: 10, stage: 'begun',
	}],
	condemned: [], clearances: [],
};

const listen = async (t: Test) => {
	const heard: unknown[] = [];
	const rpc = createEntryRpc({
		entryId: 'entry-1', tokens: [{role: 'read', token: 'a token'}], counter: createBurnCounter(),
		requests: createRequestLog({entryId: 'entry-1', serviceOf: () => '', onEnd: () => undefined}),
		answerShares() {
			throw new Error('not asked here');
		},
		hearCrashes(told) {
			heard.push(told);
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
	const tell = async (parameters: object): Promise<unknown> => callRpc<unknown>({
		address: server.address, method: 'entry.crashes', params: parameters, timeoutMs: 5000,
	});
	return {heard, tell};
};

// Callers reach this port too: one of them could have any request refused.
t.test('news of crashes are taken from entries only', async t => {
	const {heard, tell} = await listen(t);
	await t.rejects(tell({token: 'a guess', ...news}));
	await t.rejects(tell(news));
	t.same(heard, []);
	await tell({token: 'a token', ...news});
	t.same(heard, [news]);
});

t.test('news that are out of bounds are refused whole', async t => {
	const {heard, tell} = await listen(t);
	const [sighting] = news.sightings;
	await t.rejects(tell({token: 'a token', ...news, sightings: [{...sighting, ageMs: -1}]}));
	await t.rejects(tell({token: 'a token', ...news, sightings: Array.from({length: 300}, () => sighting)}));
	t.same(heard, []);
});
