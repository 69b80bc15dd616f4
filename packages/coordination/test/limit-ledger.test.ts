import t from 'tap';
import {
	createLimitLedger, endpointStartOf, limitOf, recordLimitAnswer, recordSharedLimit, pruneLimits, releaseLimits, type LimitAnswer,
} from '@bitternpaddle/coordination';

const start = endpointStartOf({id: 'e', startedAtMs: 0});

const answer = (perSecond: number | null, fields: Partial<LimitAnswer> = {}): LimitAnswer => ({
	start, notice: perSecond === null ? {type: 'unlimited'} : {type: 'limited', perSecond}, hasRun: true, sentAtMs: 0, ...fields,
});

t.test('a limit applies from the first answer that advertises it, and each change is returned once', async t => {
	const ledger = createLimitLedger();
	t.equal(recordLimitAnswer(ledger, answer(null), 100), null, 'no change for an endpoint without a limit');
	t.match(recordLimitAnswer(ledger, answer(2), 200), {previousPerSecond: null, known: {perSecond: 2, sinceMs: 200}});
	t.equal(recordLimitAnswer(ledger, answer(2), 300), null);
	t.match(recordLimitAnswer(ledger, answer(0.5, {sentAtMs: 250}), 400), {previousPerSecond: 2, previousSinceMs: 200, known: {perSecond: 0.5}});
	t.equal(limitOf(ledger, start), 0.5);
});

// Guards against raising or releasing a limit on a late answer to a request sent before the limit was received.
t.test('an answer that arrives out of order does not raise or release a limit', async t => {
	const ledger = createLimitLedger();
	recordLimitAnswer(ledger, answer(2), 1000);
	t.equal(recordLimitAnswer(ledger, answer(6, {sentAtMs: 990}), 1010), null);
	t.equal(recordLimitAnswer(ledger, answer(null, {sentAtMs: 990}), 1010), null);
	t.equal(limitOf(ledger, start), 2);
	t.match(recordLimitAnswer(ledger, answer(6, {sentAtMs: 1010}), 1100), {known: {perSecond: 6}});
	recordLimitAnswer(ledger, answer(null, {sentAtMs: 1110}), 1200);
	t.match(releaseLimits(ledger, 1200 + 4001), [{previousPerSecond: 6, known: {perSecond: null}}]);
	t.equal(limitOf(ledger, start), null);
});

// Guards against a burst of requests to an endpoint that has just stopped advertising its limit.
t.test('a limit stays in force for a window after the first answer without it, and longer if it is advertised again', async t => {
	const ledger = createLimitLedger();
	recordLimitAnswer(ledger, answer(2), 1000);
	recordLimitAnswer(ledger, answer(null, {sentAtMs: 1500}), 2000);
	t.same(releaseLimits(ledger, 2000 + 4000), []);
	recordLimitAnswer(ledger, answer(2, {sentAtMs: 2000}), 6000);
	t.same(releaseLimits(ledger, 2000 + 4001), [], 'advertised again');
	recordLimitAnswer(ledger, answer(null, {sentAtMs: 6500}), 7000);
	recordLimitAnswer(ledger, answer(null, {sentAtMs: 7500}), 8000);
	t.equal(releaseLimits(ledger, 7000 + 4001).length, 1, 'counted from the first answer without it');
	t.same(releaseLimits(ledger, 20_000), []);
});

// Guards against limits that never expire because entries keep sharing them with each other.
t.test('a limit returned by other entries is neither refreshed nor restored after its release', async t => {
	const ledger = createLimitLedger();
	recordLimitAnswer(ledger, answer(2), 1000);
	for (let advertisedAtMs = 1010; advertisedAtMs < 1200; advertisedAtMs += 10) {
		recordSharedLimit(ledger, {start, perSecond: 2, advertisedAtMs});
	}

	recordLimitAnswer(ledger, answer(null, {sentAtMs: 1005}), 1300);
	t.equal(recordSharedLimit(ledger, {start, perSecond: 2, advertisedAtMs: 1290}), null);
	t.equal(releaseLimits(ledger, 1300 + 4001).length, 1);
	t.equal(recordSharedLimit(ledger, {start, perSecond: 2, advertisedAtMs: 1310}), null, 'not restored after its release');
});

t.test('a refusal without a limit and an unreadable limit leave the known limit in force', async t => {
	const ledger = createLimitLedger();
	recordLimitAnswer(ledger, answer(2), 1000);
	t.equal(recordLimitAnswer(ledger, answer(null, {sentAtMs: 2000, hasRun: false}), 2100), null);
	t.equal(recordLimitAnswer(ledger, answer(null, {sentAtMs: 2000, notice: {type: 'unreadable', text: 'x'}}), 2100), null);
	t.same(releaseLimits(ledger, 10_000), []);
	t.equal(limitOf(ledger, start), 2);
	t.equal(releaseLimits(ledger, 1000 + 30_001).length, 1, 'released once it expires');
});

t.test('a limit does not apply to the next start of an endpoint, and is pruned after the retention period', async t => {
	const ledger = createLimitLedger();
	recordLimitAnswer(ledger, answer(2), 1000);
	t.equal(limitOf(ledger, endpointStartOf({id: 'e', startedAtMs: 5})), null);
	releaseLimits(ledger, 40_000);
	pruneLimits(ledger, 40_000 + 600_001);
	t.equal(ledger.limits.size, 0);
});
