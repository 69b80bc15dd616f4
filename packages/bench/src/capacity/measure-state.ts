import {Buffer} from 'node:buffer';
import {mkdtemp, rm, stat} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {median} from 'simple-statistics';
import {
	createLossBudget, createPresence, createRandom, createRouter, hearFold, leaseTimes, planMembership, updateRouter, type Presence, type RouterState,
} from '@bitternpaddle/coordination';
import {createReplica} from '@bitternpaddle/daemon';
import {
	applyChange, canonicalJson, changeSchema, commandSchema, createLedger, openLogStore, type Catalog, type Command, type LogStore, type ReplicatedState,
} from '@bitternpaddle/state';
import type {SlopeName} from './definitions.js';
import {heapBytesOf, millisecondsOf} from './heap.js';
import {
	copyWithHosts, createSampleState, sampleAnnouncement, sampleVersionId,
} from './sample-state.js';
import type {Point} from './slope.js';

/** An entry's view of all hosts; following a change afterwards compares every host's record. */
const routerOf = (catalog: Catalog): RouterState => {
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

export const withFolder = async <Result>(work: (folder: string) => Promise<Result>): Promise<Result> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-capacity-'));
	try {
		return await work(folder);
	} finally {
		await rm(folder, {recursive: true, force: true});
	}
};

/** As a host holds it after a snapshot: every string is its own. */
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

/** What a leader knows after a control host has told it everything. */
const presenceOf = (hosts: number): Presence => {
	const presence = createPresence({hostLeaseMs: leaseTimes.hostLeaseMs, memberLeaseMs: leaseTimes.wordMs});
	const reports = Array.from({length: hosts}, (_, index) => {
		const announcement = sampleAnnouncement(index);
		return {
			hostId: announcement.hostId, role: 'agent' as const, address: announcement.address, revision: 1, requestsInFlight: 0, announcement,
			readyVersionId: changedVersion, isLeaving: false, transfers: [],
		};
	});
	hearFold(presence, {
		from: 'c1', epoch: 1, sequence: 0, revision: 1, hosts: reports.map(report => ({session: 1, report})), silent: [], behind: [],
	}, 0);
	return presence;
};

const {change: readinessChange} = commandSchema.parse({
	commandId: null, ifRevision: null, change: {type: 'replicasChanged', readiness: [{hostId: 'host-00000', incarnation: 1, versionId: sampleVersionId}]},
});
const changedVersion = readinessChange.type === 'replicasChanged' ? readinessChange.readiness[0]!.versionId : null;

/** A host is lost and comes back: what each host of the system spends on it. */
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

/** The first load of a fleet, which assigns all of its hosts. */
const measureLoad = (state: ReplicatedState): number => {
	const change = changeSchema.parse({type: 'load', versionId: sampleVersionId, fleetId: 'fair'}) as Parameters<typeof applyChange>[1];
	const tookMs: number[] = [];
	for (let round = 0; round < 3; round++) {
		const {catalog} = copyWithHosts(state, host => ({...host, assignment: null}));
		catalog.fleets.fair = {...catalog.fleets.fair!, isLoaded: false};
		tookMs.push(millisecondsOf(() => applyChange(catalog, change, catalog.revision + 1), 1));
	}

	return median(tookMs);
};

const measureSnapshot = async (state: ReplicatedState): Promise<{sizeBytes: number; tookMs: number}> => withFolder(async folder => {
	const store = await openLogStore({folder});
	const replica = createReplica(null);
	replica.state = state;
	const tookMs: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startedAtMs = performance.now();
		await store.saveSnapshot({
			index: state.catalog.revision, term: 1, members: {voters: ['c1'], learners: []}, state: canonicalJson(replica.state),
		}, {term: 1, votedFor: 'c1'}, []);
		tookMs.push(performance.now() - startedAtMs);
	}

	await store.close();
	const {size: sizeBytes} = await stat(path.join(folder, 'snapshot.json'));
	return {sizeBytes, tookMs: median(tookMs)};
});

const commandNumber = (number: number): Command => commandSchema.parse({
	commandId: `command-${number}`, ifRevision: null, change: {type: 'createModel', modelId: `model-${number}`},
});

const appendCommands = async (store: LogStore, count: number, batchSize: number): Promise<void> => {
	for (let start = 1; start <= count; start += batchSize) {
		const size = Math.min(batchSize, count - start + 1);
		await store.append(Array.from({length: size}, (_, offset) => ({
			type: 'entry', entry: {index: start + offset, term: 1, payload: {type: 'command', command: commandNumber(start + offset)}},
		})));
	}
};

const measureLog = async (changes: number): Promise<{sizeBytes: number; restartMs: number}> => withFolder(async folder => {
	const store = await openLogStore({folder});
	await appendCommands(store, changes, 250);
	await store.close();
	const {size: sizeBytes} = await stat(path.join(folder, 'log'));
	const restartMs: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startedAtMs = performance.now();
		const reopened = await openLogStore({folder});
		restartMs.push(performance.now() - startedAtMs);
		await reopened.close();
	}

	return {sizeBytes, restartMs: median(restartMs)};
});

/** Slopes over the hosts in the catalog and over what control keeps. */
export const measureState = async (): Promise<Measured> => {
	const lines = Object.fromEntries(stateSlopes.map(name => [name, [] as Point[]])) as Record<typeof stateSlopes[number], Point[]>;
	for (const x of hostCounts) {
		lines['control.host.memory'].push({x, y: catalogBytes(x)});
		const state = createSampleState(x);
		const {catalog} = state;
		const router = routerOf(catalog);
		lines['host.catalog.size'].push({x, y: JSON.stringify(catalog).length});
		lines['entry.index.memory'].push({x, y: heapBytesOf(() => routerOf(catalog))});
		lines['entry.index.processor'].push({
			x, y: millisecondsOf(() => {
				updateRouter(router, catalog, null, 1);
			}, 20),
		});
		const presence = presenceOf(x);
		lines['control.reconcile.processor'].push({
			x, y: millisecondsOf(() => planMembership({
				catalog, presence, budget: createLossBudget(), nowMs: 1, hostLossMs: 10_000,
			}), 20),
		});
		const snapshot = await measureSnapshot(state);
		lines['control.snapshot.size'].push({x, y: snapshot.sizeBytes});
		lines['control.snapshot.time'].push({x, y: snapshot.tookMs});
		const {leaveMs, joinMs} = measureMembership(catalog);
		lines['host.leave.processor'].push({x, y: leaveMs});
		lines['host.join.processor'].push({x, y: joinMs});
	}

	for (const x of [750, 1500, 2250, 3000]) {
		lines['host.load.processor'].push({x: (x / 1000) ** 2, y: measureLoad(createSampleState(x))});
	}

	for (const x of claimCounts) {
		lines['control.claim.memory'].push({x, y: ledgerBytes(x, 0)});
		lines['control.result.memory'].push({x, y: ledgerBytes(0, x)});
	}

	for (const x of changeCounts) {
		const {sizeBytes, restartMs} = await measureLog(x);
		lines['control.log.size'].push({x, y: sizeBytes});
		lines['control.restart.time'].push({x, y: restartMs});
	}

	return lines;
};

const stateSlopes = [
	'control.host.memory',
	'host.catalog.size',
	'entry.index.memory',
	'entry.index.processor',
	'control.reconcile.processor',
	'control.snapshot.size',
	'control.snapshot.time',
	'host.leave.processor',
	'host.join.processor',
	'host.load.processor',
	'control.claim.memory',
	'control.result.memory',
	'control.log.size',
	'control.restart.time',
] as const satisfies readonly SlopeName[];
