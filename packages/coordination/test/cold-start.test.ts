import t from 'tap';
import {
	coldPeriodOf, createIssuerTerm, endpointStartOf, fallbackCount, fallbackCountOf, issuerOrder, noTermReason, recordConfirmation, recordPeers, type ColdOptions, type IssuerTerm,
} from '@bitternpaddle/coordination';

const coldStart = {durationMs: 3000, perSecond: 26};

const periodAt = (nowMs: number, coldForMs: number, madeAtMs: number, fields: Partial<ColdOptions> = {}) => coldPeriodOf({
	coldStart, announcement: {coldForMs, madeAtMs}, evacuationEndedAtMs: null, nowMs, ...fields,
});

t.test('an endpoint is cold for the announced time, counted from the announcement', async t => {
	t.match(periodAt(1500, 3000, 1000), {untilMs: 4000, cause: 'announced'});
	t.equal(periodAt(4000, 3000, 1000), null);
	t.equal(periodAt(1000, 0, 1000), null, 'a missing remaining time means warm');
	t.equal(periodAt(1500, 3000, 1000, {coldStart: null}), null, 'the service has no cold start');
});

// Guards against a full load for endpoints that became cold while their zone was evacuated and have not announced it.
t.test('after an evacuation an endpoint is cold until it announces itself warm', async t => {
	t.match(periodAt(5100, 0, 4000, {evacuationEndedAtMs: 5000}), {untilMs: 8000, cause: 'evacuated'});
	t.match(periodAt(5200, 0, 5050, {evacuationEndedAtMs: 5000}), {cause: 'evacuated'}, 'the announcement may have been made before the end');
	t.equal(periodAt(6000, 0, 5900, {evacuationEndedAtMs: 5000}), null, 'announced warm after the end');
	t.match(periodAt(6000, 2500, 5900, {evacuationEndedAtMs: 5000}), {untilMs: 8400, cause: 'announced'});
	t.equal(periodAt(8000, 0, 4000, {evacuationEndedAtMs: 5000}), null, 'the cold start has passed');
});

// Guards against shares that are rounded up: twenty entries would send twenty requests at once.
t.test('what entries send without an issuer adds up to half the limit, within the bound', async t => {
	const totalCount = fallbackCount(26, {overage: 1.5, slack: 5});
	t.equal(totalCount, 13);
	for (const entryCount of [1, 2, 8, 19, 20]) {
		const counts = Array.from({length: entryCount}, (_, rank) => fallbackCountOf(totalCount, rank, entryCount));
		t.equal(counts.reduce((sum, count) => sum + count, 0), totalCount, `${entryCount} entries`);
	}

	t.equal(fallbackCount(26, {overage: 1.1, slack: 2}), 4, 'the bound leaves less than half');
	t.equal(fallbackCount(26, {overage: 1, slack: 0}), 0);
});

const start = endpointStartOf({id: 'e', startedAtMs: 0});
const addresses = ['a:1', 'b:1', 'c:1'];
const [first, second] = issuerOrder(start, {...createIssuerTerm(addresses[0]!), lists: [{peers: addresses.slice(1), sinceMs: 0}]});

const termOf = (self: string, nowMs: number): IssuerTerm => {
	const term = createIssuerTerm(self);
	recordPeers(term, addresses.filter(address => address !== self), nowMs);
	recordConfirmation(term, nowMs, nowMs);
	return term;
};

// Guards against a new issuer that grants the limit beside the permits of the previous one.
t.test('a new issuer waits until the permits of the previous one have expired', async t => {
	const started = termOf(first!, 1000);
	t.equal(noTermReason(started, start, 1000), 'newIssuer', 'it has just started');
	recordConfirmation(started, 2900, 2900);
	t.equal(noTermReason(started, start, 4099), 'newIssuer', 'the previous one may have lost the core and be confirmed for two more seconds');
	t.equal(noTermReason(started, start, 4100), null);
	const next = termOf(second!, 0);
	for (let atMs = 1000; atMs <= 6000; atMs += 1000) {
		recordConfirmation(next, atMs, atMs);
	}

	t.equal(noTermReason(next, start, 6000), 'notIssuer');
	recordPeers(next, addresses.filter(address => address !== first && address !== second), 6000);
	t.equal(noTermReason(next, start, 6100), 'newIssuer', 'the first issuer has left');
	recordPeers(next, [], 6200);
	t.equal(noTermReason(next, start, 7190), 'newIssuer');
	t.equal(noTermReason(next, start, 7205), null, 'a change that does not concern the endpoint restarts nothing');
});

// Guards against two issuers: the others replace an entry 2.5 s after the core lost it.
t.test('an issuer stops when no core host has confirmed it for two seconds', async t => {
	const term = termOf(first!, 0);
	recordConfirmation(term, 1500, 1500);
	recordConfirmation(term, 3000, 3000);
	t.equal(noTermReason(term, start, 5000), null);
	t.equal(noTermReason(term, start, 5001), 'unconfirmed');
	recordConfirmation(term, 5100, 5100);
	t.equal(noTermReason(term, start, 5200), 'newIssuer', 'the others may not know yet that it is back');
});
