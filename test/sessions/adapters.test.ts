import {postJson, randomWeights} from '@bitternpaddle/daemon';
import {manifestId} from '@bitternpaddle/state';
import t from 'tap';
import {
	loadFirstVersion, startSession, streamBody, teamKey,
} from '../support/session.js';

// An operator manages an adapter through its whole life cycle and meets every
// error: it is created, loaded, requested by a caller, superseded by a new
// version, withdrawn and retired.
t.test('an adapter from its creation to its retirement', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 2, entries: 1});
	const {cluster, type, note} = session;
	const publish = async (seed: number, base: number): Promise<string> => {
		const published = await cluster.origin.publish(randomWeights(seed, 64 * 1024), 16 * 1024, manifestId(cluster.manifestIds[base]!));
		return published.manifestId;
	};

	const tone = await publish(11, 0);
	const secondTone = await publish(12, 1);
	const requestModel = async (model: string): Promise<void> => {
		const {status, text} = await postJson({
			address: cluster.entries[0]!.address, token: teamKey, path: '/v1/chat/completions', body: {...streamBody('menu', 1), model},
		});
		const fingerprint = /"system_fingerprint":"(?<digests>[^"]+)"/v.exec(text)?.groups?.digests;
		const summary = fingerprint === undefined ? (JSON.parse(text) as {error: {message: string}}).error.message : `from ${fingerprint.split('+').length} sets of weights`;
		note(`a caller asks for ${model}: ${status}, ${summary}`);
	};

	await loadFirstVersion(session, 'fair', 'new', 2);
	await type('run', `create adapter pitch-desk:v9/menu-tone from manifest ${tone}`);
	await type('run', `create adapter menu-tone from manifest ${tone}`);
	await type('run', `create adapter pitch-desk:v1/menu-tone from manifest ${tone}`);
	await type('run', `create adapter pitch-desk:v1/menu-tone from manifest ${secondTone}`);
	await session.inForceEverywhere();
	await requestModel('pitch-desk/menu-tone');
	await requestModel('pitch-desk/other-tone');
	await type('run', 'load adapter pitch-desk:v1/other-tone on fleet fair');
	await type('run', 'load adapter pitch-desk:v1/menu-tone on fleet none');
	await type('run', '--wait', 'load adapter pitch-desk:v1/menu-tone on fleet fair');
	await session.inForceEverywhere();
	await type('query', 'show adapters');
	await type('query', 'show replicas');
	await type('query', 'explain replica h1');
	await requestModel('pitch-desk/menu-tone');
	await requestModel('pitch-desk');
	await type('run', 'retire adapter pitch-desk:v1/menu-tone');
	await type('run', `create version pitch-desk:v2 from manifest ${cluster.manifestIds[1]}`);
	await type('run', `create adapter pitch-desk:v2/menu-tone from manifest ${secondTone}`);
	await type('run', '--wait', 'load adapter pitch-desk:v2/menu-tone on fleet fair');
	await type('run', '--wait', 'load pitch-desk:v2 on fleet fair');
	await session.waitForRows('show adapters where adapter = pitch-desk:v2/menu-tone and ready = 2', 1);
	await session.inForceEverywhere();
	await type('query', 'show adapters');
	await requestModel('pitch-desk/menu-tone');
	await type('run', 'unload adapter pitch-desk:v2/menu-tone from fleet fair');
	await type('run', 'unload adapter pitch-desk:v2/menu-tone from fleet fair');
	await session.inForceEverywhere();
	await requestModel('pitch-desk/menu-tone');
	await session.waitForRows('show adapters where adapter = pitch-desk:v2/menu-tone and ready = 0', 1);
	await type('run', 'withdraw adapter pitch-desk:v1/menu-tone');
	await type('run', 'load adapter pitch-desk:v1/menu-tone on fleet fair');
	await type('run', 'retire adapter pitch-desk:v1/menu-tone');
	await type('query', 'show adapters');
	t.matchSnapshot(session.transcript());
});
