import type {EngineProfile, RoutingConfiguration} from '@bitternpaddle/state';
import {
	arrivalsPerSecond, createArrivalRate, recordArrival, recordArrivals, type ArrivalRate,
} from './arrival-rate.js';
import {passMs, prefillMs} from './engine-model.js';

/** The properties of a request by which capacity is allocated. */
export type DemandSource = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** `null` if its route requires no key. */
	readonly teamName: string | null;
	readonly routeName: string;
	readonly promptTokens: number;
};

/** Rates per second of the requests of one group. */
export type DemandFigures = {
	/** First attempts. */
	readonly arrived: number;
	/** First attempts that found no free slot. */
	readonly lacking: number;
	/** First attempts that were refused for load. */
	readonly refused: number;
	/** Requests that were sent to an engine, including caller retries. */
	readonly served: number;
	/** Engine time of the first attempts that arrived, in ms. */
	readonly requestedWorkMs: number;
	/** Engine time of the requests that were sent, in ms. */
	readonly servedWorkMs: number;
};

type Figure = keyof DemandFigures;
type GroupRates = Readonly<Record<Figure, ArrivalRate>>;

/** Identifies a group of requests: all, or those of a priority, a route, a team within a priority, or a size. */
export type DemandKey = string;

export type ReceivedDemand = {readonly figures: ReadonlyMap<DemandKey, DemandFigures>; readonly atMs: number};

/** Demand on one service: what this entry has seen, and what other entries have sent. */
export type PriorityDemand = {
	readonly own: Map<DemandKey, GroupRates>;
	/** By the address of the entry. */
	readonly received: Map<string, ReceivedDemand>;
	/** Sums of the received demand by group, kept for `maxSumAgeMs`. */
	sums: ReceivedSums | null;
};

export const createPriorityDemand = (): PriorityDemand => ({own: new Map(), received: new Map(), sums: null});

/** Upper bounds of the size groups, relative to a usual prompt; longer prompts form the last group. */
const sizeBounds = [0.5, 1.5, 3] as const;

const sizeOf = (promptTokens: number, {usualPromptTokens}: EngineProfile): number => {
	const size = sizeBounds.findIndex(bound => promptTokens <= bound * usualPromptTokens);
	return size === -1 ? sizeBounds.length : size;
};

export const totalKey: DemandKey = 'all';
export const priorityKey = (priority: number): DemandKey => `p${priority}`;
const teamPrefix = (priority: number): string => `t${priority}/`;

/** The groups that are guaranteed a minimum share. */
export const groupKeysOf = ({priority, teamName, routeName, promptTokens}: DemandSource, profile: EngineProfile): DemandKey[] => {
	const keys = [priorityKey(priority), `r${routeName}`, `s${sizeOf(promptTokens, profile)}`];
	return teamName === null ? keys : [...keys, `${teamPrefix(priority)}${teamName}`];
};

/** Engine time that a request takes: its prefill, and its part of the passes that decode its answer. */
export const workMs = (profile: EngineProfile, promptTokens: number, answerTokens: number): number => prefillMs(profile, promptTokens)
	+ (answerTokens * passMs(profile, profile.slots) / profile.stepsPerPass / profile.slots);

const createGroupRates = (): GroupRates => ({
	arrived: createArrivalRate(), lacking: createArrivalRate(), refused: createArrivalRate(), served: createArrivalRate(), requestedWorkMs: createArrivalRate(), servedWorkMs: createArrivalRate(),
});

const ratesOf = ({own}: PriorityDemand, key: DemandKey): GroupRates => {
	const rates = own.get(key) ?? createGroupRates();
	own.set(key, rates);
	return rates;
};

export type Occurrence = {readonly source: DemandSource; readonly profile: EngineProfile; readonly nowMs: number};

const recordIn = (demand: PriorityDemand, figure: Figure, {source, profile, nowMs}: Occurrence): void => {
	for (const key of [totalKey, ...groupKeysOf(source, profile)]) {
		recordArrival(ratesOf(demand, key)[figure], nowMs);
	}
};

const recordWork = (demand: PriorityDemand, figure: 'requestedWorkMs' | 'servedWorkMs', work: number, {source, profile, nowMs}: Occurrence): void => {
	for (const key of [totalKey, ...groupKeysOf(source, profile)]) {
		recordArrivals(ratesOf(demand, key)[figure], work, nowMs);
	}
};

/** Records a first attempt; caller retries were counted when they first arrived. */
export const recordDemand = (demand: PriorityDemand, occurrence: Occurrence, work: number): void => {
	recordIn(demand, 'arrived', occurrence);
	recordWork(demand, 'requestedWorkMs', work, occurrence);
};

/** Records a first attempt for which no engine had a free slot. */
export const recordLack = (demand: PriorityDemand, occurrence: Occurrence): void => {
	recordIn(demand, 'lacking', occurrence);
};

/** Records a first attempt that was refused for load. */
export const recordRefusedDemand = (demand: PriorityDemand, occurrence: Occurrence): void => {
	recordIn(demand, 'refused', occurrence);
};

/** Records a request that is sent to an engine for the first time. */
export const recordServed = (demand: PriorityDemand, occurrence: Occurrence, work: number): void => {
	recordIn(demand, 'served', occurrence);
	recordWork(demand, 'servedWorkMs', work, occurrence);
};

const figureNames = ['arrived', 'lacking', 'refused', 'served', 'requestedWorkMs', 'servedWorkMs'] as const satisfies readonly Figure[];

const figuresFrom = (valueOf: (figure: Figure) => number): DemandFigures => ({
	arrived: valueOf('arrived'), lacking: valueOf('lacking'), refused: valueOf('refused'), served: valueOf('served'), requestedWorkMs: valueOf('requestedWorkMs'),
	servedWorkMs: valueOf('servedWorkMs'),
});

/** Whether a group is exchanged. Minimum shares of routes and sizes are checked by each entry on its own requests, so that the exchange stays smaller than the load reports. */
const isShared = (key: DemandKey): boolean => /^[pt]\d/v.test(key);
const isPriority = (key: DemandKey): boolean => key.startsWith('p');
/** Groups in one message; keeps it within one packet. Priorities go first, then the teams with the most requests. */
const maxSharedGroups = 32;

/** This entry's own rates that are sent to the other entries. */
export const sharedFigures = ({own}: PriorityDemand, nowMs: number): Map<DemandKey, DemandFigures> => {
	const groups = [...own].filter(([key]) => isShared(key)).map(([key, rates]): [DemandKey, DemandFigures] => [key, figuresFrom(figure => arrivalsPerSecond(rates[figure], nowMs))]);
	const sorted = groups.toSorted(([a, {arrived: aArrived}], [b, {arrived: bArrived}]) => Number(isPriority(b)) - Number(isPriority(a)) || bArrived - aArrived);
	return new Map(sorted.slice(0, maxSharedGroups));
};

/** Whether an entry lacks capacity for any priority, so that the others need its demand soon. */
export const isUnderPressure = (figures: ReadonlyMap<DemandKey, DemandFigures>): boolean => [...figures.values()].some(({lacking, refused}) => lacking + refused > 0.1);

const withTotal = (figures: ReadonlyMap<DemandKey, DemandFigures>): Map<DemandKey, DemandFigures> => {
	const priorities = [...figures].filter(([key]) => isPriority(key));
	return new Map([...figures, [totalKey, figuresFrom(figure => priorities.reduce((sum, [, group]) => sum + group[figure], 0))]]);
};

/** Two exchanges fit within it; a burst's rates are replaced by the time that it ends. */
export const maxDemandAgeMs = 1000;

/** Records the demand of another entry; replaces what it sent before. */
export const recordReceivedDemand = (known: PriorityDemand, entryAddress: string, demand: ReceivedDemand): void => {
	const {received} = known;
	if ((received.get(entryAddress)?.atMs ?? Number.NEGATIVE_INFINITY) <= demand.atMs) {
		received.set(entryAddress, {...demand, figures: withTotal(demand.figures)});
		known.sums = null;
	}
};

export const pruneReceivedDemand = ({received}: PriorityDemand, nowMs: number): void => {
	for (const [address, {atMs}] of received) {
		if (nowMs - atMs >= maxDemandAgeMs) {
			received.delete(address);
		}
	}
};

/** Received demand counts less with its age, so that an entry that is gone does not keep its weight until it is dropped. */
const weightOf = ({atMs}: ReceivedDemand, nowMs: number): number => Math.max(0, 1 - (Math.max(0, nowMs - atMs) / maxDemandAgeMs));

/** The demand of all entries, as far as it is known here. */
export type DemandTotals = {
	figuresOf(key: DemandKey): DemandFigures;
	/** Figures of the teams within a priority, by team. */
	teamsOf(priority: number): ReadonlyMap<string, DemandFigures>;
	/** Age of the oldest demand of another entry that is taken into account; `null` if there is none. */
	readonly receivedAgeMs: number | null;
};

type ReceivedSums = {
	readonly atMs: number;
	readonly weighted: ReadonlyArray<{readonly figures: ReadonlyMap<DemandKey, DemandFigures>; readonly weight: number}>;
	readonly ageMs: number | null;
	/** Filled as groups are asked for. */
	readonly byKey: Map<DemandKey, DemandFigures>;
};

/** Weights by age change by a twentieth in this time; summing up a dozen entries for each request took as long as its placement. */
const maxSumAgeMs = 50;

const receivedSums = (demand: PriorityDemand, nowMs: number): ReceivedSums => {
	const {sums} = demand;
	if (sums !== null && nowMs >= sums.atMs && nowMs - sums.atMs < maxSumAgeMs) {
		return sums;
	}

	const current = [...demand.received.values()].map(entry => ({figures: entry.figures, weight: weightOf(entry, nowMs), ageMs: nowMs - entry.atMs})).filter(({weight}) => weight > 0);
	demand.sums = {
		atMs: nowMs, weighted: current, ageMs: current.length === 0 ? null : Math.max(...current.map(({ageMs}) => ageMs)), byKey: new Map(),
	};
	return demand.sums;
};

const receivedFiguresOf = ({weighted, byKey}: ReceivedSums, key: DemandKey): DemandFigures => {
	const known = byKey.get(key);
	if (known !== undefined) {
		return known;
	}

	const sum: Record<Figure, number> = {...figuresFrom(() => 0)};
	for (const {figures, weight} of weighted) {
		const entry = figures.get(key);
		if (entry !== undefined) {
			for (const figure of figureNames) {
				sum[figure] += weight * entry[figure];
			}
		}
	}

	byKey.set(key, sum);
	return sum;
};

export const totalDemand = (demand: PriorityDemand, nowMs: number): DemandTotals => {
	const received = receivedSums(demand, nowMs);
	const sums = new Map<DemandKey, DemandFigures>();
	const figuresOf = (key: DemandKey): DemandFigures => {
		const known = sums.get(key);
		if (known !== undefined) {
			return known;
		}

		const rates = demand.own.get(key);
		const others = receivedFiguresOf(received, key);
		const sum = figuresFrom(figure => others[figure] + (rates === undefined ? 0 : arrivalsPerSecond(rates[figure], nowMs)));
		sums.set(key, sum);
		return sum;
	};

	return {
		figuresOf,
		teamsOf(priority) {
			const prefix = teamPrefix(priority);
			const keys = new Set([...demand.own.keys(), ...received.weighted.flatMap(({figures}) => [...figures.keys()])].filter(key => key.startsWith(prefix)));
			return new Map([...keys].map(key => [key.slice(prefix.length), figuresOf(key)]));
		},
		receivedAgeMs: received.ageMs,
	};
};

/** Priorities with less than this share of all arrivals do not count: a configuration names routes of other priorities that hardly any request uses. */
const competingShare = 0.05;

/**
 * Whether requests to routes of several priorities arrive, so that they compete for the
 * engines. The priorities of teams alone do not make a service one of competing kinds:
 * its engines order such requests in their queues.
 */
export const hasCompetition = (arrivalsByRoutePriority: ReadonlyMap<number, ArrivalRate>, nowMs: number): boolean => {
	const rates = [...arrivalsByRoutePriority.values()].map(rate => arrivalsPerSecond(rate, nowMs));
	const total = rates.reduce((sum, rate) => sum + rate, 0);
	return rates.filter(rate => rate > competingShare * total).length > 1;
};

/** The priority of a request: its team's if it has one, otherwise its route's. */
export const effectivePriority = (route: {readonly priority: number}, team: {readonly priority: number | null} | null): number => team?.priority ?? route.priority;

/** The priorities that requests to each service can have under a configuration, most urgent first. */
export const prioritiesByService = ({routes, teams}: RoutingConfiguration): Map<string, readonly number[]> => {
	const known = new Map<string, Set<number>>();
	for (const route of routes) {
		const senders = teams === null || route.isPublic ? [null] : teams;
		for (const {serviceName} of route.targets) {
			const priorities = known.get(serviceName) ?? new Set();
			known.set(serviceName, priorities);
			for (const team of senders) {
				priorities.add(effectivePriority(route, team));
			}
		}
	}

	return new Map([...known].map(([name, priorities]) => [name, [...priorities].toSorted((a, b) => a - b)]));
};
