import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	addPartSightings, createPartLedger, createRandom, judgeParts, promptPart, type PartSighting, type Random, type RequestFingerprint, type RequestOutline,
} from '@bitternpaddle/coordination';
import {
	createGatewayMetrics, createRequestQuarantine, type QuarantinedRequest, type RequestQuarantine,
} from '@bitternpaddle/gateway';
import {silentLogger} from '@bitternpaddle/transport';

const partsPerRequest = 4;
const usPerMs = 1000;

const requestNamed = (number: number, prefix: string): QuarantinedRequest => ({
	outline: () => `outline${number}` as RequestOutline, fingerprint: () => `outline${number}.digest${number}` as RequestFingerprint,
	promptParts: () => Array.from({length: partsPerRequest}, (_, index) => promptPart('model-a', `${prefix}${number}x${index}`)),
});

type Sent = {datagrams: number; bytes: number; largest: number};

const createEntry = (sent: Sent): RequestQuarantine => createRequestQuarantine({
	selfAddress: '10.0.0.1:7700', peers: () => Array.from({length: 19}, (_, index) => `10.0.1.${index}:7700`),
	send(data, addresses) {
		sent.datagrams += addresses.length;
		sent.bytes += data.length * addresses.length;
		sent.largest = Math.max(sent.largest, data.length);
	},
	logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(1), nowMs: () => performance.now(),
});

/** Mean time of one request's checks, in µs: before it is sent, and once it has completed. */
const timeRequests = (entry: RequestQuarantine, count: number): number => {
	const startedAtMs = performance.now();
	for (let number = 0; number < count; number++) {
		const request = requestNamed(number, 'ok');
		entry.verdictOn(request);
		entry.recordCompletion(request, '10.0.2.1:8080');
	}

	return (performance.now() - startedAtMs) * usPerMs / count;
};

const breakRuns = (entry: RequestQuarantine, exits: number, runs: number): void => {
	for (let exit = 0; exit < exits; exit++) {
		for (let run = 0; run < runs; run++) {
			entry.recordDisconnect(requestNamed((exit * runs) + run, 'broken'), `10.0.3.${exit}:8080`, 'begun');
		}

		entry.recordExit(`10.0.3.${exit}:8080`);
	}
};

const sightingsOf = (random: Random, exit: number, runs: number): PartSighting[] => Array.from({length: runs}, (_, run) => ({
	address: `10.0.3.${exit}:8080`, atMs: exit * 1000, request: `r${exit}x${run}`, seenBy: '10.0.0.1:7700', isFresh: true,
	parts: ['first', `theme${random.between(0, 20)}`, `subject${random.between(0, 300)}`].map(id => promptPart('model-a', id)),
}));

/** Median time of a judgement beside the most exits that are kept, in ms. */
const timeJudgement = (runs: number): number => {
	const exits = 128;
	const ledger = createPartLedger();
	const random = createRandom(1);
	for (let exit = 0; exit < exits; exit++) {
		addPartSightings(ledger, sightingsOf(random, exit, runs), exits * 1000);
	}

	const times = Array.from({length: 15}, () => {
		const startedAtMs = performance.now();
		judgeParts(ledger, exits * 1000);
		return performance.now() - startedAtMs;
	}).toSorted((a, b) => a - b);
	return times[7]!;
};

/** Measures what the quarantine of prompt parts costs an entry: time, memory and datagrams, with and without exits. */
export const measurePromptParts = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {requests: {type: 'string', default: '100000'}}});
	const count = Number(values.requests);
	const sent: Sent = {datagrams: 0, bytes: 0, largest: 0};
	const entry = createEntry(sent);
	timeRequests(entry, 1000);
	const calmUs = timeRequests(entry, count);
	const calmDatagrams = sent.datagrams;
	const heapBefore = process.memoryUsage().heapUsed;
	breakRuns(entry, 128, 24);
	const heapAfter = process.memoryUsage().heapUsed;
	const afterExitsUs = timeRequests(entry, count);
	entry.close();
	return {
		bench: 'prompt-parts', requests: count, calmUs, calmDatagrams, afterExitsUs, exitDatagrams: sent.datagrams, exitBytes: sent.bytes, largestDatagramBytes: sent.largest,
		heapOfExitsBytes: heapAfter - heapBefore, judgementMs: {eightRunsAnExit: timeJudgement(8), twentyFourRunsAnExit: timeJudgement(24)},
	};
};
