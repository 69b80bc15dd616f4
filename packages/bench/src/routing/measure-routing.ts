import process from 'node:process';
import {measureDecisions, measureUpdate, type DecisionCost} from './decision.js';
import type {PolicyName} from './policies.js';
import {
	capacityPerSecond, endpointCount, goodputOf, goodShareOf, percentileMs, runScenario, type Scenario, type TeamLoad,
} from './scenario.js';
import type {Simulation} from './simulation.js';

const names: readonly PolicyName[] = ['bitternpaddle', 'random', 'roundRobin', 'leastOutstanding'];
const teamCount = 10;
const endpointCounts = [120, 1200, 12_000];
/** Keeps the ratio of the target deployment, 330 entries before 12,000 endpoints, but returns at least four entries. */
const entriesFor = (endpoints: number): number => Math.max(4, Math.round(endpoints * 330 / 12_000));
/** Percentages of hosts that hold an adapter: at the beginning of its load, halfway, and after it. */
const holderShares = [10, 50, 100];
const faultAtMs = 20_000;

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

const evenLoad = (share: number): TeamLoad[] => Array.from({length: teamCount}, (_, index) => ({teamId: `team-${index}`, requestsPerSecond: capacityPerSecond * share / teamCount}));

/** Small teams send half of their share; the large team sends ten times its share, or nothing. */
const burstLoad = (hasBurst: boolean): TeamLoad[] => {
	const share = capacityPerSecond / teamCount;
	const small = Array.from({length: teamCount - 1}, (_, index) => ({teamId: `small-${index}`, requestsPerSecond: share / 2}));
	return hasBurst ? [...small, {teamId: 'large', requestsPerSecond: share * 10}] : small;
};

const measureFairness = (name: PolicyName, seed: number) => {
	const smallP99 = (hasBurst: boolean): number => {
		const {requests} = runScenario(name, {seed, load: burstLoad(hasBurst), deadlineMs: 30_000});
		return percentileMs(requests.filter(({teamId}) => teamId !== 'large'), 99);
	};

	return round(smallP99(true) / smallP99(false));
};

const measureOverload = (name: PolicyName, seed: number) => round(goodputOf(runScenario(name, {seed, load: evenLoad(3)})) / goodputOf(runScenario(name, {seed, load: evenLoad(1)})));

const setFault = (simulation: Simulation, fault: 'lost' | 'failsFast' | 'silent', isAffected: (index: number) => boolean): void => {
	simulation.at(faultAtMs, () => {
		for (const [index, endpoint] of simulation.endpoints.entries()) {
			if (isAffected(index)) {
				endpoint.fault = fault;
			}
		}
	});
};

const measureFault = (name: PolicyName, scenario: Scenario) => {
	const {requests} = runScenario(name, {...scenario, countFromMs: faultAtMs});
	let attempts = 0;
	for (const request of requests) {
		attempts += request.attempts;
	}

	return {goodShare: round(goodShareOf(requests)), p99Ms: Math.round(percentileMs(requests, 99)), attemptsPerRequest: round(attempts / requests.length)};
};

const measureAffinity = (name: PolicyName, scenario: Scenario) => {
	const {requests, endpoints} = runScenario(name, scenario);
	const answered = requests.filter(({answeredAtMs}) => answeredAtMs !== null);
	const work = endpoints.map(({workMs}) => workMs);
	let sum = 0;
	for (const ms of work) {
		sum += ms;
	}

	return {
		hitShare: round(answered.filter(({isCacheHit}) => isCacheHit).length / answered.length),
		imbalance: round(Math.max(...work) / sum * endpointCount), p99Ms: Math.round(percentileMs(requests, 99)),
	};
};

const measureCases = (name: PolicyName, seed: number) => ({
	hallLost: measureFault(name, {
		seed, load: evenLoad(0.6), faults(simulation) {
			setFault(simulation, 'lost', index => index % 3 === 2);
		},
	}),
	hallLostAtFullLoad: measureFault(name, {
		seed, load: evenLoad(1), faults(simulation) {
			setFault(simulation, 'lost', index => index % 3 === 2);
		},
	}),
	failsFast: measureFault(name, {
		seed, load: evenLoad(0.6), faults(simulation) {
			setFault(simulation, 'failsFast', index => index === 4);
		},
	}),
	silent: measureFault(name, {
		seed, load: evenLoad(0.6), faults(simulation) {
			setFault(simulation, 'silent', index => index === 4);
		},
	}),
	lag3s: measureFault(name, {seed, load: evenLoad(0.8), lagMs: 3000}),
	affinity: measureAffinity(name, {seed, load: evenLoad(0.5), prefixes: 400}),
});

const microsBySize = (costs: readonly DecisionCost[]): Record<string, number> => Object.fromEntries(costs.map(({micros}, index) => [endpointCounts[index]!, round(micros)]));

const seedOf = (flags: readonly string[]): number => {
	const position = flags.indexOf('--seed');
	return position === -1 ? 20_261 : Number(flags[position + 1]);
};

/** Measures fairness, overload, faults and the cost of a decision, compared with simple load balancers; `--seed N`. */
export const measureRouting = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const seed = seedOf(flags);
	process.stdout.write(`seed ${seed}, capacity ${Math.round(capacityPerSecond)} requests a second\n`);
	const results = names.map(name => {
		const result = {smallTeamP99Ratio: measureFairness(name, seed), overloadGoodputRatio: measureOverload(name, seed), cases: measureCases(name, seed)};
		process.stdout.write(`${name} ${JSON.stringify(result)}\n`);
		return [name, result] as const;
	});
	const {bitternpaddle, ...baselines} = Object.fromEntries(results) as Record<PolicyName, typeof results[number][1]>;
	const decisions = measureDecisions(endpointCounts, seed, entriesFor);
	const loneDecisions = measureDecisions(endpointCounts, seed, () => 1);
	return {
		bench: 'routing', seed,
		decisionMicros: microsBySize(decisions),
		knownEndpoints: Object.fromEntries(decisions.map(({known}, index) => [endpointCounts[index]!, known])),
		adapterDecisionMicros: Object.fromEntries(holderShares.map(percent => [
			`held by ${percent}%`, microsBySize(measureDecisions(endpointCounts, seed, entriesFor, percent)),
		])),
		loneEntryDecisionMicros: microsBySize(loneDecisions),
		updateMicros: Object.fromEntries(endpointCounts.map(count => [count, measureUpdate(count, seed)])),
		...bitternpaddle,
		baselines,
	};
};
