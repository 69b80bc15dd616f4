import t from 'tap';
import {
	createLimitLedger, endpointStartOf, limitOf, noteLimitAnswer, pruneLimits, type LimitAnswer,
} from '@bitternpaddle/coordination';

const start = endpointStartOf({id: 'e', startedAtMs: 0});

const answer = (perSecond: number | null, fields: Partial<LimitAnswer> = {}): LimitAnswer => ({
	start, notice: perSecond === null ? {type: 'unlimited'} : {type: 'limited', perSecond}, hasRun: true, sentAtMs: 0, ...fields,
});

t.test('a limit applies from the first answer that advertises it, and each change is returned once', async t => {
	const ledger = createLimitLedger();
	t.equal(noteLimitAnswer(ledger, answer(null), 100), null, 'no change for an endpoint without a limit');
	t.match(noteLimitAnswer(ledger, answer(2), 200), {previousPerSecond: null, known: {perSecond: 2, sinceMs: 200}});
	t.equal(noteLimitAnswer(ledger, answer(2), 300), null);
	t.match(noteLimitAnswer(ledger, answer(0.5, {sentAtMs: 250}), 400), {previousPerSecond: 2, previousSinceMs: 200, known: {perSecond: 0.5}});
	t.equal(limitOf(ledger, start), 0.5);
});

// Guards against raising or lifting a limit on a late answer to a request sent before the limit was received.
t.test('an answer that arrives out of order does not raise or lift a limit', async t => {
	const ledger = createLimitLedger();
	noteLimitAnswer(ledger, answer(2), 1000);
	t.equal(noteLimitAnswer(ledger, answer(6, {sentAtMs: 990}), 1010), null);
	t.equal(noteLimitAnswer(ledger, answer(null, {sentAtMs: 990}), 1010), null);
	t.equal(limitOf(ledger, start), 2);
	t.match(noteLimitAnswer(ledger, answer(6, {sentAtMs: 1010}), 1100), {known: {perSecond: 6}});
	t.match(noteLimitAnswer(ledger, answer(null, {sentAtMs: 1110}), 1200), {previousPerSecond: 6, known: {perSecond: null}});
	t.equal(limitOf(ledger, start), null);
});

t.test('a refusal without a limit and an unreadable limit leave the known limit in force', async t => {
	const ledger = createLimitLedger();
	noteLimitAnswer(ledger, answer(2), 1000);
	t.equal(noteLimitAnswer(ledger, answer(null, {sentAtMs: 2000, hasRun: false}), 2100), null);
	t.equal(noteLimitAnswer(ledger, answer(null, {sentAtMs: 2000, notice: {type: 'unreadable', text: 'x'}}), 2100), null);
	t.equal(limitOf(ledger, start), 2);
});

t.test('a limit does not apply to the next start of an endpoint, and is pruned after the retention period', async t => {
	const ledger = createLimitLedger();
	noteLimitAnswer(ledger, answer(2), 1000);
	t.equal(limitOf(ledger, endpointStartOf({id: 'e', startedAtMs: 5})), null);
	pruneLimits(ledger, 1000 + 600_001);
	t.equal(ledger.limits.size, 0);
});
