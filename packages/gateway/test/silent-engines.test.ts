import t from 'tap';
import {createCrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';

/** Longer than the entry waits for the next event of a stream. */
const pauseMs = 1200;
const completeStream = [1, 2, 3].map(id => `id: ${id}\ndata: word${id}\n\n`).join('');

/** The first engine that gets the request pauses between its events; `onResume` is what the next one does. */
const behaviorOf = (onResume: EngineBehavior) => (body: string, headers: Readonly<Record<string, unknown>>): EngineBehavior => {
	if (body !== 'pauses') {
		return {type: 'stream', pauseMs: 5};
	}

	return headers['last-event-id'] === undefined ? {type: 'stream', pauseMs} : onResume;
};

// Guards against giving up a stream that its engine still works on before another engine has resumed it.
for (const [name, onResume] of Object.entries<EngineBehavior>({
	refuses: {type: 'refuse', status: 503}, 'never answers': {type: 'hang'}, 'loses its answer': {type: 'loseAnswer'},
})) {
	t.test(`a stream that pauses is completed if the engine that should resume it ${name}`, async t => {
		const fleet = await createCrashingFleet(t, {engineCount: 3, behaviorOf: behaviorOf(onResume)});
		t.match(await fleet.call('a', 'pauses'), {status: 200, text: completeStream});
		t.equal(fleet.arrivalsOf('pauses').length, 2, 'the route allows two attempts');
	});
}

// Guards against ending the second attempt when the first one, which was silent, is refused meanwhile.
t.test('a request is answered by the second engine if the first one refuses it late', async t => {
	let arrivals = 0;
	const fleet = await createCrashingFleet(t, {
		engineCount: 3, behaviorOf(body) {
			if (body !== 'late') {
				return {type: 'stream', pauseMs: 5};
			}

			arrivals++;
			return arrivals === 1 ? {type: 'refuse', status: 503, delayMs: 2100} : {type: 'stream', pauseMs: 5, delayMs: 900};
		},
	});
	t.match(await fleet.call('a', 'late'), {status: 200, text: completeStream});
	t.equal(fleet.arrivalsOf('late').length, 2);
});
