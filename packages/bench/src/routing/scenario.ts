import type {Random, RouterOptions} from '@bitternpaddle/coordination';
import {createPolicy, type PolicyName} from './policies.js';
import {
	createSimulation, fullBatchMs, type BenchRequest, type ModelEndpoint, type Simulation,
} from './simulation.js';

export type TeamLoad = {readonly teamId: string; readonly requestsPerSecond: number};

export type Scenario = {
	readonly seed: number;
	readonly load: readonly TeamLoad[];
	/** @default 60000 */
	readonly lengthMs?: number;
	/** Requests that arrive before this time are not counted. @default 10000 */
	readonly countFromMs?: number;
	/** @default 10000 */
	readonly deadlineMs?: number;
	/** @default 500 */
	readonly lagMs?: number;
	/** Number of prefixes that prompts share, popular ones more often; 0 if no prompts share a prefix. @default 0 */
	readonly prefixes?: number;
	/** Schedules faults in the simulation. */
	readonly faults?: (simulation: Simulation) => void;
	readonly router?: Partial<RouterOptions>;
};

export type ScenarioResult = {readonly requests: readonly BenchRequest[]; readonly endpoints: readonly ModelEndpoint[]; readonly seconds: number};

export const endpointCount = 24;
const endpointCapacity = 8;
const entryIds = ['e1', 'e2', 'e3'];
const meanTokens = 100;
const longPromptTokens = 1000;
const shortPromptTokens = 50;

/** Requests per second that all endpoints together can answer with full batches. */
export const capacityPerSecond = endpointCount * endpointCapacity / fullBatchMs(meanTokens, shortPromptTokens) * 1000;

const randomUniform = (random: Random): number => random.between(1, 1_000_000) / 1_000_000;

const randomExponential = (random: Random, mean: number): number => -Math.log(randomUniform(random)) * mean;

/** Returns a random prefix; the probability of each is proportional to 1/rank. */
const randomPrefix = (random: Random, count: number): string => `prefix-${Math.floor(count ** randomUniform(random))}`;

/** Simulates three entries and 24 endpoints in three availability zones in virtual time; with the same seed each policy receives the same arrivals. */
export const runScenario = (name: PolicyName, scenario: Scenario): ScenarioResult => {
	const {
		seed, load, lengthMs = 60_000, countFromMs = 10_000, deadlineMs = 10_000, lagMs = 500, prefixes = 0, faults,
	} = scenario;
	const simulation = createSimulation({
		seed, endpoints: endpointCount, capacity: endpointCapacity, lagMs,
	});
	const arrivals = createSimulation({
		seed: seed + 1, endpoints: 0, capacity: 0, lagMs,
	}).random;
	const teams = new Map(load.map(({teamId}) => [teamId, 1]));
	const policies = entryIds.map(entryId => createPolicy(name, {
		simulation, entryId, entryIds, teams, router: scenario.router,
	}));
	const requests: BenchRequest[] = [];
	for (const {teamId, requestsPerSecond} of load) {
		for (let atMs = randomExponential(arrivals, 1000 / requestsPerSecond); atMs < lengthMs; atMs += randomExponential(arrivals, 1000 / requestsPerSecond)) {
			const request: BenchRequest = {
				id: `r${requests.length}`, teamId, prefix: prefixes === 0 ? null : randomPrefix(arrivals, prefixes), promptTokens: prefixes === 0 ? shortPromptTokens : longPromptTokens,
				tokens: Math.min(600, Math.max(5, Math.round(randomExponential(arrivals, meanTokens)))), arrivedAtMs: atMs, deadlineAtMs: atMs + deadlineMs,
				attempts: 0, tried: new Set(), answeredAtMs: null, isCacheHit: false,
			};
			const policy = policies[arrivals.between(0, policies.length - 1)]!;
			requests.push(request);
			simulation.at(atMs, () => {
				policy.offer(request);
			});
		}
	}

	faults?.(simulation);
	simulation.run(lengthMs + deadlineMs);
	return {
		requests: requests.filter(({arrivedAtMs}) => arrivedAtMs >= countFromMs), endpoints: simulation.endpoints, seconds: (lengthMs - countFromMs) / 1000,
	};
};

export const isGood = ({answeredAtMs, deadlineAtMs}: BenchRequest): boolean => answeredAtMs !== null && answeredAtMs <= deadlineAtMs;

/** Returns the tokens per second of answers that arrived within their deadline. */
export const goodputOf = ({requests, seconds}: ScenarioResult): number => {
	let tokens = 0;
	for (const request of requests) {
		tokens += isGood(request) ? request.tokens : 0;
	}

	return tokens / seconds;
};

export const goodShareOf = (requests: readonly BenchRequest[]): number => requests.filter(request => isGood(request)).length / requests.length;

/** Returns a percentile of the latencies. A request without an answer in time counts with its full deadline, so that refusing requests does not look fast. */
export const percentileMs = (requests: readonly BenchRequest[], percent: number): number => {
	const latencies = requests
		.map(request => isGood(request) ? request.answeredAtMs! - request.arrivedAtMs : request.deadlineAtMs - request.arrivedAtMs)
		.toSorted((a, b) => a - b);
	return latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * percent / 100))]!;
};
