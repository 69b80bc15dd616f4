import t from 'tap';
import {
	createKeyLease, createSuspendAwareClock, holdsKeyLease, renewKeyLease,
} from '@bitternpaddle/coordination';

const createTestClock = () => {
	const times = {monotonicMs: 1000, wallMs: 50_000};
	const clock = createSuspendAwareClock({steadyNowMs: () => times.monotonicMs, wallNowMs: () => times.wallMs});
	return {times, clock};
};

// A machine is suspended for five seconds: its monotonic clock stops, its wall clock
// continues. Requests with a key that was revoked in the meantime must not be served
// on resume, so the lease must count as expired.
t.test('the time during which a machine was suspended counts', async t => {
	const {times, clock} = createTestClock();
	const lease = createKeyLease(5000);
	renewKeyLease(lease, clock.nowMs());
	t.ok(holdsKeyLease(lease, clock.nowMs()));
	times.monotonicMs += 20;
	times.wallMs += 5020;
	t.notOk(holdsKeyLease(lease, clock.nowMs()));
});

// The wall clock of a host is set back. This must not extend any lease.
t.test('a wall clock that is set back changes nothing', async t => {
	const {times, clock} = createTestClock();
	const beforeMs = clock.nowMs();
	times.monotonicMs += 100;
	times.wallMs -= 2400;
	t.equal(clock.nowMs(), beforeMs + 100);
	times.monotonicMs += 100;
	times.wallMs += 100;
	t.equal(clock.nowMs(), beforeMs + 200);
});

t.test('drift and rounding do not count as suspension', async t => {
	const {times, clock} = createTestClock();
	const beforeMs = clock.nowMs();
	for (let round = 0; round < 100; round++) {
		times.monotonicMs += 100;
		times.wallMs += 101;
	}

	t.equal(clock.nowMs(), beforeMs + 10_000);
});
