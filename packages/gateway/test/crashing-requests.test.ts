import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@bitternpaddle/transport';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet, type Treatment} from './support/crashing-fleet.js';

const crashing = 'write the handover';

const treat = (body: string): Treatment => body === crashing ? {type: 'crash', afterMs: 30, events: 0} : {type: 'stream', pauseMs: 10};

/** What the deployment calls stable: within this every entry knows. */
const stableMs = 3000;
/** Sends that the users still allow after that. */
const allowedSends = 3;

/** Its caller repeats it, at one entry after the other, until it has ended three engines. */
const endThree = async (fleet: CrashingFleet, entryCount: number, options: {readonly path?: string; readonly key?: string} = {}): Promise<void> => {
	for (let repeat = 0; fleet.ends.length < 3; repeat++) {
		await fleet.call(`repeat-${repeat}`, crashing, {entry: repeat % entryCount, ...options});
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

t.test('its caller gets a final answer at once, and every entry tells the evidence once', async t => {
	const lines: Array<{event: string; fields: Record<string, unknown>}> = [];
	const logger: Logger = {
		event(event, fields = {}) {
			lines.push({event, fields});
		},
	};
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, treat, logger,
	});
	await endThree(fleet, 2);
	await delay(1000);
	const answers = await Promise.all([0, 1].map(async entry => fleet.call(`late-${entry}`, crashing, {entry, headers: {'x-other': String(entry)}})));
	for (const {status, headers, text} of answers) {
		t.equal(status, 400, 'callers do not repeat what is wrong in itself');
		t.equal(headers['retry-after'], undefined);
		t.match(text, /endpoints ended while they had this request/v);
	}

	const verdicts = lines.filter(({event}) => event === 'BP4029');
	t.equal(verdicts.length, 2);
	t.ok(verdicts.every(({fields}) => (fields.endpoints as string[]).length >= 3));
});

// Copies wait at engines, silently, when the verdict falls; each would end its engine.
t.test('copies that are under way when the third endpoint ends are taken back', async t => {
	const held = new Set<number>();
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, treat(body, headers, engine) {
			if (body === crashing && headers['x-how'] === 'wait') {
				held.add(engine);
				return {type: 'hang'};
			}

			return held.has(engine) ? {type: 'loseAnswer'} : treat(body);
		},
	});
	const waiting = [0, 1].map(async entry => fleet.call(`waiting-${entry}`, crashing, {entry, headers: {'x-how': 'wait'}}));
	while (fleet.arrivals.filter(({requestId}) => requestId.startsWith('waiting')).length < 2) {
		await delay(10);
	}

	await endThree(fleet, 2);
	t.same((await Promise.all(waiting)).map(({status}) => status), [400, 400]);
	const before = fleet.arrivals.length;
	await delay(500);
	t.equal(fleet.arrivals.length, before, 'and are sent no further');
});

// A restarted entry has seen nothing; the others tell it before it counts as being in touch.
t.test('an entry that was restarted refuses what the others know of', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 8, treat});
	await endThree(fleet, 2);
	await fleet.restartEntry(1);
	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	t.equal((await fleet.call('late', crashing, {entry: 1})).status, 400);
	t.equal(fleet.arrivalsOf(crashing).length, before);
});

t.test('the same body of another team is served', async t => {
	const fleet = await createCrashingFleet(t, {engineCount: 8, treat: (body, headers) => headers['x-team'] === 'marshals' ? treat(body) : {type: 'stream', pauseMs: 10}});
	await endThree(fleet, 1, {path: '/keyed/1', key: 'marshals-key'});
	t.equal((await fleet.call('late', crashing, {path: '/keyed/1', key: 'marshals-key'})).status, 400);
	t.equal((await fleet.call('other', crashing, {path: '/keyed/1', key: 'vendors-key'})).status, 200);
});

t.test('the dozen that run beside it are sent on and served', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 8, treat: body => body.startsWith('beside') ? {type: 'stream', pauseMs: 60} : treat(body)});
	const over = new AbortController();
	const statuses: number[] = [];
	const beside = Array.from({length: 12}, async (_, caller) => {
		for (let turn = 0; !over.signal.aborted; turn++) {
			const {status} = await fleet.call(`beside-${caller}-${turn}`, `beside ${caller}`, {entry: caller % 2});
			statuses.push(status);
		}
	});
	await endThree(fleet, 2);
	await delay(1000);
	over.abort();
	await Promise.all(beside);
	t.notOk(statuses.includes(400));
	t.ok(statuses.filter(status => status === 200).length > statuses.length / 2, `${statuses.length} calls`);
});

t.test('a request whose answers are lost on their way is no crash of its endpoints', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, treat: body => body === 'lost' ? {type: 'loseAnswer'} : treat(body)});
	for (let repeat = 0; repeat < 6; repeat++) {
		t.not((await fleet.call(`lost-${repeat}`, 'lost', {entry: repeat % 2})).status, 400);
	}
});

// Entries went on asking for the start that had ended, and were answered 421.
t.test('an endpoint that is back after a crash is asked for by the name of its new start', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 3, treat});
	fleet.crash(0);
	await delay(1200);
	const before = fleet.arrivals.length;
	const statuses = await Promise.all(Array.from({length: 30}, async (_, index) => (await fleet.call(`after-${index}`, `after ${index}`, {entry: index % 2})).status));
	t.ok(statuses.every(status => status === 200));
	t.equal(fleet.arrivals.length - before, 30, 'each reaches one endpoint, which runs it');
});
