import t from 'tap';
import {
	admitAtDoor, createDoor, finishAtDoor, settleAtDoor,
} from '@bitternpaddle/coordination';

// The entry's connection fails before the request arrives; the entry settles,
// tells its caller "not run", and only then the request comes in. It must be
// refused, or "not run" would have been a lie.
t.test('a settled request that arrives late is barred', async t => {
	const door = createDoor({capacity: 2});
	t.equal(settleAtDoor(door, 'r1'), 'notRun');
	t.same(admitAtDoor(door, 'r1'), {type: 'refuse', reason: 'barred'});
});

t.test('a request id starts at most once', async t => {
	const door = createDoor({capacity: 2});
	t.same(admitAtDoor(door, 'r1'), {type: 'start'});
	t.equal(settleAtDoor(door, 'r1'), 'running');
	t.same(admitAtDoor(door, 'r1'), {type: 'refuse', reason: 'duplicate'});
	finishAtDoor(door, 'r1', 'ran');
	t.equal(settleAtDoor(door, 'r1'), 'ran');
	t.same(admitAtDoor(door, 'r1'), {type: 'refuse', reason: 'duplicate'});
});

t.test('a closing or full door refuses and says why', async t => {
	const door = createDoor({capacity: 1});
	admitAtDoor(door, 'r1');
	t.same(admitAtDoor(door, 'r2'), {type: 'refuse', reason: 'full'});
	door.isClosing = true;
	t.same(admitAtDoor(door, 'r3'), {type: 'refuse', reason: 'closing'});
});
