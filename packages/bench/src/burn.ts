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

type Counts = Omit<BurnAnswer, 'entryId'>;

type Merged = {readonly mergeMs: number; readonly longestStepMs: number; readonly mergeBytes: number; readonly rows: number};

/** Merges answers as an entry does, but for the time that others get between two steps. */
const mergeAll = (answers: readonly Counts[]): Merged => {
	const before = heapBytes();
	const merge = createBurnMerge();
	const options = {nowMs: endMs, missingEntries: [], objectives: new Map<string, never>()};
	let longestStepMs = 0;
	let mergeMs = 0;
	let stepStartedMs = performance.now();
	const endStep = (): void => {
		const stepMs = performance.now() - stepStartedMs;
		longestStepMs = Math.max(longestStepMs, stepMs);
		mergeMs += stepMs;
		stepStartedMs = performance.now();
	};

	for (const [index, counts] of answers.entries()) {
		for (const _step of addBurnAnswer(merge, {entryId: `e${index}`, ...counts})) {
			endStep();
		}
	}

	let rows = 0;
	for (const ofService of burnRowsByService(merge, options)) {
		rows += ofService.length;
		endStep();
	}

	return {
		mergeMs, longestStepMs, mergeBytes: heapBytes() - before, rows,
	};
};

/** The last is a tenth of the fleet: with the most pairs that an entry counts, all of it takes minutes. */
const fleets = [{entries: 330, pairs: 4}, {entries: 330, pairs: 16}, {entries: 330, pairs: 64}, {entries: 33, pairs: 256}];

/** The report over a large fleet: each answer is parsed and checked as it comes from the wire, then merged, then dropped. */
const measureFleet = ({entries, pairs}: typeof fleets[number]): Record<string, unknown> => {
	const text = JSON.stringify({entryId: 'e', ...exportCounts(fill(pairs), endMs)});
	const before = heapBytes();
	const startedMs = performance.now();
	const merge = createBurnMerge();
	let parseMs = 0;
	let longestParseMs = 0;
	let longestStepMs = 0;
	for (let entry = 0; entry < entries; entry++) {
		const parsedFromMs = performance.now();
		const answer = burnAnswerSchema.parse(JSON.parse(text));
		const lastParseMs = performance.now() - parsedFromMs;
		parseMs += lastParseMs;
		longestParseMs = Math.max(longestParseMs, lastParseMs);
		let stepStartedMs = performance.now();
		for (const _step of addBurnAnswer(merge, {...answer, entryId: `e${entry}`})) {
			longestStepMs = Math.max(longestStepMs, performance.now() - stepStartedMs);
			stepStartedMs = performance.now();
		}
	}

	const options = {nowMs: endMs, missingEntries: [], objectives: new Map<string, never>()};
	const report = burnReportOf(merge, options, [...burnRowsByService(merge, options)].flat());
	return {
		entries, pairs, rows: report.rows.length, heardEntries: report.heardEntries.length, answerBytes: text.length, totalMs: Math.round(performance.now() - startedMs),
		parseMs: Math.round(parseMs), longestParseMs: Math.round(longestParseMs), longestStepMs: Math.round(longestStepMs), mergeBytes: heapBytes() - before,
		residentBytes: process.memoryUsage().rss,
	};
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
		const three = mergeAll(Array.from({length: 3}, () => counts));

		return {
			pairs,
			countMicroseconds: 1000 * countedMs / (pairs * hours * samplesPerHour),
			memoryBytesPerPair: Math.round(memoryBytes / pairs),
			wireBytesPerPair: Math.round(wireBytes / pairs),
			exportMs: Math.round(reportedMs - exportedMs),
			mergeThreeEntriesMs: Math.round(three.mergeMs), longestMergeStepMs: Math.round(three.longestStepMs),
		};
	});
	for (const point of points) {
		process.stdout.write(`${JSON.stringify(point)}\n`);
	}

	const fleet = fleets.map(size => {
		const point = measureFleet(size);
		process.stdout.write(`${JSON.stringify(point)}\n`);
		return point;
	});

	return {
		bench: 'burn', isHeapCollected: globalThis.gc !== undefined, points, fleet,
	};
};
