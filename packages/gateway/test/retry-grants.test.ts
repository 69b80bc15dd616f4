import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createGatewayMetrics, createRetryGrants, type RetryGrants} from '@bitternpaddle/gateway';

const terms = {share: 0.2, reserve: 30, windowMs: 10_000};

const create = (isFirstStart: boolean) => {
	const state = {nowMs: 0, freshAgeMs: 0, voterCount: 3 as number | null};
	const grants: RetryGrants = createRetryGrants({
		terms, isFirstStart, voterView: () => state, logger: silentLogger, metrics: createGatewayMetrics(), nowMs: () => state.nowMs,
	});
	return {state, grants};
};

t.test('a core host grants its part of the reserve once in a window', async t => {
	const {state, grants} = create(true);
	t.equal(grants.grant('s', 8).grantedCount, 8);
	t.same(grants.grant('s', 8), {grantedCount: 2, retryAfterMs: 500});
	t.equal(grants.grant('other', 8).grantedCount, 8, 'each service has its own');
	state.nowMs = 10_000;
	t.equal(grants.grant('s', 1).grantedCount, 0, 'what was granted may be sent a little later');
	state.nowMs = 12_000;
	t.equal(grants.grant('s', 20).grantedCount, 10);
});

t.test('a core host that starts again grants nothing until its earlier grants have expired', async t => {
	const {state, grants} = create(false);
	for (; state.nowMs < 11_000; state.nowMs += 500) {
		grants.tick();
		t.equal(grants.grant('s', 1).grantedCount, 0, `${state.nowMs} ms after the start`);
	}

	state.nowMs = 12_000;
	t.equal(grants.grant('s', 1).grantedCount, 1);
});

t.test('a core host that may have been replaced as a voter grants nothing', async t => {
	const {state, grants} = create(true);
	state.freshAgeMs = 3000;
	t.equal(grants.grant('s', 1).grantedCount, 0);
	state.freshAgeMs = 0;
	t.equal(grants.grant('s', 1).grantedCount, 1);
	state.voterCount = null;
	t.equal(grants.grant('s', 1).grantedCount, 0);
});

t.test('requests are counted from the second report of a start on, and only in reports without a gap', async t => {
	const {state, grants} = create(true);
	const report = (startId: string, count: number): number => {
		grants.recordReport('entry:1', {startId, counts: {s: count}});
		const {grantedCount} = grants.grant('s', 100);
		return grantedCount;
	};

	t.equal(grants.grant('s', 100).grantedCount, 10);
	t.equal(report('a', 5000), 0, 'they may have been received at any time');
	state.nowMs = 700;
	t.equal(report('a', 5500), 10, '0.06 for each of 500, of which this host has a third');
	t.equal(report('a', 5200), 0, 'an older report that arrives late');
	t.equal(report('a', 5500), 0);
	state.nowMs = 1400;
	t.equal(report('b', 6000), 0, 'another start');
	state.nowMs = 8000;
	t.equal(report('b', 9000), 0, 'after a gap');
});
