import {
	chooseEndpoint, createRandom, createRouter, recordEnd, recordFirstByte, recordStart, setEntries, updateRouter, type RouterState, type RouteTarget,
} from '@bitternpaddle/coordination';
import {manifestId, type Catalog} from '@bitternpaddle/state';
import {createBenchCatalog, createBenchRecord} from './catalog.js';

const rounds = 12;
const decisions = 40_000;
const heldRequests = 64;

const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

const createHosts = (count: number) => Array.from({length: count}, (_, index) => ({hostId: `h${index}`, zoneId: ['tacoma-hall', 'salem-hall', 'spokane-hall'][index % 3]!, capacity: 16}));

/** Adds an adapter that a share of the hosts holds, as during a load. */
const addAdapter = (catalog: Catalog, holdersPercent: number): void => {
	catalog.adapters['m:v1/tone'] = {
		versionId: 'm:v1', adapterId: 'tone', manifestId: manifestId(`sha256:${'0'.repeat(64)}`), isWithdrawn: false,
	};
	catalog.fleets.f = {...catalog.fleets.f!, adapters: {keys: ['m:v1/tone'], fencingNumber: 1}};
	for (const [index, [hostId, host]] of Object.entries(catalog.hosts).entries()) {
		if (index % 100 < holdersPercent) {
			catalog.hosts[hostId] = {...host, readyAdapterIds: ['tone']};
		}
	}
};

const createLoadedRouter = (count: number, seed: number, entries: number, holdersPercent = 0) => {
	const catalog = createBenchCatalog(createHosts(count));
	addAdapter(catalog, holdersPercent);
	const router = createRouter({
		entryId: 'e1', zoneId: 'tacoma-hall', regionId: 'puget', random: createRandom(seed),
	});
	updateRouter(router, catalog, null, 0);
	const entryIds = Array.from({length: entries}, (_, index) => `e${index + 1}`);
	let isDone = false;
	while (!isDone) {
		isDone = setEntries(router, entryIds, 0);
	}

	return {catalog, router};
};

export type DecisionCost = {
	readonly micros: number;
	/** Number of endpoints to which the entry keeps connections. */
	readonly known: number;
};

/** Creates a function that makes one complete decision (choice, start, first byte, end); every second one has a prefix. */
const createDecider = (router: RouterState, target: RouteTarget): ((index: number) => void) => {
	const startedHostIds: string[] = [];
	const tried = new Set<string>();
	return index => {
		const nowMs = index / 10;
		const choice = chooseEndpoint(router, {target, tried, prefixKey: index % 2 === 0 ? `prefix-${index % 97}` : null}, nowMs);
		if (choice.type !== 'chosen') {
			throw new Error(choice.type);
		}

		recordStart(router, choice.endpoint.hostId, nowMs);
		startedHostIds.push(choice.endpoint.hostId);
		if (startedHostIds.length > heldRequests) {
			const endedHostId = startedHostIds.shift()!;
			recordFirstByte(router, endedHostId, nowMs);
			recordEnd(router, endedHostId, {outcome: {type: 'answered', latencyMs: 10}, hadFirstByte: true}, nowMs);
		}
	};
};

/**
 * Measures the cost of a decision for each number of endpoints, at one of `entriesFor`
 * entries. The sizes alternate by round, so that other load on the machine and the
 * recompilation of code for another size do not affect one size alone. With
 * `holdersPercent`, all requests are for an adapter that this share of the hosts holds.
 */
export const measureDecisions = (counts: readonly number[], seed: number, entriesFor: (count: number) => number, holdersPercent = 0): DecisionCost[] => {
	const target: RouteTarget = {type: 'model', modelId: 'm', ...(holdersPercent > 0 && {adapterId: 'tone'})};
	const runs = counts.map(count => {
		const {router} = createLoadedRouter(count, seed, entriesFor(count), holdersPercent);
		return {router, decide: createDecider(router, target), durationsMicros: [] as number[]};
	});
	for (let round = 0; round < rounds; round++) {
		for (const {decide, durationsMicros} of runs) {
			const startedAtMs = performance.now();
			for (let index = 0; index < decisions; index++) {
				decide((round * decisions) + index);
			}

			durationsMicros.push((performance.now() - startedAtMs) * 1000 / decisions);
		}
	}

	return runs.map(({router, durationsMicros}) => ({
		micros: median(durationsMicros.slice(2)), known: [...router.hosts.values()].filter(({isActive}) => isActive).length,
	}));
};

/** Measures the microseconds of a router update after one host has changed: with the host's id given (`named`), and by comparing all hosts (`compared`). */
export const measureUpdate = (count: number, seed: number): {readonly named: number; readonly compared: number} => {
	const {catalog, router} = createLoadedRouter(count, seed, 1);
	const hosts = createHosts(count);
	const run = (isNamed: boolean): number => {
		const durationsMicros: number[] = [];
		for (let index = 0; index < 100; index++) {
			const host = hosts[index]!;
			catalog.hosts[host.hostId] = {...createBenchRecord(host), readyVersionId: index % 2 === 0 ? null : 'm:v1'};
			const startedAtMs = performance.now();
			updateRouter(router, catalog, isNamed ? new Set([host.hostId]) : null, index);
			durationsMicros.push((performance.now() - startedAtMs) * 1000);
		}

		return median(durationsMicros);
	};

	return {named: run(true), compared: run(false)};
};
