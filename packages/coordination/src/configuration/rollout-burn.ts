import type {HostReport} from '@bitternpaddle/protocol';
import {defaultObjective, type Catalog, type RolloutRecord} from '@bitternpaddle/state';
import {alertRules, burnRateOf} from '../burn/burn-report.js';
import {addCounts, noCounts, type BurnCounts} from '../burn/windows.js';

/** What each entry had counted for each service when it was first heard in this step, by entry and service. */
export type BurnBaseline = Map<string, BurnCounts>;

/** The rate of the shortest page, as a multiple of what the objective allows. */
const stopRate = alertRules[0]!.rate;
/** How much faster than before the step: a service that burned already is no reason to stay where it burns. */
const riseFactor = 2;

type Side = {readonly name: string; readonly objectivePercent: number; readonly since: Share; readonly before: Share};
type Share = {readonly bad: number; readonly total: number};

export type RolloutBurnOptions = {
	readonly catalog: Catalog;
	readonly entryReports: readonly HostReport[];
	readonly rollout: RolloutRecord;
	/** Entries that are heard for the first time in the step are added. */
	readonly baseline: BurnBaseline;
	/** Fewer bad requests than this say nothing. */
	readonly minBad: number;
};

/**
 * Why a move should stop for its service's burn, or `null`. The window is the
 * time since the step began. Entries' clocks play no part: their reports carry
 * counts since they started, and what counts is the difference.
 */
export const findRolloutBurn = (options: RolloutBurnOptions): string | null => {
	const {catalog, minBad} = options;
	for (const serviceId of servicesOf(options)) {
		const {since, before} = countService(options, serviceId);
		const objective = catalog.services[serviceId]?.objective ?? defaultObjective;
		const sides: Side[] = [
			{
				name: 'answers whole', objectivePercent: objective.answeredWholePercent,
				since: {bad: since.notWhole, total: since.total}, before: {bad: before.notWhole, total: before.total},
			},
			{
				name: 'first token in time', objectivePercent: objective.firstTokenPercent,
				since: {bad: since.slow, total: since.timed}, before: {bad: before.slow, total: before.timed},
			},
		];
		for (const side of sides) {
			const rate = rateOf(side.since, side.objectivePercent);
			if (side.since.bad >= minBad && rate > stopRate && rate > riseFactor * rateOf(side.before, side.objectivePercent)) {
				return `${side.name}: ${side.since.bad} of ${side.since.total} requests to ${serviceId} missed it, its budget burns ${Math.round(rate)} times as fast as it may`;
			}
		}
	}

	return null;
};

const rateOf = ({bad, total}: Share, objectivePercent: number): number => burnRateOf(bad, total, objectivePercent);

const servicesOf = ({catalog, rollout}: RolloutBurnOptions): Set<string> => new Set(Object.values(catalog.hosts)
	.filter(({assignment}) => assignment?.fleetId === rollout.fromFleetId || assignment?.fleetId === rollout.toFleetId)
	.map(({announcement}) => announcement.serviceId));

const countService = ({entryReports, baseline}: RolloutBurnOptions, serviceId: string): {since: BurnCounts; before: BurnCounts} => {
	let since = noCounts;
	let before = noCounts;
	for (const {hostId, serviceOutcomes = []} of entryReports) {
		const now = serviceOutcomes.find(outcome => outcome.serviceId === serviceId) ?? noCounts;
		const key = `${hostId}/${serviceId}`;
		// An entry that is heard late would else bring its whole past into this step, and stop a move for what is over.
		const known = baseline.get(key) ?? now;
		baseline.set(key, known);
		before = addCounts(before, known);
		since = addCounts(since, differenceOf(now, known));
	}

	return {since, before};
};

/** An entry that restarted counts from 0 again. */
const differenceOf = (now: BurnCounts, earlier: BurnCounts): BurnCounts => now.total < earlier.total
	? now
	: {
		total: now.total - earlier.total, notWhole: now.notWhole - earlier.notWhole, timed: now.timed - earlier.timed, slow: now.slow - earlier.slow,
	};
