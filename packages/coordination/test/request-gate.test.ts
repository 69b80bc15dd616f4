import t from 'tap';
import {
	admitAtDoor, createDoor, finishAtDoor, settleAtDoor, type DoorRequest,
} from '@bitternpaddle/coordination';

const request = (attemptId: string, sequence = 1, incarnation = 7): DoorRequest => ({attemptId, incarnation, issue: {sender: 'entry-1', sequence}});

// The entry's connection fails before the request arrives; the entry settles,
// tells its caller "not run", and only then the request comes in. It must be
// refused, or "not run" would have been a lie.
t.test('a settled request that arrives late is barred', async t => {
	const door = createDoor({capacity: 2, incarnation: 7});
	t.equal(settleAtDoor(door, request('r1')), 'notRun');
	t.same(admitAtDoor(door, request('r1')), {type: 'refuse', reason: 'barred'});
});

t.test('an attempt starts at most once', async t => {
	const door = createDoor({capacity: 2, incarnation: 7});
	t.same(admitAtDoor(door, request('r1')), {type: 'start'});
	t.equal(settleAtDoor(door, request('r1')), 'running');
	t.same(admitAtDoor(door, request('r1')), {type: 'refuse', reason: 'duplicate'});
	finishAtDoor(door, 'r1', 'ran');
	t.equal(settleAtDoor(door, request('r1')), 'ran');
	t.same(admitAtDoor(door, request('r1')), {type: 'refuse', reason: 'duplicate'});
});

t.test('a closing or full door refuses and says why', async t => {
	const door = createDoor({capacity: 1, incarnation: 7});
	admitAtDoor(door, request('r1'));
	t.same(admitAtDoor(door, request('r2', 2)), {type: 'refuse', reason: 'full'});
	door.isClosing = true;
	t.same(admitAtDoor(door, request('r3', 3)), {type: 'refuse', reason: 'closing'});
});

// A request starts, its agent is restarted and has lost its records, and the
// entry settles. The new agent knows nothing of the request, which is no proof
// that it did not run: the answer must be "unknown", never "not run".
t.test('a restarted agent cannot say that a request did not run', async t => {
	const door = createDoor({capacity: 1, incarnation: 8});
	t.equal(settleAtDoor(door, request('r1', 1, 7)), 'unknown');
	t.same(admitAtDoor(door, request('r1', 1, 7)), {type: 'refuse', reason: 'otherIncarnation'});
});

// A request is settled as "not run". So many others pass that the door forgets
// the bar, and only then the request arrives. It must not start, and whoever
// asks again must not be told more than the door knows.
t.test('a forgotten bar does not let a late request start', async t => {
	const door = createDoor({capacity: 1, incarnation: 7, keptRecords: 3});
	t.equal(settleAtDoor(door, request('late', 1)), 'notRun');
	for (let sequence = 2; sequence <= 5; sequence++) {
		admitAtDoor(door, request(`r${sequence}`, sequence));
		finishAtDoor(door, `r${sequence}`, 'ran');
	}

	t.notOk(door.records.has('late'), 'the bar is forgotten');
	t.same(admitAtDoor(door, request('late', 1)), {type: 'refuse', reason: 'forgotten'});
	t.equal(settleAtDoor(door, request('late', 1)), 'unknown');
	t.same(admitAtDoor(door, request('r6', 6)), {type: 'start'}, 'newer requests are not held up');
});

// One request hangs at a silent endpoint while thousands pass. The door's
// memory stays bounded, and the hanging one keeps its record.
t.test('a hanging request does not keep the door from forgetting others', async t => {
	const door = createDoor({capacity: 2, incarnation: 7, keptRecords: 10});
	admitAtDoor(door, request('hangs', 1));
	for (let sequence = 2; sequence <= 1000; sequence++) {
		admitAtDoor(door, request(`r${sequence}`, sequence));
		finishAtDoor(door, `r${sequence}`, 'ran');
	}

	t.equal(door.records.size, 11);
	t.equal(settleAtDoor(door, request('hangs', 1)), 'running');
});
