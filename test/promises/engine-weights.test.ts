import {readdir} from 'node:fs/promises';
import {
	createFailureCluster, loadFirstVersion, mustOperate, queryRows, waitUntil, type FailureCluster, type FailureClusterOptions,
} from '@bitternpaddle/daemon';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';

const startCluster = async (t: Test, options: FailureClusterOptions): Promise<FailureCluster> => {
	const cluster = await createFailureCluster(options);
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	return cluster;
};

const readyCount = async (cluster: FailureCluster, versionId: string): Promise<number> => (await queryRows(cluster, `show replicas where ready = true and version = ${versionId}`)).length;

// The engine ignores fencing numbers and executes an outdated load command without
// its agent's knowledge. The agent notices, withdraws readiness, loads the version
// in force again, and reports it ready; the engine ends up with the right weights.
t.test('an engine that executed an outdated load command is corrected', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t, {engines: 2, checksFencing: false});
	await mustOperate(cluster, 'load pitch-desk:v2 on fleet fair');
	await waitUntil('the second version is ready', async () => await readyCount(cluster, 'pitch-desk:v2') === 2);
	const [, engine] = [...cluster.engines][0]!;
	const response = await sendHttp({
		address: engine.address, method: 'POST', path: '/engine/load', idleTimeoutMs: 5000,
		body: JSON.stringify({versionId: 'pitch-desk:v1', filePath: engine.loadedFiles[0]!, fencingNumber: 1}),
	});
	await readBody(response);
	t.equal(engine.heldDigest(), cluster.manifests[0]!.digest, 'it executed the command');
	await waitUntil('the engine holds the version in force again', () => engine.heldDigest() === cluster.manifests[1]!.digest);
	await waitUntil('both are ready', async () => await readyCount(cluster, 'pitch-desk:v2') === 2);
	t.pass('ready again');
});

// A version is withdrawn while its chunks are being transferred. Fetching stops,
// its transfer and its files are removed, and the engines still hold the version
// that was in force before.
t.test('a version withdrawn during its transfer', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t, {
		engines: 3, weights: {transferLimits: {inBytesPerSecond: 16 * 1024, outBytesPerSecond: 16 * 1024}},
	});
	const transfers = async () => queryRows(cluster, 'show transfers where version = pitch-desk:v2');
	await mustOperate(cluster, 'load pitch-desk:v2 on fleet fair');
	await waitUntil('all hosts fetch', async () => (await transfers()).length === 3);
	await mustOperate(cluster, 'withdraw version pitch-desk:v2');
	await waitUntil('the transfers are removed', async () => (await transfers()).length === 0);
	const sentBytes = cluster.origin.sentBytes();
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	t.ok(cluster.origin.sentBytes() - sentBytes <= 16 * 1024, 'the origin sends no more than what was in flight');
	await waitUntil('the first version is ready', async () => await readyCount(cluster, 'pitch-desk:v1') === 3);
	for (const engine of cluster.engines.values()) {
		t.equal(engine.heldDigest(), cluster.manifests[0]!.digest);
		const [filePath] = engine.loadedFiles;
		const files = await readdir(filePath!.slice(0, filePath!.lastIndexOf('/')));
		t.equal(files.filter(name => name.endsWith('.weights')).length, 1, 'only the file of the first version is left');
	}
});
