import t from 'tap';
import {
	createPauseRecord, isOrderInTime, orderExpiry, orderValidMs,
} from '@bitternpaddle/coordination';

// The clocks of two hosts differ by hours, and the answer to the reading of the leader's
// clock may be held up by a stalled link: an order must gain no time by either.
t.test('an order expires by the clock of one run of the leader, less the duration of the reading', async t => {
	const expiry = orderExpiry({epoch: 'run 1', nowMs: 9_000_000}, {receivedAtMs: 500, readAtMs: 510});
	t.same(expiry, {epoch: 'run 1', atMs: 9_000_000 + orderValidMs - 10});
	t.ok(isOrderInTime(expiry, {epoch: 'run 1', nowMs: 9_000_700}));
	t.notOk(isOrderInTime(expiry, {epoch: 'run 1', nowMs: 9_000_790}));
	t.notOk(isOrderInTime(expiry, {epoch: 'run 2', nowMs: 10}), 'the leader restarted');
});

// A control host is suspended for 5 s while an order waits in its socket. Its caller has
// given up and ordered the opposite at another host.
t.test('a call that is read after a pause counts as arrived at its beginning', async t => {
	const record = createPauseRecord(0);
	record.tick(140);
	t.equal(record.arrivedAtMs(145), 145, 'timers of a busy host fire late');
	t.equal(record.arrivedAtMs(6000), 140, 'read before the tick that ends the pause');
	record.tick(6000);
	t.equal(record.arrivedAtMs(6005), 140, 'read after it');
	record.tick(6140);
	t.equal(record.arrivedAtMs(6145), 140, 'read after a long turn of the event loop');
	record.tick(6190);
	record.tick(6240);
	t.equal(record.arrivedAtMs(6245), 6245, 'a later call arrived in time');
});

// On an overloaded host the event loop pauses all the time. If all pauses added up, the
// host would accept no order for as long as the load lasts.
t.test('no more than two consecutive pauses add up', async t => {
	const record = createPauseRecord(0);
	for (const nowMs of [200, 400, 600]) {
		record.tick(nowMs);
	}

	t.equal(record.arrivedAtMs(601), 200);
});
