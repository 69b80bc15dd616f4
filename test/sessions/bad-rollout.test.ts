import t from 'tap';
import {loadFirstVersion, startSession} from '../support/session.js';

// A second version is loaded on a small fleet that has a share of the traffic,
// and its answers are truncated after two tokens. The operator takes the traffic
// back and withdraws the version; the small fleet returns to the first one, and
// callers get complete answers again.
t.test('a bad rollout stopped and rolled back', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 4, oldEngines: 2, entries: 2});
	const {cluster, type, callers, note} = session;
	await loadFirstVersion(session, 'stable', 'new', 2);
	await type('run', `create version pitch-desk:v2 from manifest ${cluster.manifestIds[1]}`);
	await type('run', 'create fleet canary provider old for pitch-desk:v1 replicas 2');
	await type('run', '--wait', 'load pitch-desk:v1 on fleet canary');
	await type('run', '--wait', 'move 50% of pitch-desk from fleet stable to fleet canary');
	await type('run', '--wait', 'load pitch-desk:v2 on fleet canary');
	await type('query', 'show replicas');
	note('the second version breaks off after two tokens');
	for (const engine of cluster.engines.slice(0, 2)) {
		engine.faults.cutAfterTokens = 2;
	}

	await callers(40);
	await type('run', '--wait', 'move 50% of pitch-desk from fleet canary to fleet stable');
	await callers(20);
	await type('run', 'withdraw version pitch-desk:v1');
	await type('run', '--wait', 'withdraw version pitch-desk:v2');
	await session.waitForRows('show replicas where ready = true and version = pitch-desk:v1', 4);
	await type('query', 'show versions');
	await type('query', 'show fleets');
	await type('run', 'load pitch-desk:v2 on fleet stable');
	await callers(20);
	t.matchSnapshot(session.transcript());
});
