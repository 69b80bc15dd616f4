import {spawn, type ChildProcess} from 'node:child_process';
import {
	appendFile, mkdir, readdir, readFile, rm, symlink, truncate, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import t, {type Test} from 'tap';
import {
	createAgentNode, createControlNode, explainFolderError, waitUntil, type ControlNode, type ControlNodeOptions,
} from '@bitternpaddle/daemon';
import {parseStatement, type Statement} from '@bitternpaddle/protocol';
import {
	commandId, createManifest, encodeFrame, manifestIdOf, modelId, openChunkStore, type LogRecord,
} from '@bitternpaddle/state';
import {createFakeEngine, createFakeOrigin, testFolder} from '@bitternpaddle/test-support';
import {callRpc} from '@bitternpaddle/transport';

const startControl = async (folder: string, options: Partial<ControlNodeOptions> = {}): Promise<ControlNode> => createControlNode({
	selfId: 'c1', folder, members: new Map(), voters: ['c1'], ...options,
});

const createModel = async ({address}: ControlNode, name: string): Promise<boolean> => callRpc<{type: string}>({
	address, method: 'control.propose', timeoutMs: 5000,
	params: {command: {commandId: commandId(name), ifRevision: null, change: {type: 'createModel', modelId: modelId(name)}}},
}).then(({type}) => type === 'accepted', () => false);

const modelsOf = async ({address}: ControlNode): Promise<string[]> => callRpc<{rows: Array<{model: string}>}>({
	address, method: 'control.query', params: {show: {type: 'show', subject: 'models', where: []}}, timeoutMs: 5000,
}).then(({rows}) => rows.map(({model}) => model).toSorted());

const fillFolder = async (folder: string, names: readonly string[], options: Partial<ControlNodeOptions> = {}): Promise<void> => {
	const node = await startControl(folder, options);
	for (const name of names) {
		await waitUntil(name, async () => createModel(node, name));
	}

	await node.close();
};

const assertModels = async (t: Test, folder: string, names: readonly string[]): Promise<void> => {
	const node = await startControl(folder);
	t.teardown(async () => node.close());
	await waitUntil('it is the leader', () => node.isLeader());
	await waitUntil('it has applied its log', async () => (await modelsOf(node)).length === names.length);
	t.same(await modelsOf(node), names);
};

const segmentOf = async (folder: string): Promise<string> => {
	const names = await readdir(folder);
	return path.join(folder, names.filter(name => name.startsWith('log-')).toSorted().at(-1)!);
};

// The data folder of a control host belongs to another host, is damaged or has a
// newer format. The host refuses to start, reports the path and what to do, and
// leaves the folder as it was: with the cause fixed it starts with all its data.
t.test('a control host refuses a folder that it must not use', async t => {
	const folder = path.join(testFolder(t), 'control');
	await fillFolder(folder, ['a', 'b', 'c'], {snapshotEntries: 2});
	const owner = path.join(folder, 'owner.json');
	const snapshot = path.join(folder, 'snapshot.json');
	const segment = await segmentOf(folder);
	const ownOwnerFile = await readFile(owner, 'utf8');
	const newer = encodeFrame([{type: 'lateRecord'} as unknown as LogRecord]);
	const cases: Array<[string, string, (filePath: string) => Promise<void>, RegExp]> = [
		['of another host', owner, async filePath => writeFile(filePath, ownOwnerFile.replace('"c1"', '"c2"')), /belongs to the control host c2, this is the control host c1; give each host/v],
		['of an agent', owner, async filePath => writeFile(filePath, ownOwnerFile.replace('"control"', '"agent"')), /belongs to the agent host c1/v],
		['of a newer format', owner, async filePath => writeFile(filePath, ownOwnerFile.replace('"format":1', '"format":2')), /owner\.json is of format 2, [\s\S]*; start the newer program/v],
		['with a damaged owner', owner, async filePath => truncate(filePath, 5), /owner\.json is damaged; move the folder aside/v],
		['with a truncated snapshot', snapshot, async filePath => truncate(filePath, 40), /control\/snapshot\.json is damaged [\s\S]*restore this host from its peers/v],
		['with a foreign snapshot', snapshot, async filePath => writeFile(filePath, '{"hello":1}'), /control\/snapshot\.json is damaged/v],
		['with newer records', segment, async filePath => appendFile(filePath, newer), /log-\d+: [\s\S]* has records that this program does not know; start the newer program/v],
	];
	for (const [what, filePath, damage, message] of cases) {
		const before = await readFile(filePath);
		await damage(filePath);
		const damaged = await readFile(filePath);
		await t.rejects(startControl(folder), {message}, what);
		t.ok((await readFile(filePath)).equals(damaged), `${what}: left as it was`);
		await writeFile(filePath, before);
	}

	await assertModels(t, folder, ['a', 'b', 'c']);
});

t.test('unknown files in the folder are kept', async t => {
	const folder = path.join(testFolder(t), 'control');
	await fillFolder(folder, ['a']);
	await writeFile(path.join(folder, 'notes.txt'), 'mine');
	await rm(path.join(folder, 'owner.json'));
	await assertModels(t, folder, ['a']);
	t.equal(await readFile(path.join(folder, 'notes.txt'), 'utf8'), 'mine');
	t.match(JSON.parse(await readFile(path.join(folder, 'owner.json'), 'utf8')), {hostId: 'c1'}, 'a folder without an owner file, as earlier versions wrote it, is adopted');
});

t.test('a file is in the place of a folder, or a folder in the place of a file', async t => {
	const root = testFolder(t);
	await writeFile(path.join(root, 'file'), '');
	await t.rejects(startControl(path.join(root, 'file')), {message: /file: a file lies where a folder must be; move it away or give another --data-folder/v});
	await t.rejects(startControl(path.join(root, 'file', 'control')), {message: /a file lies where a folder must be/v});
	await mkdir(path.join(root, 'control', 'log-0000000001'), {recursive: true});
	await t.rejects(startControl(path.join(root, 'control')), {message: /a folder lies where a file must be/v});
});

t.test('errors of the file system explain what to do', async t => {
	const errorOf = (code: string): Error => Object.assign(new Error(`${code}: as the system says it`), {code, path: '/data/x'});
	t.match(explainFolderError(errorOf('EACCES'), '/data').message, '/data/x: this process may not use it; give it to the user that runs the process (EACCES)');
	t.match(explainFolderError(errorOf('EROFS'), '/data').message, 'the disk is read-only');
	t.match(explainFolderError(errorOf('EIO'), '/data').message, 'restore this host from its peers');
	const other = errorOf('ECONNRESET');
	t.equal(explainFolderError(other, '/data'), other);
});

/** Every write to this device fails, as on a full disk. */
const fullDevice = '/dev/full';

// The disk is full when the log is to be replaced by a snapshot. The host stops
// and reports why. What it accepted is on the disk: with free space again it
// starts and has all of it.
t.test('a full disk stops a control host and loses nothing', async t => {
	const folder = path.join(testFolder(t), 'control');
	await mkdir(folder);
	const snapshotLink = path.join(folder, 'snapshot.json.new');
	await symlink(fullDevice, snapshotLink);
	let failure: Error | undefined;
	const node = await startControl(folder, {
		snapshotEntries: 6,
		onFailed(error) {
			failure = error;
		},
	});
	t.teardown(async () => node.close());
	const accepted: string[] = [];
	await waitUntil('the disk is full', async () => {
		const name = `m${accepted.length}`;
		if (await createModel(node, name)) {
			accepted.push(name);
		}

		return failure !== undefined;
	});
	t.match(failure!.message, `${folder}: the disk is full; free space and start again, nothing that was accepted is lost (ENOSPC)`);
	t.notOk(await createModel(node, 'late'), 'it accepts nothing any more');
	await node.close();
	await rm(snapshotLink);
	const restarted = await startControl(folder);
	t.teardown(async () => restarted.close());
	await waitUntil('it is the leader', () => restarted.isLeader());
	await waitUntil('it has every accepted change', async () => {
		const models = await modelsOf(restarted);
		return accepted.every(name => models.includes(name));
	});
	t.ok(accepted.length > 0, `${accepted.length} models`);
});

// The disk becomes full before the first voters have formed their group. The host
// cannot record the voters, so it must not vote: it stops and reports why, instead
// of exiting with an uncaught error.
t.test('a full disk stops a control host that is forming its group', async t => {
	const folder = t.testdir({c1: {}, c2: {}});
	const members = new Map<string, string>();
	const voters = ['c1', 'c2'];
	let failure: Error | undefined;
	const first = await startControl(path.join(folder, 'c1'), {
		members, voters,
		onFailed(error) {
			failure = error;
		},
	});
	t.teardown(async () => first.close());
	await symlink(fullDevice, path.join(folder, 'c1', 'formation.json.new'));
	const second = await startControl(path.join(folder, 'c2'), {selfId: 'c2', members, voters});
	t.teardown(async () => second.close());
	await waitUntil('the first host has stopped', () => failure !== undefined);
	t.match(failure!.message, /the disk is full/v);
	t.notOk(second.isLeader(), 'no group is formed without it');
});

// The same when a process starts: the exit code is 1, and the log names the path
// and what to do.
t.test('a process that cannot use its folder exits with code 1', async t => {
	const root = testFolder(t);
	await mkdir(path.join(root, 'full', 'control'), {recursive: true});
	await symlink(fullDevice, path.join(root, 'full', 'control', 'log-0000000001.new'));
	await mkdir(path.join(root, 'other', 'weights'), {recursive: true});
	await writeFile(path.join(root, 'other', 'weights', 'owner.json'), JSON.stringify({format: 1, role: 'agent', hostId: 'h2'}));
	const controls = 'c1=127.0.0.1:0';
	const cases: Array<[Record<string, string>, RegExp]> = [
		[{
			roles: 'control', 'host-id': 'c1', controls, 'data-folder': path.join(root, 'full'),
		}, /BP9003[\s\S]*full\/control: the disk is full; free space and start again/v],
		[{
			roles: 'agent', 'host-id': 'h1', controls, endpoint: '127.0.0.1:1', 'endpoint-kind': 'plain', 'data-folder': path.join(root, 'other'),
		}, /BP9003[\s\S]*other\/weights belongs to the agent host h2, this is the agent host h1/v],
	];
	for (const [flags, message] of cases) {
		const {code, text} = await runDaemon(t, flags);
		t.equal(code, 1);
		t.match(text, message);
	}
});

const runDaemon = async (t: Test, flags: Record<string, string>): Promise<{code: number | null; text: string}> => new Promise(resolve => {
	const child: ChildProcess = spawn(process.execPath, [
		path.resolve('packages/daemon/bin/bitternpaddled.js'), 'run', ...Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]),
	], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	let text = '';
	const collect = (data: Uint8Array): void => {
		text += new TextDecoder().decode(data);
	};

	child.stdout!.on('data', collect);
	child.stderr!.on('data', collect);
	child.once('close', code => {
		resolve({code, text});
	});
});

// The disk of an agent is full while it fetches weights. Its process must continue,
// since requests run there; the operator sees the error, and the host is not
// reported as ready.
t.test('a full disk fails a transfer and not the agent', async t => {
	const root = testFolder(t);
	const origin = await createFakeOrigin();
	const engine = await createFakeEngine();
	const {manifestId} = await origin.publish(new Uint8Array(200_000).fill(7), 65_536);
	const folder = path.join(root, 'h1');
	const unusedWeights = path.join(folder, `${'0'.repeat(64)}.weights`);
	await mkdir(folder, {recursive: true});
	await writeFile(unusedWeights, 'of no version');
	const members = new Map<string, string>();
	const control = await startControl(path.join(root, 'c1'), {members});
	const agent = await createAgentNode({
		hostId: 'h1', zoneId: 'z', regionId: 'r', serviceId: 's', provider: 'new', kind: 'engine', endpointAddress: engine.address, controls: [control.address],
		originAddress: origin.address, folder,
	});
	t.teardown(async () => {
		await agent.kill();
		await control.close();
		await Promise.all([engine.close(), origin.close()]);
	});
	const queryRows = async (subject: string): Promise<Array<Record<string, unknown>>> => callRpc<{rows: Array<Record<string, unknown>>}>({
		address: control.address, method: 'control.query', params: {show: {type: 'show', subject, where: []}}, timeoutMs: 5000,
	}).then(({rows}) => rows, () => []);
	await waitUntil('the agent joined', async () => (await queryRows('hosts')).some(({host}) => host === 'h1'));
	// The fake full disk must not be in place earlier: a starting agent removes files that belong to no version, some time after it has joined.
	await waitUntil('files that belong to no version are removed', async () => !(await readdir(folder)).includes(path.basename(unusedWeights)));
	await symlink(fullDevice, path.join(folder, `${manifestId.slice('sha256:'.length)}.weights`));
	for (const line of [
		'create model m',
		`create version m:v1 from manifest ${manifestId}`,
		'create fleet f provider new for m:v1 replicas 1',
		'load m:v1 on fleet f',
	]) {
		const statement = parseStatement(line).unsafeCoerce() as Extract<Statement, {type: 'change'}>;
		await callRpc({
			address: control.address, method: 'control.propose', timeoutMs: 5000, params: {command: {commandId: line.replaceAll(' ', '-').slice(0, 40), ifRevision: null, change: statement.change}},
		});
	}

	await waitUntil('the operator sees the error', async () => (await queryRows('transfers')).some(({detail}) => String(detail).includes('cannot be stored: ENOSPC')));
	t.same((await queryRows('replicas')).map(({ready}) => ready), [false]);
	t.equal(engine.heldDigest(), null, 'the engine was not told to load an incomplete file');
});

t.test('a chunk that does not fit on the disk is not reported as held', async t => {
	const folder = testFolder(t);
	const data = new Uint8Array(1000).fill(7);
	const manifest = await createManifest([data], {chunkSizeBytes: 1000});
	const manifestId = manifestIdOf(manifest);
	const filePath = path.join(folder, `${manifestId.slice('sha256:'.length)}.weights`);
	await symlink(fullDevice, filePath);
	const full = await openChunkStore({folder, manifestId, manifest});
	await t.rejects(full.put(0, data), {code: 'ENOSPC'});
	t.same(full.heldChunks(), []);
	await full.close();
	await rm(filePath);
	const store = await openChunkStore({folder, manifestId, manifest});
	t.ok(await store.put(0, data), 'with free space it is stored');
	t.same(store.heldChunks(), [0]);
	await store.close();
});
