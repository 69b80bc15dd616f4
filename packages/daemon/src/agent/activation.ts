import type {ManifestId} from '@bitternpaddle/state';
import {fetchEngineStatus, sendLoadOrder, type EngineStatus} from './engine-client.js';

/** The version that an order tells the engine to load. */
export type ActivationOrder = {
	readonly versionId: string;
	readonly manifestId: ManifestId;
	readonly digest: string;
	readonly filePath: string;
	readonly fencingNumber: number;
	/** Fencing number of the order for the version alone; an engine that loaded the version under it is not reloaded for an order about adapters. */
	readonly versionFencingNumber: number;
};

export type ActivationOutcome
	= | {readonly type: 'active'}
		| {readonly type: 'superseded'}
		| {readonly type: 'failed'; readonly detail: string}
	/** The engine answered the order, but does not hold what was verified. Its file may have changed since. */
		| {readonly type: 'notLoaded'; readonly detail: string};

export type ActivateOptions = {
	readonly endpointAddress: string;
	readonly order: ActivationOrder;
	/** Whether this order is the newest one from control and control has confirmed it within the lease. */
	readonly isInForce: () => boolean;
};

export const hasLoaded = (status: EngineStatus, {versionId, digest}: {readonly versionId: string; readonly digest: string}): boolean =>
	status.versionId === versionId && status.digest === digest;

/**
 * Orders the engine to load a version, if this host is allowed to send orders.
 * An engine that ignores fencing numbers accepts orders from any agent, so the
 * check is made here: an agent that was restarted or partitioned sends no order
 * until control has confirmed which one is in force. Afterwards the engine's
 * status is read back, because an order from an older agent may have been
 * executed in between.
 */
export const activate = async ({endpointAddress, order, isInForce}: ActivateOptions): Promise<ActivationOutcome> => {
	if (!isInForce()) {
		return {type: 'superseded'};
	}

	const current = await fetchEngineStatus(endpointAddress);
	if (current.fencingNumber >= order.versionFencingNumber && current.fencingNumber <= order.fencingNumber && hasLoaded(current, order)) {
		return {type: 'active'};
	}

	// The lease may have expired, or a newer order may have arrived, while the status was read.
	if (!isInForce()) {
		return {type: 'superseded'};
	}

	const {versionId, filePath, fencingNumber} = order;
	const outcome = await sendLoadOrder(endpointAddress, {versionId, filePath, fencingNumber});
	if (outcome.type === 'fenced') {
		return {type: 'failed', detail: 'the engine has received a newer order'};
	}

	if (outcome.type === 'failed') {
		return {type: 'notLoaded', detail: outcome.detail};
	}

	const status = await fetchEngineStatus(endpointAddress);
	return hasLoaded(status, order)
		? {type: 'active'}
		: {type: 'notLoaded', detail: `the engine reports version ${status.versionId ?? 'none'} with digest ${status.digest ?? 'none'}`};
};

export type EngineWatchOptions = {
	readonly endpointAddress: string;
	/** The weights that the agent assumes are loaded in the engine. */
	readonly expected: () => {readonly versionId: string; readonly digest: string} | null;
	/** The engine reports other weights, or its status could not be read twice in a row. */
	onStateLost(detail: string): void;
	/** @default 1000 */
	readonly intervalMs?: number;
};

const toleratedFailures = 1;

/**
 * Polls the engine for the weights that it has loaded. A restarted engine is
 * empty, and one that executed an order from an old agent has other weights;
 * entries would continue to send requests there, each of which is refused.
 */
export const watchEngine = ({endpointAddress, expected, onStateLost, intervalMs = 1000}: EngineWatchOptions): {close(): void} => {
	let consecutiveFailures = 0;
	let isChecking = false;
	const check = async (): Promise<void> => {
		const wanted = expected();
		if (wanted === null || isChecking) {
			return;
		}

		isChecking = true;
		try {
			const status = await fetchEngineStatus(endpointAddress);
			consecutiveFailures = 0;
			if (expected() === wanted && !hasLoaded(status, wanted)) {
				onStateLost(`the engine reports version ${status.versionId ?? 'none'} with digest ${status.digest ?? 'none'}`);
			}
		} catch (error) {
			consecutiveFailures++;
			if (consecutiveFailures > toleratedFailures && expected() === wanted) {
				onStateLost(`the engine's status could not be read: ${(error as Error).message}`);
			}
		} finally {
			isChecking = false;
		}
	};

	const timer = setInterval(() => {
		void check();
	}, intervalMs);
	return {
		close() {
			clearInterval(timer);
		},
	};
};
