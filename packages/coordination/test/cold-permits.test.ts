import t from 'tap';
import {
	coldPermitState, coldPermitsToRequest, createColdAccount, createColdIssuer, endpointStartOf, issueColdPermits, recordColdReply, requestColdPermits, returnColdPermits, takeUnusedPermits,
	useColdPermit,
	type ColdReply, type ColdTerms,
} from '@bitternpaddle/coordination';

const start = endpointStartOf({id: 'e', startedAtMs: 0});
const perSecond = 26;
const terms: ColdTerms = {perSecond, entryCount: 4, fallbackCount: () => 2};

/** Requests one permit every `intervalMs` until `untilMs`; returns the times of the grants. */
const grantTimes = (untilMs: number, {intervalMs = 1, isReturned = false} = {}): number[] => {
	const issuer = createColdIssuer();
	const timesMs: number[] = [];
	for (let nowMs = 0; nowMs < untilMs; nowMs += intervalMs) {
		const request = {
			start, entryAddress: 'a', count: 1, perSecond, sentAtMs: nowMs, unpermittedCount: 0,
		};
		if (requestColdPermits(issuer, request, nowMs).type === 'granted') {
			timesMs.push(nowMs);
			if (isReturned) {
				returnColdPermits(issuer, request);
				returnColdPermits(issuer, request);
			}
		}
	}

	return timesMs;
};

// Guards against bursts on top of the rate: a permit may be used up to 60 ms after its grant, at the end of one second and the start of the next.
t.test('the permits that can be used in any second are within the limit', async t => {
	const timesMs = grantTimes(10_000);
	const usable = timesMs.map(fromMs => timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1085).length);
	t.equal(Math.max(...usable), perSecond);
	t.ok(timesMs.length > 0.85 * perSecond * 10, `${timesMs.length} permits in 10 s`);
});

t.test('an unused permit that is returned takes up no part of the limit, also if the message is repeated', async t => {
	t.ok(grantTimes(10_000, {isReturned: true}).length > perSecond * 10, 'paced by the bucket only');
});

// Guards against a full limit for the issuer that returns, on top of what entries sent in the same second without it.
t.test('requests that were sent without permits take up their part of the limit', async t => {
	const issuer = createColdIssuer();
	let grantedCount = 0;
	for (let nowMs = 0; nowMs < 1000; nowMs += 10) {
		const reply = requestColdPermits(issuer, {
			start, entryAddress: 'a', count: 1, perSecond, sentAtMs: nowMs, unpermittedCount: 10,
		}, nowMs);
		grantedCount += reply.type === 'granted' ? 1 : 0;
	}

	t.equal(grantedCount, perSecond - 10);
});

// Guards against permits that are granted for requests that have gone elsewhere.
t.test('queued requests are granted in order, unless they have not been renewed', async t => {
	const issuer = createColdIssuer();
	const ask = (entryAddress: string, nowMs: number): ColdReply => requestColdPermits(issuer, {
		start, entryAddress, count: 1, perSecond, sentAtMs: nowMs, unpermittedCount: 0,
	}, nowMs);
	while (ask('a', 0).type === 'granted') {
		// Takes the permits that have accumulated.
	}

	t.match(ask('b', 0), {type: 'queued'});
	t.match(ask('c', 0), {type: 'queued'});
	ask('b', 40);
	ask('c', 40);
	t.match(issueColdPermits(issuer, () => true, 80), [{entryAddress: 'b', reply: {sentAtMs: 40, heldMs: 40}}, {entryAddress: 'c'}], 'the request of a has timed out');
	ask('d', 90);
	t.same(issueColdPermits(issuer, () => false, 140), []);
	t.same(issueColdPermits(issuer, () => true, 140), [], 'requests are dropped when the entry is no longer the issuer');
});

// Guards against a suspended entry that uses permits seconds after they were granted.
t.test('a permit expires by the time at which it was requested, whenever the grant arrives', async t => {
	const account = createColdAccount();
	t.equal(coldPermitsToRequest(account, perSecond, 1000), 1);
	t.equal(coldPermitsToRequest(account, perSecond, 1010), 0, 'a request is pending');
	t.notOk(recordColdReply(account, {
		type: 'granted', count: 1, sentAtMs: 1000, heldMs: 10,
	}, 4000));
	t.match(coldPermitState(account, terms, 4000), {type: 'limited', isCold: true});
	t.notOk(recordColdReply(account, {
		type: 'granted', count: 1, sentAtMs: 5, heldMs: 0,
	}, 4000), 'a grant to an earlier run of the process');
	t.same(takeUnusedPermits(account, 4000), [1000, 5], 'both are returned');
});

t.test('a permit is used once', async t => {
	const account = createColdAccount();
	coldPermitsToRequest(account, perSecond, 1000);
	t.ok(recordColdReply(account, {
		type: 'granted', count: 1, sentAtMs: 1000, heldMs: 0,
	}, 1004));
	t.match(coldPermitState(account, terms, 1004), {type: 'available'});
	useColdPermit(account, 1004);
	t.match(coldPermitState(account, terms, 1004), {type: 'limited'});
	t.same(takeUnusedPermits(account, 2000), []);
});

// Guards against treating one lost datagram as the failure of the issuer, and against sending without bound when it has failed.
t.test('an entry sends its own number of requests a second while the issuer does not answer', async t => {
	const account = createColdAccount();
	coldPermitsToRequest(account, perSecond, 0);
	t.match(coldPermitState(account, terms, 900), {type: 'limited'}, 'one request was not answered');
	const sentAtMs: number[] = [];
	for (let nowMs = 1000; nowMs < 6000; nowMs += 10) {
		coldPermitsToRequest(account, perSecond, nowMs);
		if (coldPermitState(account, terms, nowMs).type === 'available') {
			useColdPermit(account, nowMs);
			sentAtMs.push(nowMs);
		}
	}

	t.equal(Math.max(...sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length)), 2);
	t.ok(sentAtMs.length >= 8, `${sentAtMs.length} requests in 5 s`);
	recordColdReply(account, {type: 'queued', waitMs: 30, sentAtMs: account.requestedAtMs.at(-1)!}, 6000);
	t.match(coldPermitState(account, terms, 6000), {type: 'limited', nextAtMs: 6030}, 'the issuer answers again');
});
