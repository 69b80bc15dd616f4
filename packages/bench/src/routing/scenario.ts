import type {Random, RouterOptions} from '@bitternpaddle/coordination';
import {createPolicy, type PolicyName} from './policies.js';
import {
	createWorld, fullBatchMs, type BenchRequest, type ModelEndpoint, type World,
} from './world.js';

export type TeamLoad = {readonly teamId: string; readonly requestsPerSecond: number};

export type Scenario = {
	readonly seed: number;
	readonly load: readonly TeamLoad[];
	/** @default 60000 */
	readonly lengthMs?: number;
	/** Requests that arrive before this are not counted. @default 10000 */
	readonly countFromMs?: number;
	/** @default 10000 */
	readonly deadlineMs?: number;
	/** @default 500 */
	readonly lagMs?: number;
	/** Prompts share this many prefixes, popular ones more often; 0 for prompts of their own. @default 0 */
	readonly prefixes?: number;
	/** Causes faults at their time. */
	readonly faults?: (world: World) => void;
	readonly router?: Partial<RouterOptions>;
};

export type ScenarioResult = {readonly requests: readonly BenchRequest[]; readonly endpoints: readonly ModelEndpoint[]; readonly seconds: number};

export const endpointCount = 24;
const endpointCapacity = 8;
const entryIds = ['e1', 'e2', 'e3'];
const meanTokens = 100;
const longPromptTokens = 1000;
const shortPromptTokens = 50;

/** Requests a second that all endpoints can answer with full batches. */
export const capacityPerSecond = endpointCount * endpointCapacity / fullBatchMs(meanTokens, shortPromptTokens) * 1000;

const uniform = (random: Random): number => random.between(1, 1_000_000) / 1_000_000;

const exponential = (random: Random, mean: number): number => -Math.log(uniform(random)) * mean;

/** Popular ones first, as 1/rank. */
const drawPrefix = (random: Random, count: number): string => `prefix-${Math.floor(count ** uniform(random))}`;

/** Three entries before 24 endpoints in three halls, in virtual time; the same seed gives the same arrivals to each policy. */
export const runScenario = (name: PolicyName, scenario: Scenario): ScenarioResult => {
	const {
		seed, load, lengthMs = 60_000, countFromMs = 10_000, deadlineMs = 10_000, lagMs = 500, prefixes = 0, faults,
	} = scenario;
	const world = createWorld({
		seed, endpoints: endpointCount, capacity: endpointCapacity, lagMs,
	});
	const arrivals = createWorld({
		seed: seed + 1, endpoints: 0, capacity: 0, lagMs,
	}).random;
	const teams = new Map(load.map(({teamId}) => [teamId, 1]));
	const policies = entryIds.map(entryId => createPolicy(name, {
		world, entryId, entryIds, teams, router: scenario.router,
	}));
	const requests: BenchRequest[] = [];
	for (const {teamId, requestsPerSecond} of load) {
		for (let atMs = exponential(arrivals, 1000 / requestsPerSecond); atMs < lengthMs; atMs += exponential(arrivals, 1000 / requestsPerSecond)) {
			const request: BenchRequest = {
				id: `r${requests.length}`, teamId, prefix: prefixes === 0 ? null : drawPrefix(arrivals, prefixes), promptTokens: prefixes === 0 ? shortPromptTokens : longPromptTokens,
				tokens: Math.min(600, Math.max(5, Math.round(exponential(arrivals, meanTokens)))), arrivedAtMs: atMs, deadlineAtMs: atMs + deadlineMs,
				attempts: 0, tried: new Set(), answeredAtMs: null, isCacheHit: false,
			};
			const policy = policies[arrivals.between(0, policies.length - 1)]!;
			requests.push(request);
			world.at(atMs, () => {
				policy.offer(request);
			});
		}
	}

	faults?.(world);
	world.run(lengthMs + deadlineMs);
	return {
		requests: requests.filter(({arrivedAtMs}) => arrivedAtMs >= countFromMs), endpoints: world.endpoints, seconds: (lengthMs - countFromMs) / 1000,
	};
};

export const isGood = ({answeredAtMs, deadlineAtMs}: BenchRequest): boolean => answeredAtMs !== null && answeredAtMs <= deadlineAtMs;

/** Tokens a second of answers that came within their deadline. */
export const goodputOf = ({requests, seconds}: ScenarioResult): number => {
	let tokens = 0;
	for (const request of requests) {
		tokens += isGood(request) ? request.tokens : 0;
	}

	return tokens / seconds;
};

export const goodShareOf = (requests: readonly BenchRequest[]): number => requests.filter(request => isGood(request)).length / requests.length;

/** A request without a good answer counts with its whole deadline, so that refusing does not look fast. */
export const percentileMs = (requests: readonly BenchRequest[], percent: number): number => {
	const latencies = requests
		.map(request => isGood(request) ? request.answeredAtMs! - request.arrivedAtMs : request.deadlineAtMs - request.arrivedAtMs)
		.toSorted((a, b) => a - b);
	return latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * percent / 100))]!;
};
