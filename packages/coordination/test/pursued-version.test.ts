import t from 'tap';
import {pursuedVersion, type WantedVersion} from '@bitternpaddle/coordination';

const wanted = (version: number, fields: Partial<WantedVersion> = {}): WantedVersion => ({
	version, heldShare: 0, idleMs: null, usableForMs: Number.POSITIVE_INFINITY, ...fields,
});

t.test('the newest version is fetched, also while an older one is on its way', async t => {
	t.equal(pursuedVersion({wanted: [], current: 1}), null, 'the engine serves it');
	t.equal(pursuedVersion({wanted: [wanted(2), wanted(3)], current: null}), 3);
	t.equal(pursuedVersion({wanted: [wanted(2, {heldShare: 0.6, idleMs: 50, usableForMs: 8000}), wanted(3)], current: 2}), 3);
	t.equal(pursuedVersion({wanted: [wanted(2, {heldShare: 0.6, idleMs: 900, usableForMs: 8000}), wanted(3, {heldShare: 0.4, idleMs: 100})], current: 3}), 3);
});

// Version 2 is named, and two seconds later version 3. Then the origin is lost: the
// hosts hold two thirds of version 2 among them and a few chunks of version 3. Waiting
// for the rest of 3, nobody could serve from the moment at which 2 is due.
t.test('while nothing of the newest comes, the version before is completed', async t => {
	const before = wanted(2, {heldShare: 0.6, idleMs: 900, usableForMs: 7000});
	const stalled = wanted(3, {heldShare: 0.3, idleMs: 900});
	t.equal(pursuedVersion({wanted: [before, stalled], current: 3}), 2);
	const coming = wanted(2, {heldShare: 0.8, idleMs: 40, usableForMs: 6500});
	t.equal(pursuedVersion({wanted: [coming, stalled], current: 2}), 2, 'it stays with what comes');
	t.equal(pursuedVersion({wanted: [wanted(2, {heldShare: 1, idleMs: 3000, usableForMs: 5000}), stalled], current: 2}), 2, 'whole, it waits for its turn to load');
	t.equal(pursuedVersion({wanted: [wanted(2, {heldShare: 0.8, idleMs: 900, usableForMs: 5000}), stalled], current: 2}), 3, 'nothing of it comes either');
	t.equal(pursuedVersion({wanted: [stalled], current: 2}), 3, 'the engine serves it');
});

t.test('an older version that nobody has, or that is of no use for long, is not fetched', async t => {
	const stalled = wanted(3, {heldShare: 0.3, idleMs: 900});
	t.equal(pursuedVersion({wanted: [wanted(2, {usableForMs: 7000}), stalled], current: 3}), 3);
	t.equal(pursuedVersion({wanted: [wanted(2, {heldShare: 0.9, idleMs: 900, usableForMs: 1000}), stalled], current: 3}), 3);
});
