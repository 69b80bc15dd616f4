import process from 'node:process';
import {
	addBurnAnswer, burnReportOf, burnRowsByService, countSample, createBurnCounter, createBurnMerge, createRandom, exportCounts, type BurnCounter,
} from '@bitternpaddle/coordination';
import {burnAnswerSchema, type BurnAnswer} from '@bitternpaddle/protocol';

const hourMs = 3_600_000;
const hours = 72;
const samplesPerHour = 120;
const endMs = Date.UTC(2026, 5, 4, 12);
const seed = 41;

const heapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

/** Creates a counter with three days of requests for `pairs` pairs of service and team, whose times to the first token spread over three orders of magnitude. */
const createFilledCounter = (pairs: number): BurnCounter => {
	const random = createRandom(seed);
	const counter = createBurnCounter();
	for (let sample = 0; sample < hours * samplesPerHour; sample++) {
		const atMs = endMs - (hours * hourMs) + Math.floor(sample * hourMs / samplesPerHour);
		for (let pair = 0; pair < pairs; pair++) {
			countSample(counter, {
				serviceId: `service-${pair % 10}`, teamId: `team-${pair}`, atMs, isComplete: random.between(0, 999) > 0,
				firstTokenMs: 10 ** (random.between(1000, 4000) / 1000), firstTokenBoundMs: 1000,
			});
		}
	}

	return counter;
};

type Counts = Omit<BurnAnswer, 'entryId'>;

type MergeCost = {readonly mergeMs: number; readonly maxStepMs: number; readonly mergeBytes: number; readonly rows: number};

/** Merges responses as an entry does, except that it does not yield to other work between two steps. */
const mergeResponses = (answers: readonly Counts[]): MergeCost => {
	const before = heapBytes();
	const merge = createBurnMerge();
	const options = {nowMs: endMs, missingEntries: [], objectives: new Map<string, never>()};
	let maxStepMs = 0;
	let mergeMs = 0;
	let stepStartedMs = performance.now();
	const recordStep = (): void => {
		const stepMs = performance.now() - stepStartedMs;
		maxStepMs = Math.max(maxStepMs, stepMs);
		mergeMs += stepMs;
		stepStartedMs = performance.now();
	};

	for (const [index, counts] of answers.entries()) {
		for (const _step of addBurnAnswer(merge, {entryId: `e${index}`, ...counts})) {
			recordStep();
		}
	}

	let rows = 0;
	for (const serviceRows of burnRowsByService(merge, options)) {
		rows += serviceRows.length;
		recordStep();
	}

	return {
		mergeMs, maxStepMs, mergeBytes: heapBytes() - before, rows,
	};
};

/** The last size has a tenth of the entries: with the maximum number of pairs that an entry counts, the full number takes minutes. */
const fleetSizes = [{entries: 330, pairs: 4}, {entries: 330, pairs: 16}, {entries: 330, pairs: 64}, {entries: 33, pairs: 256}];

/** Measures the report over a large fleet: each response is parsed and validated as if received from the network, merged, then discarded. */
const measureFleet = ({entries, pairs}: typeof fleetSizes[number]): Record<string, unknown> => {
	const text = JSON.stringify({entryId: 'e', ...exportCounts(createFilledCounter(pairs), endMs)});
	const before = heapBytes();
	const startedMs = performance.now();
	const merge = createBurnMerge();
	let parseMs = 0;
	let maxParseMs = 0;
	let maxStepMs = 0;
	for (let entry = 0; entry < entries; entry++) {
		const parseStartedMs = performance.now();
		const answer = burnAnswerSchema.parse(JSON.parse(text));
		const lastParseMs = performance.now() - parseStartedMs;
		parseMs += lastParseMs;
		maxParseMs = Math.max(maxParseMs, lastParseMs);
		let stepStartedMs = performance.now();
		for (const _step of addBurnAnswer(merge, {...answer, entryId: `e${entry}`})) {
			maxStepMs = Math.max(maxStepMs, performance.now() - stepStartedMs);
			stepStartedMs = performance.now();
		}
	}

	const options = {nowMs: endMs, missingEntries: [], objectives: new Map<string, never>()};
	const report = burnReportOf(merge, options, [...burnRowsByService(merge, options)].flat());
	return {
		entries, pairs, rows: report.rows.length, heardEntries: report.heardEntries.length, answerBytes: text.length, totalMs: Math.round(performance.now() - startedMs),
		parseMs: Math.round(parseMs), longestParseMs: Math.round(maxParseMs), longestStepMs: Math.round(maxStepMs), mergeBytes: heapBytes() - before,
		residentBytes: process.memoryUsage().rss,
	};
};

/** Measures the cost of counting on an entry: CPU time per request, and memory and bytes on the wire per pair of service and team. */
export const measureBurn = async (): Promise<Record<string, unknown>> => {
	const points = [4, 16, 64, 256].map(pairs => {
		const before = heapBytes();
		const startedMs = performance.now();
		const counter = createFilledCounter(pairs);
		const countedMs = performance.now() - startedMs;
		const memoryBytes = heapBytes() - before;
		const exportedMs = performance.now();
		const counts = exportCounts(counter, endMs);
		const wireBytes = JSON.stringify(counts).length;
		const reportedMs = performance.now();
		const mergedThree = mergeResponses(Array.from({length: 3}, () => counts));

		return {
			pairs,
			countMicroseconds: 1000 * countedMs / (pairs * hours * samplesPerHour),
			memoryBytesPerPair: Math.round(memoryBytes / pairs),
			wireBytesPerPair: Math.round(wireBytes / pairs),
			exportMs: Math.round(reportedMs - exportedMs),
			mergeThreeEntriesMs: Math.round(mergedThree.mergeMs), longestMergeStepMs: Math.round(mergedThree.maxStepMs),
		};
	});
	for (const point of points) {
		process.stdout.write(`${JSON.stringify(point)}\n`);
	}

	const fleet = fleetSizes.map(size => {
		const point = measureFleet(size);
		process.stdout.write(`${JSON.stringify(point)}\n`);
		return point;
	});

	return {
		bench: 'burn', isHeapCollected: globalThis.gc !== undefined, points, fleet,
	};
};
