import {
	createAdmission, createRandom, finishRequest, offerRequest, setShares, takeRequest,
} from '@bitternpaddle/coordination';

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

const round = (value: number): number => Number(value.toFixed(3));

const createEntry = (entries: number, nowMs: number) => {
	const admission = createAdmission({fleetTokensPerSecond});
	setShares(admission, {teams, entries}, nowMs);
	return admission;
};

const draw = (shares: readonly number[], unit: number): number => {
	let left = unit;
	for (const [index, share] of shares.entries()) {
		left -= share;
		if (left < 0) {
			return index;
		}
	}

	return 0;
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

/** Tokens admitted after the warming up, over what the team's share is in that time. */
const measureAdmitted = (shares: readonly number[], demand: number, seed: number): number => {
	const entries = shares.map(() => createEntry(shares.length, 0));
	let admitted = 0;
	for (const [index, {atMs, unit}] of createArrivals(seed, demand).entries()) {
		const entry = entries[draw(shares, unit)]!;
		const requestId = `r${index}`;
		if (offerRequest(entry, {
			requestId, teamId: 'watched', target: 'm', cost, priority: 0, deadlineAtMs: Number.MAX_SAFE_INTEGER,
		}, atMs).type === 'queued') {
			takeRequest(entry, 'm', atMs);
			finishRequest(entry, requestId, {hasRun: true}, atMs);
			admitted += atMs >= warmUpMs ? cost : 0;
		}
	}

	return round(admitted * 1000 / (lengthMs - warmUpMs) / teamTokensPerSecond);
};

/**
 * What a team gets of its share of the fleet-wide limit while the balancer
 * spreads it unevenly, by the team's demand as a multiple of that share; `--seed N`.
 */
export const measureLimits = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const position = flags.indexOf('--seed');
	const seed = position === -1 ? 20_261 : Number(flags[position + 1]);
	return {
		bench: 'limits', seed,
		admittedOverShare: Object.fromEntries(Object.entries(balancers).map(([name, shares]) => [
			name, Object.fromEntries(demands.map(demand => [demand, measureAdmitted(shares, demand, seed)])),
		])),
	};
};
