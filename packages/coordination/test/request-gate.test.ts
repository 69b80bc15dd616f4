import t from 'tap';
import {
	admitAtGate, createRequestGate, finishAtGate, resolveAtGate, type GateRequest,
} from '@bitternpaddle/coordination';

const request = (attemptId: string, sequence = 1, incarnation = 7): GateRequest => ({attemptId, incarnation, issue: {sender: 'entry-1', sequence}});

// The entry's connection fails before the request arrives. The entry resolves the
// attempt and reports "not run" to its caller, and then the delayed request arrives. It
// must be refused; otherwise the reported outcome would be false.
t.test('a resolved request that arrives late is barred', async t => {
	const gate = createRequestGate({capacity: 2, incarnation: 7});
	t.equal(resolveAtGate(gate, request('r1')), 'notRun');
	t.same(admitAtGate(gate, request('r1')), {type: 'refuse', reason: 'barred'});
});

t.test('an attempt starts at most once', async t => {
	const gate = createRequestGate({capacity: 2, incarnation: 7});
	t.same(admitAtGate(gate, request('r1')), {type: 'start'});
	t.equal(resolveAtGate(gate, request('r1')), 'running');
	t.same(admitAtGate(gate, request('r1')), {type: 'refuse', reason: 'duplicate'});
	finishAtGate(gate, 'r1', 'ran');
	t.equal(resolveAtGate(gate, request('r1')), 'ran');
	t.same(admitAtGate(gate, request('r1')), {type: 'refuse', reason: 'duplicate'});
});

t.test('a closing or full gate refuses with the reason', async t => {
	const gate = createRequestGate({capacity: 1, incarnation: 7});
	admitAtGate(gate, request('r1'));
	t.same(admitAtGate(gate, request('r2', 2)), {type: 'refuse', reason: 'full'});
	gate.isClosing = true;
	t.same(admitAtGate(gate, request('r3', 3)), {type: 'refuse', reason: 'closing'});
});

// A request starts, its agent restarts and loses its records, and the entry resolves
// the request. The missing record doesn't prove that the request did not run, so
// the result must be "unknown", never "not run".
t.test('a restarted agent does not report that a request did not run', async t => {
	const gate = createRequestGate({capacity: 1, incarnation: 8});
	t.equal(resolveAtGate(gate, request('r1', 1, 7)), 'unknown');
	t.same(admitAtGate(gate, request('r1', 1, 7)), {type: 'refuse', reason: 'otherIncarnation'});
});

// A request is resolved as "not run". So many others follow that its bar is evicted,
// and then the delayed request arrives. It must not start, and resolving it again
// must return "unknown".
t.test('an evicted bar does not let a late request start', async t => {
	const gate = createRequestGate({capacity: 1, incarnation: 7, maxRetainedRecords: 3});
	t.equal(resolveAtGate(gate, request('late', 1)), 'notRun');
	for (let sequence = 2; sequence <= 5; sequence++) {
		admitAtGate(gate, request(`r${sequence}`, sequence));
		finishAtGate(gate, `r${sequence}`, 'ran');
	}

	t.notOk(gate.records.has('late'), 'the bar was evicted');
	t.same(admitAtGate(gate, request('late', 1)), {type: 'refuse', reason: 'forgotten'});
	t.equal(resolveAtGate(gate, request('late', 1)), 'unknown');
	t.same(admitAtGate(gate, request('r6', 6)), {type: 'start'}, 'newer requests are still admitted');
});

// One request hangs at an unresponsive endpoint while about a thousand others run. The
// number of records must stay bounded, and the hanging request must keep its record.
t.test('a hanging request does not prevent the eviction of other records', async t => {
	const gate = createRequestGate({capacity: 2, incarnation: 7, maxRetainedRecords: 10});
	admitAtGate(gate, request('hangs', 1));
	for (let sequence = 2; sequence <= 1000; sequence++) {
		admitAtGate(gate, request(`r${sequence}`, sequence));
		finishAtGate(gate, `r${sequence}`, 'ran');
	}

	t.equal(gate.records.size, 11);
	t.equal(resolveAtGate(gate, request('hangs', 1)), 'running');
});
