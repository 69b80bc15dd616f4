import type {HostReport} from '@bitternpaddle/protocol';
import {defaultObjective, type Catalog, type RolloutRecord} from '@bitternpaddle/state';
import {alertRules, burnRateOf} from '../burn/burn-report.js';
import {addCounts, zeroCounts, type BurnCounts} from '../burn/windows.js';

/** Each entry's counts for each service in its first report during this step, keyed by entry and service. */
export type BurnBaseline = Map<string, BurnCounts>;

/** The burn rate of the paging alert with the shortest windows, as a multiple of what the objective allows. */
const stopRate = alertRules[0]!.rate;
/** Required increase over the rate before the step: if the service was already burning, halting the rollout would only keep traffic where it fails. */
const riseFactor = 2;

type ObjectiveComparison = {readonly name: string; readonly objectivePercent: number; readonly since: ObjectiveCounts; readonly before: ObjectiveCounts};
type ObjectiveCounts = {readonly bad: number; readonly total: number};

export type RolloutBurnOptions = {
	readonly catalog: Catalog;
	readonly entryReports: readonly HostReport[];
	readonly rollout: RolloutRecord;
	/** Entries that report for the first time during the step are added. */
	readonly baseline: BurnBaseline;
	/** Fewer bad requests than this are not significant. */
	readonly minBadRequests: number;
};

/**
 * Returns the reason to halt a rollout because its service's burn rate rose, or
 * `null`. The window is the time since the step began. It does not depend on
 * the entries' clocks: reports carry counts since each entry started, and only
 * the differences are used.
 */
export const findRolloutBurn = (options: RolloutBurnOptions): string | null => {
	const {catalog, minBadRequests} = options;
	for (const serviceId of servicesOf(options)) {
		const {since, before} = countService(options, serviceId);
		const objective = catalog.services[serviceId]?.objective ?? defaultObjective;
		const comparisons: ObjectiveComparison[] = [
			{
				name: 'answers whole', objectivePercent: objective.answeredWholePercent,
				since: {bad: since.notWhole, total: since.total}, before: {bad: before.notWhole, total: before.total},
			},
			{
				name: 'first token in time', objectivePercent: objective.firstTokenPercent,
				since: {bad: since.slow, total: since.timed}, before: {bad: before.slow, total: before.timed},
			},
		];
		for (const comparison of comparisons) {
			const rate = rateOf(comparison.since, comparison.objectivePercent);
			if (comparison.since.bad >= minBadRequests && rate > stopRate && rate > riseFactor * rateOf(comparison.before, comparison.objectivePercent)) {
				return `${comparison.name}: ${comparison.since.bad} of ${comparison.since.total} requests to ${serviceId} missed it, its budget burns ${Math.round(rate)} times as fast as it may`;
			}
		}
	}

	return null;
};

const rateOf = ({bad, total}: ObjectiveCounts, objectivePercent: number): number => burnRateOf(bad, total, objectivePercent);

const servicesOf = ({catalog, rollout}: RolloutBurnOptions): Set<string> => new Set(Object.values(catalog.hosts)
	.filter(({assignment}) => assignment?.fleetId === rollout.fromFleetId || assignment?.fleetId === rollout.toFleetId)
	.map(({announcement}) => announcement.serviceId));

const countService = ({entryReports, baseline}: RolloutBurnOptions, serviceId: string): {since: BurnCounts; before: BurnCounts} => {
	let since = zeroCounts;
	let before = zeroCounts;
	for (const {hostId, serviceOutcomes = []} of entryReports) {
		const now = serviceOutcomes.find(outcome => outcome.serviceId === serviceId) ?? zeroCounts;
		const key = `${hostId}/${serviceId}`;
		// Otherwise an entry whose first report arrives late would add all its earlier counts to this step, and past failures would halt the rollout.
		const baselineCounts = baseline.get(key) ?? now;
		baseline.set(key, baselineCounts);
		before = addCounts(before, baselineCounts);
		since = addCounts(since, countDifference(now, baselineCounts));
	}

	return {since, before};
};

/** If the total decreased, the entry has restarted and counts from 0. */
const countDifference = (now: BurnCounts, earlier: BurnCounts): BurnCounts => now.total < earlier.total
	? now
	: {
		total: now.total - earlier.total, notWhole: now.notWhole - earlier.notWhole, timed: now.timed - earlier.timed, slow: now.slow - earlier.slow,
	};
