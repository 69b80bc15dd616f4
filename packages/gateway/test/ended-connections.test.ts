import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';

const crashing = 'write the handover';
const stableMs = 3000;
const allowedSends = 3;

const crashAfter = (events: number): EngineBehavior => ({
	type: 'crash', afterMs: 30, events, framing: 'connection', closesConnections: true,
});

// Guards against recording a completed run when an engine crashes behind a whole event of an answer without a length.
t.test('a request that crashes its endpoints at the end of an event is soon refused', async t => {
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, behaviorOf: body => body === crashing ? crashAfter(1) : {type: 'stream', pauseMs: 10, framing: 'connection'},
	});
	for (let repeat = 0; fleet.ends.length < 3; repeat++) {
		await fleet.call(`repeat-${repeat}`, crashing, {entry: repeat % 2});
	}

	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	const statuses: number[] = [];
	for (let repeat = 0; repeat < 8; repeat++) {
		const {status} = await fleet.call(`late-${repeat}`, crashing, {entry: repeat % 2});
		statuses.push(status);
	}

	const sends = fleet.arrivalsOf(crashing).length - before;
	t.ok(sends <= allowedSends, `${sends} sends after the third crash, ${allowedSends} allowed`);
	t.same(statuses.slice(-2), [400, 400]);
});
