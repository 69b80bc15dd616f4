import type {HostReport} from '@bitternpaddle/protocol';
import {
	modelIdSchema, type Catalog, type Change, type RolloutRecord,
} from '@bitternpaddle/state';
import {findRolloutBurn, type BurnBaseline} from './rollout-burn.js';

type Counts = {readonly answered: number; readonly failed: number};

/** When the observation of a step began, and the entries' counts at that time. */
type StepWatch = {readonly step: number; readonly sinceMs: number; readonly before: ReadonlyMap<string, Counts>; readonly burnBefore: BurnBaseline};

/** The leader's in-memory observations of running rollouts, by model. A new leader starts to observe the current step from its beginning. */
export type RolloutWatch = Map<string, StepWatch>;

export type PlanRolloutsOptions = {
	readonly catalog: Catalog;
	readonly watch: RolloutWatch;
	/** The entries' current reports. */
	readonly entryReports: readonly HostReport[];
	/** Whether `entryReports` covers all entries in service. */
	readonly isComplete: boolean;
	readonly nowMs: number;
};

/** Fewer failures than this are not significant. */
const minFailures = 3;

/**
 * Plans the next step of each rollout that is due, and halts rollouts whose
 * target fleet fails or whose service's burn rate rises. The plan and its
 * progress are stored in the catalog, so a new leader continues from there.
 * Each change names the step that it was planned for, so a step is executed
 * only once even if several leaders propose it, and never after an operator
 * has stopped the rollout.
 */
export const planRollouts = (options: PlanRolloutsOptions): Change[] => {
	const {catalog, watch} = options;
	const changes: Change[] = [];
	for (const rollout of Object.values(catalog.rollouts)) {
		const change = rollout.state === 'running' ? planStep(options, rollout) : null;
		if (rollout.state !== 'running') {
			watch.delete(rollout.modelId);
		}

		if (change !== null) {
			changes.push(change);
		}
	}

	return changes;
};

const planStep = (options: PlanRolloutsOptions, rollout: RolloutRecord): Change | null => {
	const {catalog, watch, isComplete, nowMs} = options;
	const {step, holdMs} = rollout;
	const modelId = modelIdSchema.parse(rollout.modelId);
	const stepWatch = watch.get(modelId);
	if (stepWatch?.step !== step) {
		const burnBefore: BurnBaseline = new Map();
		watch.set(modelId, {
			step, sinceMs: nowMs, before: countsOf(options, rollout), burnBefore,
		});
		findBurnReason(options, rollout, burnBefore);
		return null;
	}

	const {answered, failed} = sinceStep(options, rollout, stepWatch);
	const errorPercent = failed / Math.max(1, answered + failed) * 100;
	if (failed >= minFailures && errorPercent > rollout.maxErrorPercent) {
		return {
			type: 'haltRollout', modelId, step, detail: `${failed} of ${answered + failed} requests to ${rollout.toFleetId} failed, more than ${rollout.maxErrorPercent}%`,
		};
	}

	const burn = findBurnReason(options, rollout, stepWatch.burnBefore);
	if (burn !== null) {
		return {
			type: 'haltRollout', modelId, step, detail: burn,
		};
	}

	const isHoldOver = step === 0 || nowMs - stepWatch.sinceMs >= holdMs;
	return isHoldOver && isComplete && hasCapacity(catalog, rollout) ? {type: 'advanceRollout', modelId, step} : null;
};

const findBurnReason = ({catalog, entryReports}: PlanRolloutsOptions, rollout: RolloutRecord, baseline: BurnBaseline): string | null => findRolloutBurn({
	catalog, entryReports, rollout, baseline, minBadRequests: minFailures,
});

const countsOf = ({entryReports}: PlanRolloutsOptions, {toFleetId}: RolloutRecord): Map<string, Counts> => new Map(entryReports.flatMap(({hostId, fleetOutcomes = []}) => {
	const counts = fleetOutcomes.find(({fleetId}) => fleetId === toFleetId);
	return counts === undefined ? [] : [[hostId, counts]];
}));

const sinceStep = (options: PlanRolloutsOptions, rollout: RolloutRecord, {before}: StepWatch): Counts => {
	let answered = 0;
	let failed = 0;
	for (const [entryId, now] of countsOf(options, rollout)) {
		const earlier = before.get(entryId);
		// If a count decreased, the entry has restarted and counts from 0.
		const isSameProcess = earlier !== undefined && earlier.answered <= now.answered && earlier.failed <= now.failed;
		answered += now.answered - (isSameProcess ? earlier.answered : 0);
		failed += now.failed - (isSameProcess ? earlier.failed : 0);
	}

	return {answered, failed};
};

/** Whether the target fleet has enough ready hosts for its traffic share after the next step, in proportion to its configured replicas. */
const hasCapacity = (catalog: Catalog, {modelId, toFleetId, percent, movedPercent, stepPercent}: RolloutRecord): boolean => {
	const fleet = catalog.fleets[toFleetId];
	if (fleet === undefined) {
		return false;
	}

	const currentPercent = catalog.models[modelId]?.traffic.find(({fleetId}) => fleetId === toFleetId)?.percent ?? 0;
	const nextPercent = currentPercent + Math.min(stepPercent, percent - movedPercent);
	const ready = Object.values(catalog.hosts).filter(host => host.assignment?.fleetId === toFleetId && host.readyVersionId === fleet.versionId).length;
	return ready >= Math.max(1, Math.ceil(fleet.replicas * nextPercent / 100));
};
