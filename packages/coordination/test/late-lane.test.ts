import t from 'tap';
import {
	aheadOf, createLateLane, joinLane, leaveLane, refreshPlaces, takePlace, willBeSent, type LaneMember,
} from '@bitternpaddle/coordination';

const member = (deadlineAtMs: number, isLastTry = false): LaneMember => ({isLastTry, deadlineAtMs});

t.test('who has no further try goes first, then whoever has the least time left', async t => {
	const lane = createLateLane();
	const [early, late, last, lastLater] = [member(5000), member(6000), member(5500, true), member(5900, true)];
	for (const each of [late, lastLater, early, last]) {
		joinLane(lane, each);
	}

	t.same(lane.members, [last, lastLater, early, late]);
	t.equal(aheadOf(lane, early), 2);
	t.equal(aheadOf(lane, member(5950)), 3, 'one that has not joined');
	leaveLane(lane, last);
	t.equal(aheadOf(lane, lastLater), 0);
});

// Engines come back empty, and 39 entries see the same 40 free places in the same
// report. Each lets in what it holds: were it not for its part, the first engine would get hundreds.
t.test('an entry takes its part of the free places alone', async t => {
	const lane = createLateLane();
	refreshPlaces(lane, 80, 40, 0);
	t.same([takePlace(lane, 0), takePlace(lane, 0), takePlace(lane, 0)], [true, true, false]);
	refreshPlaces(lane, 80, 40, 10);
	t.equal(takePlace(lane, 10), false, 'the same places, seen again');
	refreshPlaces(lane, 80, 40, 260);
	t.equal(takePlace(lane, 260), true, 'they were told anew');
});

t.test('parts of a place add up, but are not saved', async t => {
	const lane = createLateLane();
	refreshPlaces(lane, 10, 40, 0);
	t.equal(takePlace(lane, 0), false);
	for (let nowMs = 250; nowMs <= 5000; nowMs += 250) {
		refreshPlaces(lane, 10, 40, nowMs);
	}

	t.same([takePlace(lane, 5000), takePlace(lane, 5000)], [true, false]);
});

// Far more comes than engines carry, and nothing is left over. All that wait would be
// refused at their deadlines, when it is too late to try again.
t.test('only as many may wait as the lane can be expected to serve', async t => {
	const lane = createLateLane();
	const may = (ahead: number, leftMs: number, nowMs: number, waitedMs = 0) => willBeSent(lane, {ahead, leftMs, waitedMs}, nowMs);
	t.ok(may(2, 4000, 0), 'a few, whatever is known');
	t.notOk(may(3, 4000, 0));
	t.notOk(may(0, 0, 0), 'not one that can no longer be whole');
	for (let nowMs = 0; nowMs < 4000; nowMs += 100) {
		refreshPlaces(lane, 100, 10, nowMs);
		takePlace(lane, nowMs);
	}

	refreshPlaces(lane, 0, 10, 4000);
	t.ok(may(20, 4000, 4000), 'ten a second were sent on');
	t.notOk(may(35, 4000, 4000));
	t.notOk(may(20, 1000, 4000), 'not in a second');
	t.notOk(may(20, 4000, 9000), 'nor long after');
	t.ok(may(35, 4000, 4000, 500), 'one that waits is not sent away for a moment of less');
});

// Places look free, and none can be had: reports are late, or the engines behind them
// answer late. Whoever counts on them waits to its deadline, and has lost its next try.
t.test('free places are counted on for a second, then only what the lane has served', async t => {
	const lane = createLateLane();
	refreshPlaces(lane, 200, 10, 0);
	t.ok(willBeSent(lane, {ahead: 15, leftMs: 4000, waitedMs: 0}, 0));
	t.ok(willBeSent(lane, {ahead: 0, leftMs: 4000, waitedMs: 900}, 900));
	t.notOk(willBeSent(lane, {ahead: 0, leftMs: 4000, waitedMs: 1100}, 1100));
});
