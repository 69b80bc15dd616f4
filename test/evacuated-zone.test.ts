import t from 'tap';
import {waitUntil} from '@bitternpaddle/daemon';
import {createRequestCluster, isCompleteStream} from './support/request-cluster.js';

// An entry is partitioned from the control host and does not receive the evacuation. It
// still sends requests into the zone: the hosts there refuse them as not run, and they are
// served by a host of another zone.
t.test('a host of an evacuated zone refuses requests of an entry that has not received the evacuation', async t => {
	const cluster = await createRequestCluster(t, {engines: 2, entries: 2, zoneIds: ['salem-hall', 'tacoma-hall']});
	await cluster.load(1);
	cluster.controlRelay.setModes({forward: 'dropped', backward: 'dropped'});
	await cluster.run('evacuate zone salem-hall');
	await waitUntil('the host has received the evacuation', () => cluster.engines[0]!.agent.inForce().revision > cluster.entries[0]!.inForce().revision);
	const before = cluster.engines[0]!.endpoint.runs.length;
	const answers = await Promise.all(Array.from({length: 8}, async (_, index) => cluster.chat({content: `later ${index}`, entry: 0})));
	t.ok(answers.every(answer => isCompleteStream(answer)), 'all are served');
	t.equal(cluster.engines[0]!.endpoint.runs.length, before, 'the evacuated host gets none');
});
