import t from 'tap';
import {
	createLinkStrain, createPathDelay, createStandstill, hasStoodStill, lookAtClock, noteFetch, notePath, strainRestMs,
} from '@bitternpaddle/coordination';

// A host's link narrows to a fifth. Its engine looks idle in its reports, which
// come later and later; callers that are sent there wait for seconds.
t.test('a way that fills up shows in the times of the reports', async t => {
	const path = createPathDelay();
	for (let sentAtMs = 0; sentAtMs < 1000; sentAtMs += 100) {
		notePath(path, sentAtMs, 50_000 + sentAtMs + 2);
	}

	t.equal(path.delayMs, 0, 'the clocks need not agree');
	notePath(path, 1000, 51_402);
	t.equal(path.delayMs, 400);
	notePath(path, 1100, 51_102);
	t.equal(path.delayMs, 0);
});

// A host is suspended: its clock stands still, and every later report looks as
// much too late. Two windows on, that is the new usual.
t.test('a step of the other clock is forgotten', async t => {
	const path = createPathDelay();
	notePath(path, 0, 100_000);
	for (let sentAtMs = 100; sentAtMs < 20_000; sentAtMs += 100) {
		notePath(path, sentAtMs, 103_000 + sentAtMs);
	}

	t.equal(path.delayMs, 0);
});

t.test('slow fetches from several sources are the host\'s own link; from one they are that source', async t => {
	const strain = createLinkStrain();
	noteFetch(strain, 'a', true, 0);
	noteFetch(strain, 'a', true, 100);
	t.equal(strainRestMs(strain, 100), 0);
	noteFetch(strain, 'b', false, 200);
	noteFetch(strain, 'b', true, 300);
	t.equal(strainRestMs(strain, 300), 0, 'a quick one between them clears the link');
	noteFetch(strain, 'a', true, 400);
	t.ok(strainRestMs(strain, 400) > 0);
	t.equal(strainRestMs(strain, 5000), 0);
});

// A host is frozen for four seconds while it fetches chunks, and has drawn some that
// no other host has. Awake, it finds that its fetches took four seconds. Taken for a
// narrow link, it would refuse its chunks to the others for seconds more.
t.test('a process knows that it stood still', async t => {
	const standstill = createStandstill(0);
	for (let nowMs = 100; nowMs <= 1000; nowMs += 100) {
		lookAtClock(standstill, nowMs);
	}

	t.notOk(hasStoodStill(standstill, 200, 1050), 'looks came all the time');
	t.ok(hasStoodStill(standstill, 900, 5000), 'a fetch ends before the next look');
	lookAtClock(standstill, 5001);
	t.ok(hasStoodStill(standstill, 900, 5050), 'a fetch that began before it');
	t.notOk(hasStoodStill(standstill, 5010, 5090), 'one that began behind it');
});
