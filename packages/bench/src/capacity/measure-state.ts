import {Buffer} from 'node:buffer';
import {
	mkdtemp, readdir, rm, stat,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {median} from 'simple-statistics';
import {
	createLossBudget, createPresence, createRandom, createRouter, recordAggregate, leaseTimes, planMembership, updateRouter, type Presence, type RouterState,
} from '@bitternpaddle/coordination';
import {
	applyChange, canonicalJsonInSteps, changeSchema, commandSchema, createLedger, copyState, openLogStore, type Catalog, type Command, type LogStore, type ReplicatedState,
} from '@bitternpaddle/state';
import type {SlopeName} from './definitions.js';
import {heapBytesOf, millisecondsOf} from './heap.js';
import {measureMaxStallMs} from './loop-stall.js';
import {
	copyWithHosts, createSampleState, sampleAnnouncement, sampleVersionId,
} from './sample-state.js';
import type {Point} from './slope.js';

/** Creates an entry's router for all hosts; later updates without changed host ids compare every host's record. */
const createFilledRouter = (catalog: Catalog): RouterState => {
	const router = createRouter({
		entryId: 'entry-1', zoneId: 'zone-1', regionId: 'region-1', random: createRandom(1),
	});
	updateRouter(router, catalog, null, 0);
	return router;
};

export type Measured = Partial<Record<SlopeName, readonly Point[]>>;

export const hostCounts = [1500, 3000, 6000, 12_000] as const;
const claimCounts = [5000, 10_000, 20_000, 40_000] as const;
const changeCounts = [1000, 2000, 4000, 8000] as const;

export const withTemporaryFolder = async <Result>(work: (folder: string) => Promise<Result>): Promise<Result> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-capacity-'));
	try {
		return await work(folder);
	} finally {
		await rm(folder, {recursive: true, force: true});
	}
};

/** Returns the heap size of a catalog as a host holds it after a snapshot, in which no strings are shared. */
const catalogBytes = (hosts: number): number => {
	const text = JSON.stringify(createSampleState(hosts).catalog);
	return heapBytesOf(() => JSON.parse(text) as unknown);
};

const ledgerBytes = (claims: number, results: number): number => heapBytesOf(() => {
	const ledger = createLedger();
	ledger.claimCount = claims;
	for (let index = 0; index < claims; index++) {
		ledger.claims[`marshals/ledger/booking-${index}`] = {
			requestId: `request-${index}`, bodyDigest: `sha256:${index.toString(16).padStart(64, '0')}`, atMs: 1_796_000_000_000 + index, place: null,
			state: {
				type: 'ran', status: 200, contentType: 'application/json', body: Buffer.from(JSON.stringify({done: true, key: `booking-${index}`})).toString('base64'),
			},
		};
	}

	for (let index = 0; index < results; index++) {
		const commandId = `command-${index}-${'x'.repeat(20)}`;
		ledger.results[commandId] = {type: 'accepted', revision: index};
		ledger.resultDigests![commandId] = index.toString(16).padStart(32, '0');
		ledger.resultOrder.push(commandId);
	}

	return ledger;
});

/** Creates a leader's presence state after a control host has reported all hosts. */
const createFilledPresence = (hosts: number): Presence => {
	const presence = createPresence({hostLeaseMs: leaseTimes.hostLeaseMs, memberLeaseMs: leaseTimes.leaderLeaseMs});
	const reports = Array.from({length: hosts}, (_, index) => {
		const announcement = sampleAnnouncement(index);
		return {
			hostId: announcement.hostId, role: 'agent' as const, address: announcement.address, revision: 1, requestsInFlight: 0, announcement,
			readyVersionId: readyVersion, isLeaving: false, transfers: [],
		};
	});
	recordAggregate(presence, {
		from: 'c1', epoch: 1, sequence: 0, revision: 1, hosts: reports.map(report => ({session: 1, report})), silent: [], behind: [],
	}, 0);
	return presence;
};

const {change: readinessChange} = commandSchema.parse({
	commandId: null, ifRevision: null, change: {type: 'replicasChanged', readiness: [{hostId: 'host-00000', incarnation: 1, versionId: sampleVersionId}]},
});
const readyVersion = readinessChange.type === 'replicasChanged' ? readinessChange.readiness[0]!.versionId : null;

/** Measures what each host of the system spends when one host is lost and joins again. */
const measureMembership = (catalog: Catalog): {leaveMs: number; joinMs: number} => {
	const announcement = sampleAnnouncement(0);
	const leave = (): unknown => applyChange(catalog, {type: 'hostLeft', hostId: announcement.hostId, incarnation: announcement.incarnation}, catalog.revision + 1);
	const join = (): unknown => applyChange(catalog, {type: 'hostJoined', announcement}, catalog.revision + 1);
	const leaveMs: number[] = [];
	const joinMs: number[] = [];
	for (let round = 0; round < 15; round++) {
		leaveMs.push(millisecondsOf(leave, 1));
		joinMs.push(millisecondsOf(join, 1));
	}

	return {leaveMs: median(leaveMs), joinMs: median(joinMs)};
};

/** Measures the first load of a fleet, which assigns all of its hosts. */
const measureLoad = (state: ReplicatedState): number => {
	const change = changeSchema.parse({type: 'load', versionId: sampleVersionId, fleetId: 'fair'}) as Parameters<typeof applyChange>[1];
	const durationsMs: number[] = [];
	for (let round = 0; round < 3; round++) {
		const {catalog} = copyWithHosts(state, host => ({...host, assignment: null}));
		catalog.fleets.fair = {...catalog.fleets.fair!, isLoaded: false};
		durationsMs.push(millisecondsOf(() => applyChange(catalog, change, catalog.revision + 1), 1));
	}

	return median(durationsMs);
};

type SnapshotCost = {readonly sizeBytes: number; readonly tookMs: number; readonly stallMs: number};

/** Takes snapshots as a control host does: freezes the state, serializes it in steps and saves it. */
const measureSnapshot = async (state: ReplicatedState): Promise<SnapshotCost> => withTemporaryFolder(async folder => {
	const store = await openLogStore({folder});
	const durationsMs: number[] = [];
	const stallsMs: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startedAtMs = performance.now();
		stallsMs.push(await measureMaxStallMs(async () => {
			const text = await canonicalJsonInSteps(copyState(state), {pause: nextTurn});
			await store.saveSnapshot({
				index: state.catalog.revision, term: 1, members: {voters: ['c1'], learners: []}, state: text,
			}, {term: 1, votedFor: 'c1'}, []);
		}));
		durationsMs.push(performance.now() - startedAtMs);
	}

	await store.close();
	const {size: sizeBytes} = await stat(path.join(folder, 'snapshot.json'));
	return {sizeBytes, tookMs: median(durationsMs), stallMs: median(stallsMs)};
});

const createCommand = (number: number): Command => commandSchema.parse({
	commandId: `command-${number}`, ifRevision: null, change: {type: 'createModel', modelId: `model-${number}`},
});

const appendCommands = async (store: LogStore, count: number, batchSize: number): Promise<void> => {
	for (let start = 1; start <= count; start += batchSize) {
		const size = Math.min(batchSize, count - start + 1);
		await store.append(Array.from({length: size}, (_, offset) => ({
			type: 'entry', entry: {index: start + offset, term: 1, payload: {type: 'command', command: createCommand(start + offset)}},
		})));
	}
};

/** Returns the total size of all log segments. */
const logBytes = async (folder: string): Promise<number> => {
	const names = await readdir(folder);
	const sizes = await Promise.all(names.filter(name => name.startsWith('log-')).map(async name => stat(path.join(folder, name))));
	return sizes.reduce((sum, {size}) => sum + size, 0);
};

const measureLog = async (changes: number): Promise<{sizeBytes: number; restartMs: number}> => withTemporaryFolder(async folder => {
	const store = await openLogStore({folder});
	await appendCommands(store, changes, 250);
	await store.close();
	const sizeBytes = await logBytes(folder);
	const restartMs: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startedAtMs = performance.now();
		const reopened = await openLogStore({folder});
		restartMs.push(performance.now() - startedAtMs);
		await reopened.close();
	}

	return {sizeBytes, restartMs: median(restartMs)};
});

/** Measures slopes over the number of hosts in the catalog and over the state that control retains. */
export const measureState = async (): Promise<Measured> => {
	const slopePoints = Object.fromEntries(stateSlopes.map(name => [name, [] as Point[]])) as Record<typeof stateSlopes[number], Point[]>;
	for (const x of hostCounts) {
		slopePoints['control.host.memory'].push({x, y: catalogBytes(x)});
		const state = createSampleState(x);
		const {catalog} = state;
		const router = createFilledRouter(catalog);
		slopePoints['host.catalog.size'].push({x, y: JSON.stringify(catalog).length});
		slopePoints['entry.index.memory'].push({x, y: heapBytesOf(() => createFilledRouter(catalog))});
		slopePoints['entry.index.processor'].push({
			x, y: millisecondsOf(() => {
				updateRouter(router, catalog, null, 1);
			}, 20),
		});
		const presence = createFilledPresence(x);
		slopePoints['control.reconcile.processor'].push({
			x, y: millisecondsOf(() => planMembership({
				catalog, presence, budget: createLossBudget(), nowMs: 1, hostLossMs: 10_000,
			}), 20),
		});
		const snapshot = await measureSnapshot(state);
		slopePoints['control.snapshot.size'].push({x, y: snapshot.sizeBytes});
		slopePoints['control.snapshot.time'].push({x, y: snapshot.tookMs});
		slopePoints['control.snapshot.stall'].push({x, y: snapshot.stallMs});
		const {leaveMs, joinMs} = measureMembership(catalog);
		slopePoints['host.leave.processor'].push({x, y: leaveMs});
		slopePoints['host.join.processor'].push({x, y: joinMs});
	}

	for (const x of [750, 1500, 2250, 3000]) {
		slopePoints['host.load.processor'].push({x: (x / 1000) ** 2, y: measureLoad(createSampleState(x))});
	}

	for (const x of claimCounts) {
		slopePoints['control.claim.memory'].push({x, y: ledgerBytes(x, 0)});
		slopePoints['control.result.memory'].push({x, y: ledgerBytes(0, x)});
	}

	for (const x of changeCounts) {
		const {sizeBytes, restartMs} = await measureLog(x);
		slopePoints['control.log.size'].push({x, y: sizeBytes});
		slopePoints['control.restart.time'].push({x, y: restartMs});
	}

	return slopePoints;
};

const stateSlopes = [
	'control.host.memory',
	'host.catalog.size',
	'entry.index.memory',
	'entry.index.processor',
	'control.reconcile.processor',
	'control.snapshot.size',
	'control.snapshot.time',
	'control.snapshot.stall',
	'host.leave.processor',
	'host.join.processor',
	'host.load.processor',
	'control.claim.memory',
	'control.result.memory',
	'control.log.size',
	'control.restart.time',
] as const satisfies readonly SlopeName[];
