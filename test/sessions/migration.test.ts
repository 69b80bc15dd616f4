import t from 'tap';
import {firstLoad, startSession} from '../support/session.js';

// A model moves from the old provider's hosts to the new provider's, with
// callers in every phase. An operator sees every share of the traffic, and no
// caller notices: not the new fleet's load, not the moves, not the old hosts'
// drain and stop.
t.test('a provider migration from first load to retirement', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 6, oldEngines: 3, entries: 2});
	const {type, callers, inForceEverywhere} = session;
	await firstLoad(session, 'old-halls', 'old', 3);
	await type('query', 'show fleets');
	await callers(12);
	await type('run', 'create fleet new-halls provider new for pitch-desk:v1 replicas 3');
	await type('run', '--wait', 'load pitch-desk:v1 on fleet new-halls');
	await type('query', 'show models');
	await type('run', '--wait', 'move 20% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('query', 'show models');
	await callers(24);
	await type('run', 'move 90% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('run', '--wait', 'move 80% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('query', 'show models');
	await callers(24);
	for (const host of ['h1', 'h2', 'h3']) {
		await type('run', '--wait', `drain host ${host}`);
	}

	await callers(12);
	await type('query', 'show replicas');
	for (const host of ['h1', 'h2', 'h3']) {
		await type('run', `stop host ${host}`);
	}

	await session.until('show hosts where provider = old', 0);
	await inForceEverywhere();
	await type('query', 'show hosts where service = bp-writers and revision < 0');
	await type('query', 'show fleets');
	await callers(12);
	t.matchSnapshot(session.transcript());
});
