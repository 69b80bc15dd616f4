import t from 'tap';
import {
	createLinkStrain, createPathDelay, createProcessStall, createStallMeter, hasStalled, checkClock, observeClock, readDelayMs, recordFetch, recordPathDelay, strainBackoffMs,
} from '@bitternpaddle/coordination';

// Guards against sending requests over a congested link. When a host's link drops to a
// fifth of its bandwidth, its engine looks idle in reports that arrive later and
// later, and requests sent there wait for seconds.
t.test('congestion on a path shows in the arrival times of the reports', async t => {
	const path = createPathDelay();
	for (let sentAtMs = 0; sentAtMs < 1000; sentAtMs += 100) {
		recordPathDelay(path, sentAtMs, 50_000 + sentAtMs + 2);
	}

	t.equal(path.delayMs, 0, 'the clocks need not agree');
	recordPathDelay(path, 1000, 51_402);
	t.equal(path.delayMs, 400);
	recordPathDelay(path, 1100, 51_102);
	t.equal(path.delayMs, 0);
});

// Guards against a permanent delay after a clock step: while a host is suspended, its
// clock stops, and every later report looks delayed by as much. After two
// windows, the new difference is the baseline.
t.test('a step of the remote clock has no lasting effect', async t => {
	const path = createPathDelay();
	recordPathDelay(path, 0, 100_000);
	for (let sentAtMs = 100; sentAtMs < 20_000; sentAtMs += 100) {
		recordPathDelay(path, sentAtMs, 103_000 + sentAtMs);
	}

	t.equal(path.delayMs, 0);
});

t.test('slow fetches from several sources are attributed to the host\'s own link; from one, to that source', async t => {
	const strain = createLinkStrain();
	recordFetch(strain, 'a', true, 0);
	recordFetch(strain, 'a', true, 100);
	t.equal(strainBackoffMs(strain, 100), 0);
	recordFetch(strain, 'b', false, 200);
	recordFetch(strain, 'b', true, 300);
	t.equal(strainBackoffMs(strain, 300), 0, 'a quick fetch in between clears the link');
	recordFetch(strain, 'a', true, 400);
	t.ok(strainBackoffMs(strain, 400) > 0);
	t.equal(strainBackoffMs(strain, 5000), 0);
});

// Guards against mistaking a process stall for a slow link. A host is suspended for four
// seconds while it fetches chunks, some of which only it has fetched from the origin.
// Its fetches then appear to have taken four seconds; with the link considered slow,
// it would refuse its chunks to the other hosts for seconds more.
t.test('a process detects its own stall', async t => {
	const stall = createProcessStall(0);
	for (let nowMs = 100; nowMs <= 1000; nowMs += 100) {
		checkClock(stall, nowMs);
	}

	t.notOk(hasStalled(stall, 200, 1050), 'the clock was checked all the time');
	t.ok(hasStalled(stall, 900, 5000), 'a fetch ends before the next check');
	checkClock(stall, 5001);
	t.ok(hasStalled(stall, 900, 5050), 'a fetch that started before the stall');
	t.notOk(hasStalled(stall, 5010, 5090), 'a fetch that started after it');
});

// Guards against taking the time that reports wait while this process is suspended for a delay of their path.
t.test('a stall of this process is no delay of the path', async t => {
	const path = createPathDelay();
	const meter = createStallMeter(0);
	for (let nowMs = 25; nowMs <= 1000; nowMs += 25) {
		t.equal(observeClock(meter, nowMs), 0);
		recordPathDelay(path, nowMs, nowMs + 2, readDelayMs(meter, nowMs));
	}

	t.equal(observeClock(meter, 1400), 400);
	recordPathDelay(path, 1100, 1400, readDelayMs(meter, 1400));
	t.equal(path.delayMs, 0, 'a report that waited here');
	observeClock(meter, 1425);
	recordPathDelay(path, 1000, 1425, readDelayMs(meter, 1425));
	t.equal(path.delayMs, 23, 'the rest is a delay of its path');
	for (let nowMs = 1450; nowMs <= 1600; nowMs += 25) {
		t.equal(observeClock(meter, nowMs), 0);
	}

	recordPathDelay(path, 1500, 1600, readDelayMs(meter, 1600));
	t.equal(path.delayMs, 98, 'a report after the backlog');
});
