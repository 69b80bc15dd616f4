import t from 'tap';
import {
	createPauseRecord, isOrderInTime, orderExpiry, orderValidMs, pauseTickMs, type PauseRecord,
} from '@bitternpaddle/coordination';

// The clocks of two hosts differ by hours. If their times were compared, every order
// would be late, or none.
t.test('an order expires by the clock of the leader alone', async t => {
	const expiry = orderExpiry({epoch: 'run 1', nowMs: 9_000_000}, {receivedAtMs: 500, readAtMs: 510});
	t.same(expiry, {epoch: 'run 1', atMs: 9_000_000 + orderValidMs - 10});
	t.ok(isOrderInTime(expiry, {epoch: 'run 1', nowMs: 9_000_700}));
	t.notOk(isOrderInTime(expiry, {epoch: 'run 1', nowMs: 9_000_790}));
});

// The answer of the leader to the reading of its clock is delayed by a stalled link. The
// order must not gain the time of the delay.
t.test('a slow reading of the clock shortens the time that remains', async t => {
	const expiry = orderExpiry({epoch: 'run 1', nowMs: 1000}, {receivedAtMs: 0, readAtMs: 900});
	t.notOk(isOrderInTime(expiry, {epoch: 'run 1', nowMs: 1000}));
});

// The leader restarts, and its clock begins anew.
t.test('an order expires with the run of the leader process', async t => {
	const expiry = orderExpiry({epoch: 'run 1', nowMs: 50_000}, {receivedAtMs: 0, readAtMs: 1});
	t.notOk(isOrderInTime(expiry, {epoch: 'run 2', nowMs: 10}));
});

const tickUntil = (record: PauseRecord, fromMs: number, untilMs: number): void => {
	for (let nowMs = fromMs; nowMs <= untilMs; nowMs += pauseTickMs) {
		record.tick(nowMs);
	}
};

// A control host is suspended for 5 s while an order waits in its socket. Its caller has
// given up and ordered the opposite at another host.
t.test('a call that is read after a pause counts as arrived at its beginning', async t => {
	const record = createPauseRecord(0);
	tickUntil(record, 0, 1000);
	t.equal(record.arrivedAtMs(6000), 1000, 'read before the tick that ends the pause');
	record.tick(6000);
	t.equal(record.arrivedAtMs(6005), 1000, 'read after it');
	tickUntil(record, 6050, 6100);
	t.equal(record.arrivedAtMs(6100), 6100, 'later calls arrived in time');
});

// On a busy host timers fire late all the time. If every gap counted as a pause that
// extends the previous one, no order would be accepted there.
t.test('short gaps and separate pauses do not add up', async t => {
	const record = createPauseRecord(0);
	record.tick(140);
	t.equal(record.arrivedAtMs(145), 145);
	record.tick(400);
	tickUntil(record, 450, 500);
	record.tick(900);
	t.equal(record.arrivedAtMs(901), 500);
});
