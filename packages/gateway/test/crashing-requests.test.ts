import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet, type Treatment} from './support/crashing-fleet.js';

const crashing = 'write the handover';

const treat = (body: string): Treatment => body === crashing ? {type: 'crash', afterMs: 30, events: 0} : {type: 'stream', pauseMs: 10};

/** What the deployment calls stable: within this every entry knows. */
const stableMs = 3000;
/** Sends that the users still allow after that. */
const allowedSends = 3;

/** Its caller repeats it, at one entry after the other, until it has ended three engines. */
const endThree = async (fleet: CrashingFleet, entryCount: number): Promise<void> => {
	for (let repeat = 0; fleet.ends.length < 3; repeat++) {
		await fleet.call(`repeat-${repeat}`, crashing, {entry: repeat % entryCount});
	}
};

// Each repeat has an id of its own and finds an entry that has not seen the others.
t.test('a request that has crashed three endpoints reaches no more of them, whichever entry its caller tries', async t => {
	const entryCount = 3;
	const fleet = await createCrashingFleet(t, {entryCount, engineCount: 8, treat});
	await endThree(fleet, entryCount);
	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	for (let repeat = 0; repeat < 9; repeat++) {
		await fleet.call(`late-${repeat}`, crashing, {entry: repeat % entryCount});
		await delay(50);
	}

	const sends = fleet.arrivalsOf(crashing).length - before;
	t.ok(sends <= allowedSends, `${sends} sends after the third crash, ${allowedSends} allowed`);
	t.equal((await fleet.call('innocent', 'another', {entry: 1})).status, 200, 'others are served');
});
