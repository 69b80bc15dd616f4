import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet} from './support/crashing-fleet.js';

// Guards against sending requests to an endpoint that is announced as ready while its answers say that it is leaving.
t.test('an endpoint whose answers say that it is leaving is sent no further requests', async t => {
	const state = {isLeaving: false};
	const events: string[] = [];
	const fleet = await createCrashingFleet(t, {
		engineCount: 3, behaviorOf: () => ({type: 'stream', pauseMs: 100}), answerHeaders: engine => state.isLeaving && engine === 0 ? {'x-leaving': '1'} : {}, logger: {
			event(event) {
				events.push(event);
			},
		},
	});
	state.isLeaving = true;
	const calls: Array<Promise<number>> = [];
	for (let index = 0; index < 80; index++) {
		calls.push(fleet.call(`call-${index}`, `body ${index}`).then(({status}) => status));
		await delay(20);
	}

	const timesMs = fleet.arrivals.filter(({engine}) => engine === 0).map(({atMs}) => atMs);
	t.ok(Math.max(...timesMs) - Math.min(...timesMs) < 1000, 'its last request arrives less than 1 s after its first');
	t.same((await Promise.all(calls)).filter(status => status !== 200), []);
	t.equal(events.filter(event => event === 'BP4047').length, 1);
});
