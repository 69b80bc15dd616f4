import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {sendLine, waitUntil} from '@bitternpaddle/daemon';
import {freeAddresses} from '@bitternpaddle/test-support';

/** The smallest complete system as deployed in production: each role runs in its own process. */
export type ProcessCluster = {
	readonly entryAddress: string;
	readonly engineAddress: string;
	close(): Promise<void>;
};

export type ProcessClusterOptions = {
	/** Folder for the `--cpu-prof` files of entry and agent; without it no profile is written. */
	readonly profileFolder?: string;
};

const daemonFile = fileURLToPath(new URL('../../daemon/bin/bitternpaddled.js', import.meta.url));
const adminToken = 'bench-token';
export const benchTeamKey = 'bench-key';
const weightsBytes = 100_000;

/** A started process, kept so that it can be stopped by its id, and the lines that it has printed. */
type StartedProcess = {readonly child: ChildProcess; readonly lines: string[]};

const startProcess = (flags: readonly string[], nodeFlags: readonly string[] = []): StartedProcess => {
	const child = spawn(process.execPath, [...nodeFlags, daemonFile, ...flags], {stdio: ['ignore', 'pipe', 'pipe']});
	const lines: string[] = [];
	for (const stream of [child.stdout, child.stderr]) {
		createInterface({input: stream}).on('line', line => {
			lines.push(line);
		});
	}

	return {child, lines};
};

const waitForLine = async ({lines}: StartedProcess, pattern: RegExp): Promise<string> => {
	let found: string | undefined;
	await waitUntil(String(pattern), () => {
		found = lines.map(line => pattern.exec(line)?.[1]).find(match => match !== undefined);
		return found !== undefined;
	});
	return found!;
};

const stopProcess = async ({child}: StartedProcess): Promise<void> => {
	if (child.exitCode !== null) {
		return;
	}

	const exited = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	await exited;
};

export const createProcessCluster = async ({profileFolder}: ProcessClusterOptions = {}): Promise<ProcessCluster> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-bench-'));
	const weightsFile = path.join(folder, 'weights.bin');
	await writeFile(weightsFile, new Uint8Array(weightsBytes).fill(7));
	const controls = `c1=${(await freeAddresses(1))[0]}`;
	const profile = profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
	const engine = startProcess(['fake', 'engine']);
	const origin = startProcess(['fake', 'origin', weightsFile]);
	const engineAddress = await waitForLine(engine, /listens on (\S+)/v);
	const originAddress = await waitForLine(origin, /listens on (\S+)/v);
	const manifestId = await waitForLine(origin, /(sha256:\w+)/v);
	const control = startProcess(['run', '--roles', 'control', '--host-id', 'c1', '--listen', controls.slice(3), '--controls', controls, '--data-folder', path.join(folder, 'c1')]);
	const entry = startProcess(['run', '--roles', 'entry', '--host-id', 'e1', '--controls', controls, '--admin-tokens', `administer:${adminToken}`], profile);
	const agent = startProcess([
		'run',
		'--roles',
		'agent',
		'--host-id',
		'h1',
		'--controls',
		controls,
		'--endpoint',
		engineAddress,
		'--origin',
		originAddress,
		'--data-folder',
		path.join(folder, 'h1'),
		'--capacity',
		'256',
	], profile);
	const entryAddress = await waitForLine(entry, /"address":"([^"]+)"/v);
	const admin = {address: entryAddress, token: adminToken};
	const countRows = async (line: string): Promise<number> => (await sendLine({...admin, line})).body.rows?.length ?? 0;
	await waitUntil('the agent has joined', async () => await countRows('show hosts where role = agent') === 1);
	for (const line of [
		`create team bench key ${benchTeamKey}`,
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${manifestId}`,
		'create fleet bench provider default for pitch-desk:v1 replicas 1',
		'load pitch-desk:v1 on fleet bench',
	]) {
		await sendLine({...admin, line});
	}

	await waitUntil('the replica is ready', async () => await countRows('show replicas where ready = true') === 1);
	return {
		entryAddress, engineAddress,
		async close() {
			// An agent deregisters from control when it stops, so control stops after it.
			for (const started of [entry, agent, control, engine, origin]) {
				await stopProcess(started);
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
};
