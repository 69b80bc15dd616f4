import type {HostReport} from '@bitternpaddle/protocol';
import {
	modelIdSchema, type Catalog, type Change, type RolloutRecord,
} from '@bitternpaddle/state';
import {findRolloutBurn, type BurnBaseline} from './rollout-burn.js';

type Counts = {readonly answered: number; readonly failed: number};

/** Since when a step is watched, and what entries had counted before it. */
type StepWatch = {readonly step: number; readonly sinceMs: number; readonly before: ReadonlyMap<string, Counts>; readonly burnBefore: BurnBaseline};

/** The leader's memory of running moves, by model. It is lost with the leader; the next one watches the step anew. */
export type RolloutWatch = Map<string, StepWatch>;

export type PlanRolloutsOptions = {
	readonly catalog: Catalog;
	readonly watch: RolloutWatch;
	/** What entries say now. */
	readonly entryReports: readonly HostReport[];
	/** Whether all entries in service are among them. */
	readonly isComplete: boolean;
	readonly nowMs: number;
};

/** Fewer failures than this say nothing about a fleet. */
const minFailures = 3;

/**
 * The next steps of moves that are due, and a stop for those whose target
 * fails or whose service's burn rises. The plan and its progress are in the catalog, so a leader that takes
 * over goes on from there; each change names the step that it saw, so a step
 * is done once whoever proposes it, and not at all after an operator's stop.
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
	const watched = watch.get(modelId);
	if (watched?.step !== step) {
		const burnBefore: BurnBaseline = new Map();
		watch.set(modelId, {
			step, sinceMs: nowMs, before: countsOf(options, rollout), burnBefore,
		});
		findBurn(options, rollout, burnBefore);
		return null;
	}

	const {answered, failed} = sinceStep(options, rollout, watched);
	const errorPercent = failed / Math.max(1, answered + failed) * 100;
	if (failed >= minFailures && errorPercent > rollout.maxErrorPercent) {
		return {
			type: 'haltRollout', modelId, step, detail: `${failed} of ${answered + failed} requests to ${rollout.toFleetId} failed, more than ${rollout.maxErrorPercent}%`,
		};
	}

	const burn = findBurn(options, rollout, watched.burnBefore);
	if (burn !== null) {
		return {
			type: 'haltRollout', modelId, step, detail: burn,
		};
	}

	const hasHeld = step === 0 || nowMs - watched.sinceMs >= holdMs;
	return hasHeld && isComplete && hasRoom(catalog, rollout) ? {type: 'advanceRollout', modelId, step} : null;
};

const findBurn = ({catalog, entryReports}: PlanRolloutsOptions, rollout: RolloutRecord, baseline: BurnBaseline): string | null => findRolloutBurn({
	catalog, entryReports, rollout, baseline, minBad: minFailures,
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
		// An entry that restarted counts from 0 again.
		const isSameStart = earlier !== undefined && earlier.answered <= now.answered && earlier.failed <= now.failed;
		answered += now.answered - (isSameStart ? earlier.answered : 0);
		failed += now.failed - (isSameStart ? earlier.failed : 0);
	}

	return {answered, failed};
};

/** Whether the target has ready hosts for the share that it would have, as a part of all that it should have. */
const hasRoom = (catalog: Catalog, {modelId, toFleetId, percent, movedPercent, stepPercent}: RolloutRecord): boolean => {
	const fleet = catalog.fleets[toFleetId];
	if (fleet === undefined) {
		return false;
	}

	const held = catalog.models[modelId]?.traffic.find(({fleetId}) => fleetId === toFleetId)?.percent ?? 0;
	const wanted = held + Math.min(stepPercent, percent - movedPercent);
	const ready = Object.values(catalog.hosts).filter(host => host.assignment?.fleetId === toFleetId && host.readyVersionId === fleet.versionId).length;
	return ready >= Math.max(1, Math.ceil(fleet.replicas * wanted / 100));
};
