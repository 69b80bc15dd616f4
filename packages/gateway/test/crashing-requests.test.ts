import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@bitternpaddle/transport';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';

const crashing = 'write the handover';

const behaviorOf = (body: string): EngineBehavior => body === crashing ? {type: 'crash', afterMs: 30, events: 0} : {type: 'stream', pauseMs: 10};

/** Stabilization time of the deployment; every entry has the verdict within it. */
const stableMs = 3000;
/** Sends that are still allowed after that. */
const allowedSends = 3;

/** Repeats the crashing request, at each entry in turn, until it has crashed three engines. */
const crashThree = async (fleet: CrashingFleet, entryCount: number, options: {readonly path?: string; readonly key?: string} = {}): Promise<void> => {
	for (let repeat = 0; fleet.ends.length < 3; repeat++) {
		await fleet.call(`repeat-${repeat}`, crashing, {entry: repeat % entryCount, ...options});
	}
};

// Guards against further crashes when a caller repeats a request: each repeat has a new request id
// and arrives at an entry that has not handled the previous one.
t.test('a request that has crashed three endpoints is sent to no further ones, whichever entry receives it', async t => {
	const entryCount = 3;
	const fleet = await createCrashingFleet(t, {entryCount, engineCount: 8, behaviorOf});
	await crashThree(fleet, entryCount);
	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	for (let repeat = 0; repeat < 9; repeat++) {
		await fleet.call(`late-${repeat}`, crashing, {entry: repeat % entryCount});
		await delay(50);
	}

	const sends = fleet.arrivalsOf(crashing).length - before;
	t.ok(sends <= allowedSends, `${sends} sends after the third crash, ${allowedSends} allowed`);
	t.equal((await fleet.call('innocent', 'another', {entry: 1})).status, 200, 'other requests are served');
});

t.test('the caller gets a final answer immediately, and every entry logs the evidence once', async t => {
	const lines: Array<{event: string; fields: Record<string, unknown>}> = [];
	const logger: Logger = {
		event(event, fields = {}) {
			lines.push({event, fields});
		},
	};
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, behaviorOf, logger,
	});
	await crashThree(fleet, 2);
	await delay(1000);
	const answers = await Promise.all([0, 1].map(async entry => fleet.call(`late-${entry}`, crashing, {entry, headers: {'x-other': String(entry)}})));
	for (const {status, headers, text} of answers) {
		t.equal(status, 400, 'callers do not retry invalid requests');
		t.equal(headers['retry-after'], undefined);
		t.match(text, /endpoints ended while they had this request/v);
	}

	const verdicts = lines.filter(({event}) => event === 'BP4029');
	t.equal(verdicts.length, 2);
	t.ok(verdicts.every(({fields}) => (fields.endpoints as string[]).length >= 3));
});

// Guards against crashes by copies that engines have not answered when the verdict is reached.
t.test('copies in progress when the third endpoint exits are aborted', async t => {
	const held = new Set<number>();
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, behaviorOf(body, headers, engine) {
			if (body === crashing && headers['x-how'] === 'wait') {
				held.add(engine);
				return {type: 'hang'};
			}

			return held.has(engine) ? {type: 'loseAnswer'} : behaviorOf(body);
		},
	});
	const waiting = [0, 1].map(async entry => fleet.call(`waiting-${entry}`, crashing, {entry, headers: {'x-how': 'wait'}}));
	while (fleet.arrivals.filter(({requestId}) => requestId.startsWith('waiting')).length < 2) {
		await delay(10);
	}

	await crashThree(fleet, 2);
	t.same((await Promise.all(waiting)).map(({status}) => status), [400, 400]);
	const before = fleet.arrivals.length;
	await delay(500);
	t.equal(fleet.arrivals.length, before, 'and are not sent to other endpoints');
});

// Guards against a restarted entry accepting the request: it has lost its sightings and must
// receive them from the other entries.
t.test('a restarted entry refuses a request that the other entries have a verdict on', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 8, behaviorOf});
	await crashThree(fleet, 2);
	await fleet.restartEntry(1);
	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	t.equal((await fleet.call('late', crashing, {entry: 1})).status, 400);
	t.equal(fleet.arrivalsOf(crashing).length, before);
});

t.test('the same body from another team is served', async t => {
	const fleet = await createCrashingFleet(t, {engineCount: 8, behaviorOf: (body, headers) => headers['x-team'] === 'marshals' ? behaviorOf(body) : {type: 'stream', pauseMs: 10}});
	await crashThree(fleet, 1, {path: '/keyed/1', key: 'marshals-key'});
	t.equal((await fleet.call('late', crashing, {path: '/keyed/1', key: 'marshals-key'})).status, 400);
	t.equal((await fleet.call('other', crashing, {path: '/keyed/1', key: 'vendors-key'})).status, 200);
});

t.test('a dozen concurrent other requests are retried and served', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 8, behaviorOf: body => body.startsWith('beside') ? {type: 'stream', pauseMs: 60} : behaviorOf(body)});
	const stopped = new AbortController();
	const statuses: number[] = [];
	const beside = Array.from({length: 12}, async (_, caller) => {
		for (let turn = 0; !stopped.signal.aborted; turn++) {
			const {status} = await fleet.call(`beside-${caller}-${turn}`, `beside ${caller}`, {entry: caller % 2});
			statuses.push(status);
		}
	});
	await crashThree(fleet, 2);
	await delay(1000);
	stopped.abort();
	await Promise.all(beside);
	t.notOk(statuses.includes(400));
	t.ok(statuses.filter(status => status === 200).length > statuses.length / 2, `${statuses.length} calls`);
});

t.test('lost answers to a request do not count as crashes of its endpoints', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, behaviorOf: body => body === 'lost' ? {type: 'loseAnswer'} : behaviorOf(body)});
	for (let repeat = 0; repeat < 6; repeat++) {
		t.not((await fleet.call(`lost-${repeat}`, 'lost', {entry: repeat % 2})).status, 400);
	}
});

// Guards against entries sending requests for the previous start of an endpoint, which the new
// start refuses with 421.
t.test('requests to an endpoint that restarted after a crash name its new start', async t => {
	const fleet = await createCrashingFleet(t, {entryCount: 2, engineCount: 3, behaviorOf});
	fleet.crash(0);
	await delay(1200);
	const before = fleet.arrivals.length;
	const statuses = await Promise.all(Array.from({length: 30}, async (_, index) => (await fleet.call(`after-${index}`, `after ${index}`, {entry: index % 2})).status));
	t.ok(statuses.every(status => status === 200));
	t.equal(fleet.arrivals.length - before, 30, 'each request is sent to one endpoint, which runs it');
});
