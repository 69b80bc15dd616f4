import t from 'tap';
import {
	createPermitAccount, createRandom, recordPermitReply, permitState, permitsToRequest, usePermit, type PermitTerms,
} from '@bitternpaddle/coordination';

const terms: PermitTerms = {perSecond: 2, entryCount: 8, random: createRandom(1)};

// Guards against requests that wait for permits that other entries will be granted.
t.test('an entry expects an equal share of a limit without a recent reply from the issuer', async t => {
	const account = createPermitAccount();
	t.match(permitState(account, terms, 1000), {type: 'limited', nextAtMs: 1000 + 4000, gapMs: 4000});
	t.equal(permitsToRequest(account, terms.perSecond, 1000), 1);
	t.match(permitState(account, terms, 1000), {nextAtMs: 1040, gapMs: 4000}, 'the reply to the pending request is expected soon');
	recordPermitReply(account, {type: 'queued', waitMs: 1500}, 1010);
	t.match(permitState(account, terms, 1010), {nextAtMs: 2510, gapMs: 1500});
	t.equal(permitsToRequest(account, terms.perSecond, 1140), 1);
	t.match(permitState(account, terms, 1140), {nextAtMs: 2510, gapMs: 1500}, 'a renewed request keeps the estimate');
	recordPermitReply(account, {type: 'queued', waitMs: 1360}, 1150);
	t.match(permitState(account, terms, 1450), {nextAtMs: 5450, gapMs: 4000}, 'the queued request has timed out');
});

t.test('a permit is used once, and not after it has expired', async t => {
	const account = createPermitAccount();
	permitsToRequest(account, terms.perSecond, 1000);
	recordPermitReply(account, {type: 'granted', count: 1}, 1010);
	t.match(permitState(account, terms, 1999), {type: 'available'});
	usePermit(account, terms, 1999);
	t.match(permitState(account, terms, 1999), {type: 'limited', gapMs: 4000});
	permitsToRequest(account, terms.perSecond, 2000);
	recordPermitReply(account, {type: 'granted', count: 1}, 2010);
	t.match(permitState(account, terms, 3011), {type: 'limited'});
});

t.test('an entry sends an equal share of half the limit while the issuer does not answer', async t => {
	const account = createPermitAccount();
	const sentAtMs: number[] = [];
	for (let nowMs = 0; nowMs < 160_000; nowMs += 10) {
		permitsToRequest(account, terms.perSecond, nowMs);
		if (permitState(account, terms, nowMs).type === 'available') {
			usePermit(account, terms, nowMs);
			sentAtMs.push(nowMs);
		}
	}

	t.ok(sentAtMs[0]! >= 300, 'nothing is sent before the issuer has timed out');
	t.ok(Math.abs(sentAtMs.length - 20) <= 1, `${sentAtMs.length} requests in 160 s, expected one per 8 s`);
});

// Guards against entries that each hold a share of the limit that they do not use.
t.test('an entry requests permits in advance only for the requests that it sends', async t => {
	const account = createPermitAccount();
	t.equal(permitsToRequest(account, 100, 1000), 1, 'nothing was sent yet');
	for (let nowMs = 2000; nowMs < 12_000; nowMs += 20) {
		recordPermitReply(account, {type: 'granted', count: 1}, nowMs);
		usePermit(account, {...terms, perSecond: 100}, nowMs);
	}

	t.equal(permitsToRequest(account, 100, 12_000), 5, 'a tenth of a second of 50 requests a second');
});
