import {setTimeout as delay} from 'node:timers/promises';
import {createConfigurationClient, waitUntil, type ConfigurationClient} from '@bitternpaddle/daemon';
import {commandSchema, type Command} from '@bitternpaddle/state';
import {silentLogger} from '@bitternpaddle/transport';
import {median} from 'simple-statistics';
import type {SlopeName} from './definitions.js';
import {withTemporaryFolder, type Measured} from './measure-state.js';
import {readMemory, measureUsage, type ProcessUsage} from './process-usage.js';
import {
	startupTimeoutMs, startControls, type ControlProcess, type Controls,
} from './start-controls.js';
import {sampleAnnouncement} from './sample-state.js';
import type {Point} from './slope.js';

const watcherCounts = [400, 250, 120, 50] as const;
const warmUpMs = 3000;
const memberCounts = [3, 5, 9, 17] as const;
const idleMs = 8000;
const changes = 40;
const changeIntervalMs = 50;
const maxSubmitAttempts = 100;

type Watcher = {readonly client: ConfigurationClient; leave(): void};

/** Starts the daemon's watch client for one host, without an endpoint. It leaves explicitly, because control removes only a few silent hosts per minute. */
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

/** Submits a command and resends it under the same id while control has no leader, which can lose its lease for a moment on a busy machine. */
const submitCommand = async (client: ConfigurationClient, command: Command): Promise<number> => {
	for (let left = maxSubmitAttempts; ; left--) {
		const result = await client.propose(command).catch(() => null);
		if (result?.type === 'accepted') {
			return result.revision;
		}

		if (left === 0) {
			throw new Error(`the command was not accepted: ${result?.type ?? 'no response'}`);
		}

		await delay(changeIntervalMs);
	}
};

/** Submits changes one after the other and returns the median time from the command until it has reached the last watcher. */
const measureChanges = async (clients: readonly ConfigurationClient[], firstNumber: number): Promise<number> => {
	const latenciesMs: number[] = [];
	for (let index = 0; index < changes; index++) {
		const startedAtMs = performance.now();
		const revision = await submitCommand(clients[0]!, commandSchema.parse({
			commandId: `change-${firstNumber + index}`, ifRevision: null, change: {type: 'createModel', modelId: `model-${firstNumber + index}`},
		}));
		await Promise.all(clients.map(async client => client.waitForRevision(revision, 10_000)));
		latenciesMs.push(performance.now() - startedAtMs);
		await delay(changeIntervalMs);
	}

	return median(latenciesMs);
};

/**
 * Lets all watching hosts join, waits for the code to warm up, and measures while
 * their number decreases. In increasing order the later, larger counts would be
 * measured on better optimized code, and the slope would be too small.
 */
const measureWithWatchers = async (address: string, measure: (clients: readonly ConfigurationClient[]) => Promise<void>): Promise<void> => {
	const watchers = Array.from({length: Math.max(...watcherCounts)}, (_, index) => startWatcher(index, address));
	try {
		for (const count of watcherCounts) {
			for (const {leave} of watchers.slice(count)) {
				leave();
			}

			const clients = watchers.slice(0, count).map(({client}) => client);
			await waitUntil(`${count} hosts have joined`, async () => clients.every(client => Object.keys(client.catalog().hosts).length === count), {timeoutMs: startupTimeoutMs});
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

/** Usage per second while nothing changes. */
const measureIdleUsage = async ({pid}: ControlProcess): Promise<ProcessUsage> => {
	const {processorMs, transferBytes} = await measureUsage(pid, async () => delay(idleMs));
	return {processorMs: processorMs / idleMs * 1000, transferBytes: transferBytes / idleMs * 1000};
};

/**
 * Measures hosts that watch the leader. All of them run in this process, so the latency to
 * the last one includes the time that this process needs for all. Changes follow each
 * other so closely that no host's long poll expires between them: each change costs
 * one renewal per host, and no idle renewals need to be subtracted.
 */
const measureLeader = async ({leader}: Controls, slopePoints: SlopePoints): Promise<void> => {
	await measureWithWatchers(leader.address, async clients => {
		const x = clients.length;
		const idle = await measureIdleUsage(leader);
		slopePoints['control.watch.processor'].push({x, y: idle.processorMs});
		slopePoints['control.watch.bytes'].push({x, y: idle.transferBytes});
		slopePoints['control.watch.memory'].push({x, y: (await readMemory(leader.pid)).privateBytes});
		let latencyMs = 0;
		const busy = await measureUsage(leader.pid, async () => {
			latencyMs = await measureChanges(clients, x * 100);
		});
		slopePoints['control.change.processor'].push({x, y: busy.processorMs / changes});
		slopePoints['control.change.bytes'].push({x, y: busy.transferBytes / changes});
		slopePoints['control.change.latency'].push({x, y: latencyMs});
	});
};

/** Measures hosts that watch a follower, which aggregates their reports into messages to the leader. */
const measureAggregation = async ({leader, followers}: Controls, slopePoints: SlopePoints): Promise<void> => measureWithWatchers(followers[0]!.address, async clients => {
	const x = clients.length;
	const idle = await measureIdleUsage(leader);
	slopePoints['control.fold.processor'].push({x, y: idle.processorMs});
	slopePoints['control.fold.bytes'].push({x, y: idle.transferBytes});
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

type SlopePoints = Record<typeof controlSlopes[number], Point[]>;

/** Measures what each further member costs the leader while idle: heartbeats and their responses. */
const measureMembers = async (slopePoints: SlopePoints): Promise<void> => {
	for (const count of memberCounts) {
		await withTemporaryFolder(async folder => {
			const controls = await startControls(folder, count);
			try {
				await delay(2000);
				const idle = await measureIdleUsage(controls.leader);
				slopePoints['control.member.processor'].push({x: count - 1, y: idle.processorMs});
				slopePoints['control.member.bytes'].push({x: count - 1, y: idle.transferBytes});
			} finally {
				await controls.terminate();
			}
		});
	}
};

/** Measures slopes of real control processes, with a separate cluster for each part. */
export const measureControl = async (): Promise<Measured> => {
	const slopePoints = Object.fromEntries(controlSlopes.map(name => [name, [] as Point[]])) as SlopePoints;
	await measureMembers(slopePoints);
	for (const measure of [measureLeader, measureAggregation]) {
		await withTemporaryFolder(async folder => {
			const controls = await startControls(folder);
			try {
				await measure(controls, slopePoints);
			} finally {
				await controls.terminate();
			}
		});
	}

	return slopePoints;
};
