import type {ManifestId} from '@bitternpaddle/state';
import {askEngine, orderLoad, type EngineStatus} from './engine-client.js';

/** What an order wants the engine to hold. */
export type ActivationOrder = {
	readonly versionId: string;
	readonly manifestId: ManifestId;
	readonly digest: string;
	readonly filePath: string;
	readonly fencingNumber: number;
	/** Number of the order about the version alone; an engine that holds it since then is not loaded again for an order about adapters. */
	readonly versionFencingNumber: number;
};

export type ActivationOutcome
	= | {readonly type: 'active'}
		| {readonly type: 'superseded'}
		| {readonly type: 'failed'; readonly detail: string};

export type ActivateOptions = {
	readonly endpointAddress: string;
	readonly order: ActivationOrder;
	/** Whether this order is the newest that control has given and control has confirmed it lately. */
	readonly isInForce: () => boolean;
};

export const holds = (status: EngineStatus, {versionId, digest}: {readonly versionId: string; readonly digest: string}): boolean =>
	status.versionId === versionId && status.digest === digest;

/**
 * Orders the engine to load, if this host may order at all. An engine that
 * ignores fencing numbers obeys everybody, so the check is made here: an agent
 * that was restarted or cut off orders nothing until control has confirmed
 * which order is in force. The engine is asked afterwards what it really
 * holds, because an order of an older agent may have come in between.
 */
export const activate = async ({endpointAddress, order, isInForce}: ActivateOptions): Promise<ActivationOutcome> => {
	if (!isInForce()) {
		return {type: 'superseded'};
	}

	const before = await askEngine(endpointAddress);
	if (before.fencingNumber >= order.versionFencingNumber && before.fencingNumber <= order.fencingNumber && holds(before, order)) {
		return {type: 'active'};
	}

	const {versionId, filePath, fencingNumber} = order;
	const outcome = await orderLoad(endpointAddress, {versionId, filePath, fencingNumber});
	if (outcome.type === 'fenced') {
		return {type: 'failed', detail: 'the engine has seen a later order'};
	}

	if (outcome.type === 'failed') {
		return outcome;
	}

	const status = await askEngine(endpointAddress);
	return holds(status, order)
		? {type: 'active'}
		: {type: 'failed', detail: `the engine holds ${status.versionId ?? 'nothing'} with digest ${status.digest ?? 'none'}`};
};

export type EngineWatchOptions = {
	readonly endpointAddress: string;
	/** What the agent takes the engine to hold. */
	readonly expected: () => {readonly versionId: string; readonly digest: string} | null;
	/** The engine holds something else, or has not answered twice in a row. */
	onLost(detail: string): void;
	/** @default 1000 */
	readonly everyMs?: number;
};

const toleratedSilences = 1;

/**
 * Asks the engine again and again what it holds. One that was restarted is
 * empty, one that an old agent gave an order has other weights; the entries
 * would go on sending requests there, to be refused one by one.
 */
export const watchEngine = ({endpointAddress, expected, onLost, everyMs = 1000}: EngineWatchOptions): {close(): void} => {
	let silences = 0;
	let isAsking = false;
	const check = async (): Promise<void> => {
		const wanted = expected();
		if (wanted === null || isAsking) {
			return;
		}

		isAsking = true;
		try {
			const status = await askEngine(endpointAddress);
			silences = 0;
			if (expected() === wanted && !holds(status, wanted)) {
				onLost(`the engine holds ${status.versionId ?? 'nothing'} with digest ${status.digest ?? 'none'}`);
			}
		} catch (error) {
			silences++;
			if (silences > toleratedSilences && expected() === wanted) {
				onLost(`the engine does not answer: ${(error as Error).message}`);
			}
		} finally {
			isAsking = false;
		}
	};

	const timer = setInterval(() => {
		void check();
	}, everyMs);
	return {
		close() {
			clearInterval(timer);
		},
	};
};
