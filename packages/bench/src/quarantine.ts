import {parseArgs} from 'node:util';
import {
	clearRequest, createCrashLedger, createRandom, drawShare, takeSightings, type AnswerStage, type CrashSighting, type Random, type RequestFingerprint,
} from '@bitternpaddle/coordination';

/** A series of ends of endpoints, and who is there. */
type Scenario = {
	readonly endpoints: number;
	/** Each has one request under way at any time. */
	readonly callers: number;
	/** Requests that end what runs them; each is repeated until it is refused. */
	readonly crashing: number;
	readonly ends: number;
	/** Of the ends that no request causes. */
	readonly otherCauses: number;
	/** Attempts of a caller's request before it gives up. */
	readonly tries: number;
	/** Of the requests that end well between two ends. */
	readonly completing: number;
};

const rack = {crashing: 0, otherCauses: 1, completing: 0.05} as const;
const crash = {
	otherCauses: 0, tries: 4, completing: 0.1, ends: 120, endpoints: 15, callers: 60,
} as const;

const scenarios: Record<string, Scenario> = {
	'four endpoints of eight, patient callers': {
		...rack, endpoints: 8, callers: 12, ends: 4, tries: 100,
	},
	'thirty ends of eight endpoints, four tries': {
		...rack, endpoints: 8, callers: 12, ends: 30, tries: 4,
	},
	'thirty ends of eight endpoints, patient callers': {
		...rack, endpoints: 8, callers: 12, ends: 30, tries: 100,
	},
	'thirty ends of fifteen endpoints, four tries': {
		...rack, endpoints: 15, callers: 60, ends: 30, tries: 4,
	},
	'one crashing request': {...crash, crashing: 1},
	'three crashing requests': {...crash, crashing: 3},
	'one crashing request, half of the ends of another cause': {...crash, crashing: 1, otherCauses: 0.5},
};

const msBetweenEnds = 250;
const downMs = 3 * msBetweenEnds;
const stages: readonly AnswerStage[] = ['waiting', 'waiting', 'begun', 'answering', 'answering'];

type Caller = {request: RequestFingerprint; at: number; tries: number};

type Outcome = {readonly refusedCallers: number; readonly endsUntilRefused: readonly number[]};

const playSeries = (scenario: Scenario, random: Random): Outcome => {
	const ledger = createCrashLedger();
	const upAtMs = Array.from({length: scenario.endpoints}, () => 0);
	let requests = 0;
	const nextRequest = (): RequestFingerprint => {
		requests++;
		return `caller.${requests}` as RequestFingerprint;
	};

	const pickEndpoint = (nowMs: number): number => {
		const up = [...upAtMs.keys()].filter(index => upAtMs[index]! <= nowMs);
		return up.length === 0 ? -1 : up[random.between(0, up.length - 1)]!;
	};

	const callers = Array.from({length: scenario.callers}, (): Caller => ({request: nextRequest(), at: pickEndpoint(0), tries: 0}));
	const left = new Set(Array.from({length: scenario.crashing}, (_, index) => `crashing.${index}` as RequestFingerprint));
	const endsUntilRefused: number[] = [];
	let refusedCallers = 0;

	const moveOn = (caller: Caller, nowMs: number): void => {
		caller.tries++;
		if (caller.tries >= scenario.tries) {
			caller.request = nextRequest();
			caller.tries = 0;
		}

		caller.at = pickEndpoint(nowMs);
	};

	for (let end = 0; end < scenario.ends && (scenario.crashing === 0 || left.size > 0); end++) {
		const nowMs = end * msBetweenEnds;
		for (const caller of callers) {
			if (drawShare(random) < scenario.completing) {
				clearRequest(ledger, {fingerprint: caller.request, atMs: nowMs}, nowMs);
				caller.request = nextRequest();
				caller.tries = 0;
				caller.at = pickEndpoint(nowMs);
			}
		}

		const ending = pickEndpoint(nowMs);
		if (ending === -1) {
			continue;
		}

		upAtMs[ending] = nowMs + downMs;
		const address = `endpoint-${ending}`;
		const taken = callers.filter(({at}) => at === ending);
		const sightings = taken.map(({request}): CrashSighting => ({
			fingerprint: request, address, atMs: nowMs, stage: stages[random.between(0, stages.length - 1)]!,
		}));
		if (drawShare(random) >= scenario.otherCauses) {
			sightings.push({
				fingerprint: [...left][random.between(0, left.size - 1)]!, address, atMs: nowMs, stage: 'begun',
			});
		}

		for (const {fingerprint, evidence} of takeSightings(ledger, sightings, nowMs).verdicts) {
			if (left.delete(fingerprint)) {
				endsUntilRefused.push(evidence.length);
			} else {
				refusedCallers++;
			}
		}

		for (const caller of callers.filter(({at}) => at === ending || at === -1)) {
			moveOn(caller, nowMs);
		}
	}

	return {refusedCallers, endsUntilRefused};
};

const quantile = (values: readonly number[], share: number): number | null => values.toSorted((a, b) => a - b)[Math.floor(values.length * share)] ?? null;

/** Whom the judgement on ends of endpoints refuses, by what caused them: in a model of callers, endpoints and ends. */
export const measureQuarantine = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {series: {type: 'string', default: '300'}, seed: {type: 'string', default: '1'}}});
	const seriesCount = Number(values.series);
	const results = Object.entries(scenarios).map(([name, scenario]) => {
		const outcomes = Array.from({length: seriesCount}, (_, index) => playSeries(scenario, createRandom(Number(values.seed) + index)));
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
