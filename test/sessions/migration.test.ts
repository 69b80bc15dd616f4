import t from 'tap';
import {loadFirstVersion, startSession} from '../support/session.js';

// A model is moved from the old provider's hosts to the new provider's, with
// requests in every phase. The new fleet lacks a host at first, so the rollout
// waits at 50%; an operator stops it there, brings the host back and resumes.
// No request is affected by the load of the new fleet, the steps, the retirement
// of the old fleet or the stop of its hosts.
t.test('a provider migration from first load to retirement', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 6, oldEngines: 3, entries: 2});
	const {type, callers, inForceEverywhere, waitForRows} = session;
	await loadFirstVersion(session, 'old-halls', 'old', 3);
	await type('query', 'show fleets');
	await callers(12);
	await type('run', '--wait', 'drain host h6');
	await type('run', 'create fleet new-halls provider new for pitch-desk:v1 replicas 3');
	await type('run', 'load pitch-desk:v1 on fleet new-halls');
	await waitForRows('show replicas where fleet = new-halls and ready = true', 2);
	await type('query', 'show models');
	await type('run', 'move 100% of pitch-desk from fleet old-halls to fleet new-halls in steps of 50% every 1 s stopping above 5%');
	await waitForRows('show moves where moved = 50', 1);
	await inForceEverywhere();
	await type('query', 'show moves');
	await type('query', 'show models');
	await callers(24);
	await type('run', 'move 50% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('run', 'stop move of pitch-desk');
	await type('query', 'show moves');
	await type('run', 'retire fleet old-halls');
	await type('run', '--wait', 'undrain host h6');
	await waitForRows('show replicas where fleet = new-halls and ready = true', 3);
	await callers(24);
	await type('query', 'show moves');
	await type('run', 'resume move of pitch-desk');
	await waitForRows('show moves where state = done', 1);
	await inForceEverywhere();
	await type('query', 'show moves');
	await type('query', 'show models');
	await callers(24);
	for (const host of ['h1', 'h2', 'h3']) {
		await type('run', '--wait', `drain host ${host}`);
	}

	await type('run', '--wait', 'retire fleet old-halls');
	await type('run', 'roll back move of pitch-desk');
	await callers(12);
	await type('query', 'show replicas');
	for (const host of ['h1', 'h2', 'h3']) {
		await type('run', `stop host ${host}`);
	}

	await waitForRows('show hosts where provider = old', 0);
	await inForceEverywhere();
	await type('query', 'show hosts where service = bp-writers and revision < 0');
	await type('query', 'show fleets');
	await callers(12);
	t.matchSnapshot(session.transcript());
});

// An operator moves a fifth of the traffic by hand and takes it back, then starts
// a rollout in steps. The new fleet has half of the traffic when its answers start
// to be truncated. The rollout stops automatically, long before its next step is
// due, and keeps the share that it has; the operator rolls it back, and every
// caller gets a complete answer again.
t.test('a move that errors of the new fleet stop is rolled back', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 4, oldEngines: 2, entries: 2});
	const {cluster, type, callers, inForceEverywhere, waitForRows, note} = session;
	await loadFirstVersion(session, 'old-halls', 'old', 2);
	await type('run', 'create fleet new-halls provider new for pitch-desk:v1 replicas 2');
	await type('run', '--wait', 'load pitch-desk:v1 on fleet new-halls');
	await type('run', '--wait', 'move 20% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('query', 'show models');
	await callers(24);
	await type('run', 'move 90% of pitch-desk from fleet old-halls to fleet new-halls');
	await type('run', '--wait', 'move 20% of pitch-desk from fleet new-halls to fleet old-halls');
	await type('run', 'move 100% of pitch-desk from fleet old-halls to fleet new-halls in steps of 50% every 600 s stopping above 5%');
	await waitForRows('show moves where moved = 50', 1);
	await inForceEverywhere();
	await type('query', 'show moves');
	await callers(24);
	note('the new fleet breaks off every answer');
	for (const engine of cluster.engines.slice(2)) {
		engine.faults.cutAfterTokens = 0;
	}

	await session.callersUntil('show moves where state = stopped', 1);
	await type('query', 'show moves');
	await type('query', 'show models');
	await type('run', 'retire fleet new-halls');
	await type('run', '--wait', 'roll back move of pitch-desk');
	await type('query', 'show moves');
	await type('query', 'show models');
	await callers(24);
	await type('run', 'resume move of pitch-desk');
	await type('run', '--wait', 'retire fleet new-halls');
	await type('query', 'show fleets');
	await callers(12);
	t.matchSnapshot(session.transcript());
});
