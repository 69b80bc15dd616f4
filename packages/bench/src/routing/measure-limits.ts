import {createRandom} from '@bitternpaddle/coordination';
import {createLimitWorld, type LimitPolicy, type LimitWorld} from './limit-world.js';

const fleetTokensPerSecond = 12_000;
const teams: ReadonlyMap<string, number> = new Map([['watched', 1], ['other', 1]]);
const teamTokensPerSecond = fleetTokensPerSecond / teams.size;
const cost = 100;
const warmUpMs = 60_000;
const lengthMs = 180_000;

/** Shares of the requests that the balancer gives each of three entries. */
const balancers: Record<string, readonly number[]> = {
	even: [1 / 3, 1 / 3, 1 / 3], twiceToOne: [0.5, 0.25, 0.25], mostToOne: [0.7, 0.2, 0.1], allToOne: [1, 0, 0],
};
const demands = [0.5, 0.9, 1, 1.5, 3];
const policies: readonly LimitPolicy[] = ['equalParts', 'lending'];

const round = (value: number): number => Number(value.toFixed(3));

/** One of the entries that run, by their parts of the requests. */
const draw = ({entries}: LimitWorld, shares: readonly number[], unit: number): number => {
	const isUp = (index: number): boolean => entries[index] !== null;
	let left = unit * shares.reduce((sum, share, index) => sum + (isUp(index) ? share : 0), 0);
	let last = 0;
	for (const [index, share] of shares.entries()) {
		if (!isUp(index)) {
			continue;
		}

		last = index;
		left -= share;
		if (left < 0) {
			break;
		}
	}

	return last;
};

type Arrival = {readonly atMs: number; readonly unit: number};

/** Poisson arrivals of one team at a multiple of its share of the limit. */
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

/** What happens to an entry, in order of time. */
type Turn = {readonly atMs: number; readonly type: 'start' | 'stop'; readonly index: number};

const started: readonly Turn[] = [0, 1, 2].map(index => ({atMs: index * 300, type: 'start', index}));

/** One of three entries is away for 40 s twice and restarts at once four times; every other time it is the loaded one. */
const comesAndGoes: readonly Turn[] = [
	...started,
	...[[65, 105], [105.5, 106], [115, 115.5], [120, 160], [160.5, 161], [170, 170.5]].flatMap(([downS, upS], turn): Turn[] => [
		{atMs: downS! * 1000, type: 'stop', index: turn % 2 === 0 ? 2 : 0}, {atMs: upS! * 1000, type: 'start', index: turn % 2 === 0 ? 2 : 0},
	]),
];

type Case = {readonly policy: LimitPolicy; readonly shares: readonly number[]; readonly demand: number; readonly turns: readonly Turn[]; readonly seed: number; readonly isTurning?: boolean};

const teamTokensIn = (durationMs: number): number => teamTokensPerSecond * durationMs / 1000;

type CaseResult = {
	/** Tokens admitted after the warming up, over what the team's share is in that time. */
	readonly admitted: number;
	/** From the end of the warming up to the end of the first second that let through 0.9 of the share. */
	readonly reachedMs: number | null;
};

/** With `isTurning` the balancer is even while the world warms up. */
const measureCase = ({policy, shares, demand, turns, seed, isTurning = false}: Case): CaseResult => {
	const world = createLimitWorld({
		policy, fleetTokensPerSecond, teams, entries: shares.length,
	});
	const left = turns.toSorted((a, b) => a.atMs - b.atMs);
	const admittedBySecond = Array.from({length: lengthMs / 1000}, () => 0);
	for (const [index, {atMs, unit}] of createArrivals(seed, demand).entries()) {
		while (left.length > 0 && left[0]!.atMs <= atMs) {
			const turn = left.shift()!;
			world.advance(turn.atMs);
			world[turn.type](turn.index);
		}

		world.advance(atMs);
		const parts = isTurning && atMs < warmUpMs ? balancers.even! : shares;
		if (world.offer(draw(world, parts, unit), `r${index}`, 'watched', cost)) {
			admittedBySecond[Math.floor(atMs / 1000)]! += cost;
		}
	}

	const measured = admittedBySecond.slice(warmUpMs / 1000);
	const admitted = measured.reduce((sum, value) => sum + value, 0);
	const reached = measured.findIndex(value => value >= 0.9 * teamTokensIn(1000));
	return {admitted: round(admitted / teamTokensIn(lengthMs - warmUpMs)), reachedMs: reached === -1 ? null : (reached + 1) * 1000};
};

const measureAll = (turns: readonly Turn[], seed: number): Record<string, unknown> => Object.fromEntries(policies.map(policy => [
	policy, Object.fromEntries(Object.entries(balancers).map(([name, shares]) => [
		name, Object.fromEntries(demands.map(demand => [demand, measureCase({
			policy, shares, demand, turns, seed,
		}).admitted])),
	])),
]));

/**
 * What a team gets of its share of the fleet-wide limit while the balancer
 * spreads it unevenly, by the team's demand as a multiple of that share; `--seed N`.
 */
export const measureLimits = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const position = flags.indexOf('--seed');
	const seed = position === -1 ? 20_261 : Number(flags[position + 1]);
	return {
		bench: 'limits', seed,
		admittedOverShare: measureAll(started, seed),
		comesAndGoes: measureAll(comesAndGoes, seed),
		reachedMsAfterTurn: Object.fromEntries(Object.entries(balancers).map(([name, shares]) => [name, measureCase({
			policy: 'lending', shares, demand: 1.5, turns: started, seed, isTurning: true,
		}).reachedMs])),
	};
};
