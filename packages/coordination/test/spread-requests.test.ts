import t from 'tap';
import {
	createArrivalRate, arrivalsPerSecond, recordArrival, spreadRequests,
} from '@bitternpaddle/coordination';

t.test('requests are spread so that all engines that receive any reach the same wait', async t => {
	t.same(spreadRequests([0, 10, 100], {count: 3, perRequestMs: 10}), [2, 1, 0]);
	t.same(spreadRequests([50], {count: 2, perRequestMs: 10}), [2]);
	t.same(spreadRequests([0, 0], {count: 1, perRequestMs: 30}), [0.5, 0.5]);
	t.same(spreadRequests([5, 0], {count: 0, perRequestMs: 30}), [0, 0]);
});

t.test('an arrival rate follows recent arrivals and decays', async t => {
	const rate = createArrivalRate();
	t.equal(arrivalsPerSecond(rate, 0), 0);
	for (let atMs = 0; atMs < 20_000; atMs += 50) {
		recordArrival(rate, atMs);
	}

	t.ok(Math.abs(arrivalsPerSecond(rate, 20_000) - 20) < 1, `${arrivalsPerSecond(rate, 20_000)} per second, expected 20`);
	t.ok(arrivalsPerSecond(rate, 40_000) < 0.01);
});
