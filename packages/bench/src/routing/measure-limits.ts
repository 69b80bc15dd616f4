import {createRandom} from '@bitternpaddle/coordination';
import {createLimitSimulation, type LimitPolicy, type LimitSimulation} from './limit-simulation.js';

const fleetTokensPerSecond = 12_000;
const teams: ReadonlyMap<string, number> = new Map([['watched', 1], ['other', 1]]);
const teamTokensPerSecond = fleetTokensPerSecond / teams.size;
const cost = 100;
const warmUpMs = 60_000;
const lengthMs = 180_000;

/** Shares of the requests that the load balancer sends to each of three entries. */
const balancers: Record<string, readonly number[]> = {
	even: [1 / 3, 1 / 3, 1 / 3], twiceToOne: [0.5, 0.25, 0.25], mostToOne: [0.7, 0.2, 0.1], allToOne: [1, 0, 0],
};
const demands = [0.5, 0.9, 1, 1.5, 3];
const policies: readonly LimitPolicy[] = ['equalParts', 'lending'];

const round = (value: number): number => Number(value.toFixed(3));

/** Selects one of the running entries, weighted by their shares of the requests. */
const selectEntry = ({entries}: LimitSimulation, shares: readonly number[], unit: number): number => {
	const isUp = (index: number): boolean => entries[index] !== null;
	let remainingUnit = unit * shares.reduce((sum, share, index) => sum + (isUp(index) ? share : 0), 0);
	let selected = 0;
	for (const [index, share] of shares.entries()) {
		if (!isUp(index)) {
			continue;
		}

		selected = index;
		remainingUnit -= share;
		if (remainingUnit < 0) {
			break;
		}
	}

	return selected;
};

type Arrival = {readonly atMs: number; readonly unit: number};

/** Creates Poisson arrivals of one team at a multiple of its share of the limit. */
const createArrivals = (seed: number, demand: number): Arrival[] => {
	const random = createRandom(seed);
	const unit = (): number => random.between(1, 999_999) / 1_000_000;
	const meanMs = 1000 * cost / (teamTokensPerSecond * demand);
	const arrivals: Arrival[] = [];
	for (let atMs = 0; atMs < lengthMs; atMs += -Math.log(unit()) * meanMs) {
		arrivals.push({atMs, unit: unit()});
	}

	return arrivals;
};

/** The start or stop of an entry. */
type EntryEvent = {readonly atMs: number; readonly type: 'start' | 'stop'; readonly index: number};

const startEvents: readonly EntryEvent[] = [0, 1, 2].map(index => ({atMs: index * 300, type: 'start', index}));

/** One of three entries is down for 40 s twice and restarts immediately four times; every second time it is the entry with the highest load. */
const restartEvents: readonly EntryEvent[] = [
	...startEvents,
	...[[65, 105], [105.5, 106], [115, 115.5], [120, 160], [160.5, 161], [170, 170.5]].flatMap(([downS, upS], outage): EntryEvent[] => [
		{atMs: downS! * 1000, type: 'stop', index: outage % 2 === 0 ? 2 : 0}, {atMs: upS! * 1000, type: 'start', index: outage % 2 === 0 ? 2 : 0},
	]),
];

type Case = {readonly policy: LimitPolicy; readonly shares: readonly number[]; readonly demand: number; readonly events: readonly EntryEvent[]; readonly seed: number; readonly startsEven?: boolean};

const teamTokensIn = (durationMs: number): number => teamTokensPerSecond * durationMs / 1000;

type CaseResult = {
	/** Tokens admitted after the warm-up, relative to the team's share in that time. */
	readonly admitted: number;
	/** Time from the end of the warm-up to the end of the first second in which at least 0.9 of the share was admitted. */
	readonly reachedMs: number | null;
};

/** Measures one case; with `startsEven` the balancer distributes requests evenly during the warm-up. */
const measureCase = ({policy, shares, demand, events, seed, startsEven = false}: Case): CaseResult => {
	const simulation = createLimitSimulation({
		policy, fleetTokensPerSecond, teams, entries: shares.length,
	});
	const pendingEvents = events.toSorted((a, b) => a.atMs - b.atMs);
	const admittedBySecond = Array.from({length: lengthMs / 1000}, () => 0);
	for (const [index, {atMs, unit}] of createArrivals(seed, demand).entries()) {
		while (pendingEvents.length > 0 && pendingEvents[0]!.atMs <= atMs) {
			const event = pendingEvents.shift()!;
			simulation.advance(event.atMs);
			simulation[event.type](event.index);
		}

		simulation.advance(atMs);
		const currentShares = startsEven && atMs < warmUpMs ? balancers.even! : shares;
		if (simulation.offer(selectEntry(simulation, currentShares, unit), `r${index}`, 'watched', cost)) {
			admittedBySecond[Math.floor(atMs / 1000)]! += cost;
		}
	}

	const measured = admittedBySecond.slice(warmUpMs / 1000);
	const admitted = measured.reduce((sum, value) => sum + value, 0);
	const reached = measured.findIndex(value => value >= 0.9 * teamTokensIn(1000));
	return {admitted: round(admitted / teamTokensIn(lengthMs - warmUpMs)), reachedMs: reached === -1 ? null : (reached + 1) * 1000};
};

const measureAll = (events: readonly EntryEvent[], seed: number): Record<string, unknown> => Object.fromEntries(policies.map(policy => [
	policy, Object.fromEntries(Object.entries(balancers).map(([name, shares]) => [
		name, Object.fromEntries(demands.map(demand => [demand, measureCase({
			policy, shares, demand, events, seed,
		}).admitted])),
	])),
]));

/**
 * Measures how much of its share of the fleet-wide limit a team receives while the load
 * balancer distributes its requests unevenly, by the team's demand as a multiple of that
 * share; `--seed N`.
 */
export const measureLimits = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const position = flags.indexOf('--seed');
	const seed = position === -1 ? 20_261 : Number(flags[position + 1]);
	return {
		bench: 'limits', seed,
		admittedOverShare: measureAll(startEvents, seed),
		comesAndGoes: measureAll(restartEvents, seed),
		reachedMsAfterTurn: Object.fromEntries(Object.entries(balancers).map(([name, shares]) => [name, measureCase({
			policy: 'lending', shares, demand: 1.5, events: startEvents, seed, startsEven: true,
		}).reachedMs])),
	};
};
