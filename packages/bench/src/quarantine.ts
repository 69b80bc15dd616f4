import {parseArgs} from 'node:util';
import {
	clearRequest, createCrashLedger, createRandom, randomFraction, addSightings, type AnswerStage, type CrashSighting, type Random, type RequestFingerprint,
} from '@bitternpaddle/coordination';

/** A simulated series of unexpected endpoint exits, and the endpoints and callers that take part. */
type Scenario = {
	readonly endpoints: number;
	/** Each has one request in flight at any time. */
	readonly callers: number;
	/** Requests that crash the endpoint that runs them; each is repeated until it is refused. */
	readonly crashing: number;
	/** Exits in the series. */
	readonly ends: number;
	/** Share of the exits that no request causes. */
	readonly otherCauses: number;
	/** Maximum attempts of a caller's request before the caller abandons it. */
	readonly tries: number;
	/** Share of the requests that succeed between two exits. */
	readonly completing: number;
};

const otherCauseDefaults = {crashing: 0, otherCauses: 1, completing: 0.05} as const;
const crashDefaults = {
	otherCauses: 0, tries: 4, completing: 0.1, ends: 120, endpoints: 15, callers: 60,
} as const;

/** By the names under which the results are printed; "ends" in them are unexpected endpoint exits. */
const scenarios: Record<string, Scenario> = {
	'four endpoints of eight, patient callers': {
		...otherCauseDefaults, endpoints: 8, callers: 12, ends: 4, tries: 100,
	},
	'thirty ends of eight endpoints, four tries': {
		...otherCauseDefaults, endpoints: 8, callers: 12, ends: 30, tries: 4,
	},
	'thirty ends of eight endpoints, patient callers': {
		...otherCauseDefaults, endpoints: 8, callers: 12, ends: 30, tries: 100,
	},
	'thirty ends of fifteen endpoints, four tries': {
		...otherCauseDefaults, endpoints: 15, callers: 60, ends: 30, tries: 4,
	},
	'one crashing request': {...crashDefaults, crashing: 1},
	'three crashing requests': {...crashDefaults, crashing: 3},
	'one crashing request, half of the ends of another cause': {...crashDefaults, crashing: 1, otherCauses: 0.5},
};

const exitIntervalMs = 250;
const downtimeMs = 3 * exitIntervalMs;
const stages: readonly AnswerStage[] = ['waiting', 'waiting', 'begun', 'answering', 'answering'];

type Caller = {request: RequestFingerprint; at: number; tries: number};

type Outcome = {readonly refusedCallers: number; readonly endsUntilRefused: readonly number[]};

const simulateSeries = (scenario: Scenario, random: Random): Outcome => {
	const ledger = createCrashLedger();
	const availableFromMs = Array.from({length: scenario.endpoints}, () => 0);
	let requests = 0;
	const nextRequest = (): RequestFingerprint => {
		requests++;
		return `caller.${requests}` as RequestFingerprint;
	};

	const pickEndpoint = (nowMs: number): number => {
		const available = [...availableFromMs.keys()].filter(index => availableFromMs[index]! <= nowMs);
		return available.length === 0 ? -1 : available[random.between(0, available.length - 1)]!;
	};

	const callers = Array.from({length: scenario.callers}, (): Caller => ({request: nextRequest(), at: pickEndpoint(0), tries: 0}));
	const remainingCrashing = new Set(Array.from({length: scenario.crashing}, (_, index) => `crashing.${index}` as RequestFingerprint));
	const endsUntilRefused: number[] = [];
	let refusedCallers = 0;

	const startNextAttempt = (caller: Caller, nowMs: number): void => {
		caller.tries++;
		if (caller.tries >= scenario.tries) {
			caller.request = nextRequest();
			caller.tries = 0;
		}

		caller.at = pickEndpoint(nowMs);
	};

	for (let end = 0; end < scenario.ends && (scenario.crashing === 0 || remainingCrashing.size > 0); end++) {
		const nowMs = end * exitIntervalMs;
		for (const caller of callers) {
			if (randomFraction(random) < scenario.completing) {
				clearRequest(ledger, {fingerprint: caller.request, atMs: nowMs}, nowMs);
				caller.request = nextRequest();
				caller.tries = 0;
				caller.at = pickEndpoint(nowMs);
			}
		}

		const exitingIndex = pickEndpoint(nowMs);
		if (exitingIndex === -1) {
			continue;
		}

		availableFromMs[exitingIndex] = nowMs + downtimeMs;
		const address = `endpoint-${exitingIndex}`;
		const affectedCallers = callers.filter(({at}) => at === exitingIndex);
		const sightings = affectedCallers.map(({request}): CrashSighting => ({
			fingerprint: request, address, atMs: nowMs, stage: stages[random.between(0, stages.length - 1)]!,
		}));
		if (randomFraction(random) >= scenario.otherCauses) {
			sightings.push({
				fingerprint: [...remainingCrashing][random.between(0, remainingCrashing.size - 1)]!, address, atMs: nowMs, stage: 'begun',
			});
		}

		for (const {fingerprint, evidence} of addSightings(ledger, sightings, nowMs).verdicts) {
			if (remainingCrashing.delete(fingerprint)) {
				endsUntilRefused.push(evidence.length);
			} else {
				refusedCallers++;
			}
		}

		for (const caller of callers.filter(({at}) => at === exitingIndex || at === -1)) {
			startNextAttempt(caller, nowMs);
		}
	}

	return {refusedCallers, endsUntilRefused};
};

const quantile = (values: readonly number[], share: number): number | null => values.toSorted((a, b) => a - b)[Math.floor(values.length * share)] ?? null;

/** Measures which requests the crash quarantine refuses, by the cause of the endpoint exits, in a simulation of callers, endpoints and exits. */
export const measureQuarantine = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {series: {type: 'string', default: '300'}, seed: {type: 'string', default: '1'}}});
	const seriesCount = Number(values.series);
	const results = Object.entries(scenarios).map(([name, scenario]) => {
		const outcomes = Array.from({length: seriesCount}, (_, index) => simulateSeries(scenario, createRandom(Number(values.seed) + index)));
		const ends = outcomes.flatMap(({endsUntilRefused}) => endsUntilRefused);
		return [name, {
			refusedCallersASeries: outcomes.reduce((sum, {refusedCallers}) => sum + refusedCallers, 0) / seriesCount,
			seriesWithARefusedCaller: outcomes.filter(({refusedCallers}) => refusedCallers > 0).length / seriesCount,
			crashingNotRefused: (scenario.crashing * seriesCount) - ends.length,
			endsUntilRefused: {median: quantile(ends, 0.5), p95: quantile(ends, 0.95), most: quantile(ends, 1 - (1 / (ends.length + 1)))},
		}] as const;
	});
	return {bench: 'quarantine', series: seriesCount, ...Object.fromEntries(results)};
};
