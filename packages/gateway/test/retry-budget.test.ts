import t from 'tap';
import {createRetryBudget} from '@bitternpaddle/gateway';

type Call = {readonly address: string; readonly count: number};

const create = (granted: Record<string, number | Error>) => {
	const calls: Call[] = [];
	const state = {nowMs: 0, grantTakesMs: 0};
	const budget = createRetryBudget({
		terms: {share: 0.2, windowMs: 10_000}, startId: 'a', coreAddresses: () => Object.keys(granted), nowMs: () => state.nowMs,
		async requestGrant(address, _serviceName, count) {
			calls.push({address, count});
			state.nowMs += state.grantTakesMs;
			const left = granted[address]!;
			if (typeof left !== 'number') {
				throw left;
			}

			const grantedCount = Math.min(left, count);
			granted[address] = left - grantedCount;
			return {grantedCount, retryAfterMs: grantedCount < count ? 500 : 0};
		},
	});
	const takeAll = async (count: number): Promise<Array<string | null>> => {
		const charges = await Promise.all(Array.from({length: count}, async () => budget.take('s')));
		return charges.map(charge => charge?.source ?? null);
	};

	return {
		budget, calls, state, granted, takeAll,
	};
};

t.test('an entry spends what its own requests have earned before it asks a core host', async t => {
	const {budget, calls, takeAll} = create({c1: 5});
	for (let index = 0; index < 20; index++) {
		budget.recordRequest('s');
	}

	t.same(await takeAll(3), ['own', 'own', 'pool']);
	t.same(calls, [{address: 'c1', count: 1}]);
});

t.test('an entry that reaches no core host does not spend the shared reserve', async t => {
	const {budget, takeAll} = create({});
	t.same(await takeAll(2), [null, null]);
	for (let index = 0; index < 10; index++) {
		budget.recordRequest('s');
	}

	t.same(await takeAll(2), ['own', null]);
});

t.test('what one core host does not grant is requested from the next one, and not again from the first', async t => {
	const {calls, state, granted, takeAll} = create({c1: 1, c2: new Error('timeout'), c3: 2});
	t.same(await takeAll(5), ['pool', 'pool', 'pool', null, null]);
	t.same(calls.map(({address}) => address), ['c1', 'c1', 'c2', 'c3']);
	granted.c1 = 1;
	t.same(await takeAll(1), [null], 'it was exhausted a moment ago');
	state.nowMs = 600;
	t.same(await takeAll(1), ['pool']);
});

t.test('a charge that was not used in time does not allow an attempt', async t => {
	const {budget, state} = create({c1: 1});
	const charge = await budget.take('s');
	t.ok(budget.isValid(charge!));
	state.nowMs = 501;
	t.notOk(budget.isValid(charge!));
});

t.test('requests are reported by service, and forgotten with it', async t => {
	const {budget} = create({});
	budget.recordRequest('s');
	budget.recordRequest('s');
	budget.recordRequest('other');
	t.same(budget.requestReport(), {startId: 'a', counts: {s: 2, other: 1}});
	budget.retainOnly(['s']);
	t.same(budget.requestReport().counts, {s: 2});
});

t.test('a grant that arrives after a suspension of the entry is not used', async t => {
	const {budget, state} = create({c1: 1});
	state.grantTakesMs = 4000;
	const charge = await budget.take('s');
	t.notOk(budget.isValid(charge!));
});
