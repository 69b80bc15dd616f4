import {setTimeout as delay} from 'node:timers/promises';
import {createConfigurationClient, waitUntil, type ConfigurationClient} from '@bitternpaddle/daemon';
import {commandSchema, type Command} from '@bitternpaddle/state';
import {silentLogger} from '@bitternpaddle/transport';
import {median} from 'simple-statistics';
import type {SlopeName} from './definitions.js';
import {withFolder, type Measured} from './measure-state.js';
import {readMemory, usageBetween, type ProcessUsage} from './process-usage.js';
import {
	patienceMs, startControls, type ControlProcess, type Controls,
} from './start-controls.js';
import {sampleAnnouncement} from './sample-state.js';
import type {Point} from './slope.js';

const watcherCounts = [400, 250, 120, 50] as const;
const warmUpMs = 3000;
const memberCounts = [3, 5, 9, 17] as const;
const idleMs = 8000;
const changes = 40;
const changeGapMs = 50;
const orderTries = 100;

type Watcher = {readonly client: ConfigurationClient; leave(): void};

/** A watching host as the daemon has it, without its endpoint. It says goodbye, since hosts that fall silent are taken out only a few a minute. */
const startWatcher = (number: number, address: string): Watcher => {
	const announcement = sampleAnnouncement(number);
	let isLeaving = false;
	const client: ConfigurationClient = createConfigurationClient({
		controls: [address], logger: silentLogger, onChange: () => undefined,
		report: () => ({
			hostId: announcement.hostId, role: 'agent', address: announcement.address, revision: client.catalog().revision, requestsInFlight: 0,
			announcement, readyVersionId: null, isLeaving, transfers: [],
		}),
	});
	return {
		client,
		leave() {
			isLeaving = true;
		},
	};
};

/** Resent under its id while control has no leader: on a busy machine it may lose its lease for a moment. */
const order = async (client: ConfigurationClient, command: Command): Promise<number> => {
	for (let left = orderTries; ; left--) {
		const result = await client.propose(command).catch(() => null);
		if (result?.type === 'accepted') {
			return result.revision;
		}

		if (left === 0) {
			throw new Error(`the change was ${result?.type ?? 'not answered'}`);
		}

		await delay(changeGapMs);
	}
};

/** Orders changes one after the other; gives the time from order to the last watcher, the median of all. */
const measureChanges = async (clients: readonly ConfigurationClient[], firstNumber: number): Promise<number> => {
	const latenciesMs: number[] = [];
	for (let index = 0; index < changes; index++) {
		const startedAtMs = performance.now();
		const revision = await order(clients[0]!, commandSchema.parse({
			commandId: `change-${firstNumber + index}`, ifRevision: null, change: {type: 'createModel', modelId: `model-${firstNumber + index}`},
		}));
		await Promise.all(clients.map(async client => client.reach(revision, 10_000)));
		latenciesMs.push(performance.now() - startedAtMs);
		await delay(changeGapMs);
	}

	return median(latenciesMs);
};

/**
 * Lets all watching hosts join, waits until the code is warm, and measures
 * while their number falls. The other way round the later, larger counts would
 * be measured on faster code, and the slope would come out too small.
 */
const withWatchers = async (address: string, measure: (clients: readonly ConfigurationClient[]) => Promise<void>): Promise<void> => {
	const watchers = Array.from({length: Math.max(...watcherCounts)}, (_, index) => startWatcher(index, address));
	try {
		for (const count of watcherCounts) {
			for (const {leave} of watchers.slice(count)) {
				leave();
			}

			const clients = watchers.slice(0, count).map(({client}) => client);
			await waitUntil(`${count} hosts are known`, async () => clients.every(client => Object.keys(client.catalog().hosts).length === count), {timeoutMs: patienceMs});
			for (const {client} of watchers.splice(count)) {
				client.close();
			}

			await delay(warmUpMs);
			await measure(clients);
		}
	} finally {
		for (const {client} of watchers) {
			client.close();
		}
	}
};

/** Use a second while nothing changes. */
const idleUse = async ({pid}: ControlProcess): Promise<ProcessUsage> => {
	const {processorMs, transferBytes} = await usageBetween(pid, async () => delay(idleMs));
	return {processorMs: processorMs / idleMs * 1000, transferBytes: transferBytes / idleMs * 1000};
};

/**
 * Hosts watch at the leader. All share this process: the latency
 * to the last of them includes the time that it needs for all. Changes come so
 * close that no host's wait runs out between them: each change costs one
 * renewal by each host, and nothing is taken off for idle renewals.
 */
const measureLeader = async ({leader}: Controls, lines: Lines): Promise<void> => {
	await withWatchers(leader.address, async clients => {
		const x = clients.length;
		const idle = await idleUse(leader);
		lines['control.watch.processor'].push({x, y: idle.processorMs});
		lines['control.watch.bytes'].push({x, y: idle.transferBytes});
		lines['control.watch.memory'].push({x, y: (await readMemory(leader.pid)).privateBytes});
		let latencyMs = 0;
		const busy = await usageBetween(leader.pid, async () => {
			latencyMs = await measureChanges(clients, x * 100);
		});
		lines['control.change.processor'].push({x, y: busy.processorMs / changes});
		lines['control.change.bytes'].push({x, y: busy.transferBytes / changes});
		lines['control.change.latency'].push({x, y: latencyMs});
	});
};

/** The hosts watch at a follower, which folds what they report into messages to the leader. */
const measureFold = async ({leader, followers}: Controls, lines: Lines): Promise<void> => withWatchers(followers[0]!.address, async clients => {
	const x = clients.length;
	const idle = await idleUse(leader);
	lines['control.fold.processor'].push({x, y: idle.processorMs});
	lines['control.fold.bytes'].push({x, y: idle.transferBytes});
});

const controlSlopes = [
	'control.member.processor',
	'control.member.bytes',
	'control.watch.processor',
	'control.watch.bytes',
	'control.watch.memory',
	'control.change.processor',
	'control.change.bytes',
	'control.change.latency',
	'control.fold.processor',
	'control.fold.bytes',
] as const satisfies readonly SlopeName[];

type Lines = Record<typeof controlSlopes[number], Point[]>;

/** What the leader spends on each further member while nothing happens: heartbeats and their answers. */
const measureMembers = async (lines: Lines): Promise<void> => {
	for (const count of memberCounts) {
		await withFolder(async folder => {
			const controls = await startControls(folder, count);
			try {
				await delay(2000);
				const idle = await idleUse(controls.leader);
				lines['control.member.processor'].push({x: count - 1, y: idle.processorMs});
				lines['control.member.bytes'].push({x: count - 1, y: idle.transferBytes});
			} finally {
				await controls.end();
			}
		});
	}
};

/** Slopes of real control processes, one cluster for each part. */
export const measureControl = async (): Promise<Measured> => {
	const lines = Object.fromEntries(controlSlopes.map(name => [name, [] as Point[]])) as Lines;
	await measureMembers(lines);
	for (const measure of [measureLeader, measureFold]) {
		await withFolder(async folder => {
			const controls = await startControls(folder);
			try {
				await measure(controls, lines);
			} finally {
				await controls.end();
			}
		});
	}

	return lines;
};
