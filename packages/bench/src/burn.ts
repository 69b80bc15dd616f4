import process from 'node:process';
import {
	burnRowsByService, countSample, createBurnCounter, createRandom, exportCounts, type BurnCounter,
} from '@bitternpaddle/coordination';

const hourMs = 3_600_000;
const hours = 72;
const samplesPerHour = 120;
const endMs = Date.UTC(2026, 5, 4, 12);
const seed = 41;

const heapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

/** Three days of requests for `pairs` pairs of service and team, with first tokens spread over three decades. */
const fill = (pairs: number): BurnCounter => {
	const random = createRandom(seed);
	const counter = createBurnCounter();
	for (let sample = 0; sample < hours * samplesPerHour; sample++) {
		const atMs = endMs - (hours * hourMs) + Math.floor(sample * hourMs / samplesPerHour);
		for (let pair = 0; pair < pairs; pair++) {
			countSample(counter, {
				serviceId: `service-${pair % 10}`, teamId: `team-${pair}`, atMs, isWhole: random.between(0, 999) > 0,
				firstTokenMs: 10 ** (random.between(1000, 4000) / 1000), firstTokenBoundMs: 1000,
			});
		}
	}

	return counter;
};

/** What counting costs an entry: processor time a request, memory and bytes on the wire for each pair of service and team. */
export const measureBurn = async (): Promise<Record<string, unknown>> => {
	const points = [4, 16, 64, 256].map(pairs => {
		const before = heapBytes();
		const startedMs = performance.now();
		const counter = fill(pairs);
		const countedMs = performance.now() - startedMs;
		const memoryBytes = heapBytes() - before;
		const exportedMs = performance.now();
		const counts = exportCounts(counter, endMs);
		const wireBytes = JSON.stringify(counts).length;
		const reportedMs = performance.now();
		let longestStepMs = 0;
		let stepStartedMs = performance.now();
		for (const rows of burnRowsByService({
			nowMs: endMs, missingEntries: [], objectives: new Map(), answers: ['e1', 'e2', 'e3'].map(entryId => ({entryId, ...counts})),
		})) {
			longestStepMs = Math.max(longestStepMs, rows.length === 0 ? 0 : performance.now() - stepStartedMs);
			stepStartedMs = performance.now();
		}

		return {
			pairs,
			countMicroseconds: 1000 * countedMs / (pairs * hours * samplesPerHour),
			memoryBytesPerPair: Math.round(memoryBytes / pairs),
			wireBytesPerPair: Math.round(wireBytes / pairs),
			exportMs: Math.round(reportedMs - exportedMs),
			mergeThreeEntriesMs: Math.round(performance.now() - reportedMs), longestMergeStepMs: Math.round(longestStepMs),
		};
	});
	for (const point of points) {
		process.stdout.write(`${JSON.stringify(point)}\n`);
	}

	return {bench: 'burn', isHeapCollected: globalThis.gc !== undefined, points};
};
