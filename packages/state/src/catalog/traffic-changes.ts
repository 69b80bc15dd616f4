import {
	modelOfVersion, refuse, type ChangeOf, type Outcome,
} from './refusal.js';
import type {Catalog, RolloutRecord, TrafficShare} from './types.js';

type TrafficMove = {readonly modelId: string; readonly fromFleetId: string; readonly toFleetId: string; readonly percent: number};

export const moveTraffic = (catalog: Catalog, change: ChangeOf<'moveTraffic'>): Outcome => {
	if (catalog.rollouts[change.modelId]?.state === 'running') {
		return refuse('conflict', `a move of ${change.modelId} in steps is running; stop it first`);
	}

	const refusal = checkMove(catalog, change);
	if (refusal === null) {
		applyMove(catalog, change);
	}

	return refusal;
};

const checkMove = (catalog: Catalog, {modelId, fromFleetId, toFleetId, percent}: TrafficMove): Outcome => {
	const model = catalog.models[modelId];
	if (model === undefined) {
		return refuse('unknown', `no model ${modelId}`);
	}

	const target = catalog.fleets[toFleetId];
	if (target === undefined) {
		return refuse('unknown', `no fleet ${toFleetId}`);
	}

	if (!target.isLoaded || modelOfVersion(target.versionId) !== modelId) {
		return refuse('conflict', `fleet ${toFleetId} is not loaded with ${modelId}`);
	}

	const currentPercent = model.traffic.find(share => share.fleetId === fromFleetId)?.percent ?? 0;
	return currentPercent < percent ? refuse('conflict', `fleet ${fromFleetId} has ${currentPercent}% of ${modelId}, not ${percent}%`) : null;
};

const applyMove = (catalog: Catalog, {modelId, fromFleetId, toFleetId, percent}: TrafficMove): void => {
	const shares = new Map(catalog.models[modelId]!.traffic.map(share => [share.fleetId, share.percent]));
	shares.set(fromFleetId, (shares.get(fromFleetId) ?? 0) - percent);
	shares.set(toFleetId, (shares.get(toFleetId) ?? 0) + percent);
	const traffic: TrafficShare[] = [...shares]
		.filter(([, share]) => share > 0)
		.map(([fleetId, share]) => ({fleetId, percent: share}));
	catalog.models[modelId] = {traffic};
};

/** Records a move in steps; the leader proposes each step after the previous one has succeeded. */
export const startRollout = (catalog: Catalog, {type, ...plan}: ChangeOf<'startRollout'>): Outcome => {
	const {modelId, fromFleetId, toFleetId} = plan;
	if (isUnfinished(catalog.rollouts[modelId])) {
		return refuse('conflict', `a move of ${modelId} is ${catalog.rollouts[modelId]!.state}; roll it back or let it end first`);
	}

	if (fromFleetId === toFleetId) {
		return refuse('conflict', `fleet ${fromFleetId} cannot be moved to itself`);
	}

	const refusal = checkMove(catalog, plan);
	if (refusal !== null) {
		return refusal;
	}

	catalog.rollouts[modelId] = {
		...plan, state: 'running', movedPercent: 0, step: 0, detail: '', trafficBefore: catalog.models[modelId]!.traffic,
	};
	return null;
};

/** Whether the rollout can still change traffic. */
const isUnfinished = (rollout: RolloutRecord | undefined): boolean => rollout?.state === 'running' || rollout?.state === 'stopped';

/**
 * Applies the leader's next step. The proposal names the step that it is based
 * on: otherwise a deposed leader, or a proposal that is applied after an operator
 * stopped the move, could move a share that must no longer move, or move it twice.
 */
export const advanceRollout = (catalog: Catalog, {modelId, step}: ChangeOf<'advanceRollout'>): Outcome => {
	const rollout = catalog.rollouts[modelId];
	if (rollout?.state !== 'running' || rollout.step !== step) {
		return refuse('stale', `the move of ${modelId} is not at step ${step}`);
	}

	const percent = Math.min(rollout.stepPercent, rollout.percent - rollout.movedPercent);
	if (percent <= 0) {
		// The last step has succeeded too.
		catalog.rollouts[modelId] = {...rollout, step: step + 1, state: 'done'};
		return null;
	}

	const refusal = checkMove(catalog, {...rollout, percent});
	if (refusal !== null) {
		return refusal;
	}

	applyMove(catalog, {...rollout, percent});
	catalog.rollouts[modelId] = {...rollout, movedPercent: rollout.movedPercent + percent, step: step + 1};
	return null;
};

/** Stops a move whose target fails, on the leader's proposal; `step` as in `advanceRollout`. */
export const haltRollout = (catalog: Catalog, {modelId, step, detail}: ChangeOf<'haltRollout'>): Outcome => {
	const rollout = catalog.rollouts[modelId];
	if (rollout?.state !== 'running' || rollout.step !== step) {
		return refuse('stale', `the move of ${modelId} is not at step ${step}`);
	}

	catalog.rollouts[modelId] = {...rollout, state: 'stopped', detail};
	return null;
};

export const stopRollout = (catalog: Catalog, {modelId}: ChangeOf<'stopRollout'>): Outcome => {
	const rollout = catalog.rollouts[modelId];
	if (rollout?.state !== 'running') {
		return refuse('conflict', `no move of ${modelId} is running`);
	}

	catalog.rollouts[modelId] = {...rollout, state: 'stopped', detail: 'stopped by an operator'};
	return null;
};

export const resumeRollout = (catalog: Catalog, {modelId}: ChangeOf<'resumeRollout'>): Outcome => {
	const rollout = catalog.rollouts[modelId];
	if (rollout?.state !== 'stopped') {
		return refuse('conflict', `no move of ${modelId} is stopped`);
	}

	catalog.rollouts[modelId] = {...rollout, state: 'running', detail: ''};
	return null;
};

/** Restores at once the traffic shares from before the move. */
export const rollBack = (catalog: Catalog, {modelId}: ChangeOf<'rollBack'>): Outcome => {
	const rollout = catalog.rollouts[modelId];
	if (rollout === undefined || rollout.state === 'rolledBack') {
		return refuse('conflict', `no move of ${modelId} can be rolled back`);
	}

	const missing = rollout.trafficBefore.find(({fleetId}) => catalog.fleets[fleetId]?.isLoaded !== true);
	if (missing !== undefined) {
		return refuse('conflict', `fleet ${missing.fleetId} is no longer loaded`);
	}

	catalog.models[modelId] = {traffic: rollout.trafficBefore};
	catalog.rollouts[modelId] = {
		...rollout, state: 'rolledBack', movedPercent: 0, detail: '',
	};
	return null;
};
