import type {EngineProfile, OriginProfile} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient, EngineState} from './engine-client.js';
import type {StagedWeights} from './staged-weights.js';

/** The version that the engine should load now. */
export type LoadGoal = {
	readonly profile: EngineProfile;
	readonly origin: OriginProfile;
	readonly version: number;
	/** Time since the version was named; `null` if it never was. */
	readonly namedAgeMs: number | null;
	/**
	 * Whether the version is confirmed to be the wanted one. Until then nothing is
	 * fetched, but chunks still staged on the host after a power loss are read and,
	 * if complete, loaded. This starts serving half a second before confirmation.
	 */
	readonly isConfirmed: boolean;
};

export type VersionLoaderOptions = {
	readonly engine: EngineClient;
	readonly logger: Logger;
	/** Time after a version is named until no request may begin on older weights. */
	readonly dueMs: number;
	goal(): LoadGoal | null;
	/** The engine's state at the last poll; `null` while it is unreachable. */
	engineState(): EngineState | null;
	/** Opens the chunks of a version, whatever their source; `null` while its digests are unknown. */
	openWeights(goal: LoadGoal): Promise<StagedWeights | null>;
	/** Requests a permit from the core for the engine to leave service, or returns it if `isDone`. */
	requestPermit(isDone: boolean): Promise<boolean>;
	/** Sets whether entries should stop sending requests to the engine for now. */
	setLeavingService(isLeaving: boolean): Promise<void>;
};

export type VersionLoader = {
	/** Performs the next step towards the wanted version; does nothing while the previous call is in progress. */
	step(): Promise<void>;
};

/** An engine without a permit this long before the due time proceeds without one: finishing running requests takes about 1 s and loading a third of a second. With an earlier limit, all remaining engines would leave service at once. */
const permitBypassLeadMs = 1300;
/** Delay before a refused or lost load order is retried. */
const orderRetryMs = 300;
/**
 * Share of the chunks with which an engine leaves service: the rest arrive while
 * it finishes its running requests. Waiting for all chunks would make it finish a
 * second later, and so would the two thirds of the engines that wait for a permit.
 */
const leaveServiceShare = 0.7;
/** If the missing chunks do not arrive within this time, the engine returns to service. */
const maxChunkWaitMs = 2500;
/**
 * Share of the engine's slots. The longest streams take three times as long as
 * usual ones; once no more than this share is running, the requests are aborted and
 * continue on other endpoints.
 */
const stragglerShare = 0.25;
/** Requests still running after this time are aborted in any case. */
const maxFinishMs = 1500;

export const heldVersionOf = (state: EngineState, model: string): number | null => state.models.find(held => held.model === model)?.version ?? null;

/** Brings the engine on the agent's host to the wanted version. It loads only complete, verified weights, and permits keep the engines of a service from leaving all at once. */
export const createVersionLoader = (options: VersionLoaderOptions): VersionLoader => {
	const {engine, logger, dueMs, goal, engineState, openWeights, requestPermit, setLeavingService} = options;
	let weights: StagedWeights | null = null;
	let isFetching = false;
	let isStepping = false;
	let holdsPermit = false;
	let orderedAtMs = Number.NEGATIVE_INFINITY;
	/** When the engine left service; `null` while it serves. */
	let leftServiceAtMs: number | null = null;
	let servedVersion: number | null = null;

	const recordServedVersion = (version: number | null): void => {
		if (version !== servedVersion) {
			servedVersion = version;
			logger.event('BP4035', {version});
		}
	};

	const mayLeaveService = async ({namedAgeMs}: LoadGoal): Promise<boolean> => {
		const isLate = namedAgeMs !== null && namedAgeMs > dueMs - permitBypassLeadMs;
		holdsPermit ||= isLate || await requestPermit(false);
		return holdsPermit;
	};

	const leaveService = async (): Promise<void> => {
		if (leftServiceAtMs === null) {
			leftServiceAtMs = performance.now();
			await setLeavingService(true);
		}
	};

	/** Returns the engine to service and its permit to the core. */
	const returnToService = async (): Promise<void> => {
		if (leftServiceAtMs !== null) {
			leftServiceAtMs = null;
			await setLeavingService(false);
		}

		if (holdsPermit) {
			holdsPermit = false;
			await requestPermit(true);
		}
	};

	const orderLoad = async (wanted: LoadGoal, staged: StagedWeights, running: number): Promise<void> => {
		orderedAtMs = performance.now();
		// Staged chunks may become corrupted, so they are read back right before the load order.
		const repaired = await staged.repair();
		if (repaired > 0) {
			logger.event('BP4032', {version: staged.version, chunks: repaired});
			if (await staged.repair() > 0) {
				return;
			}
		}

		const mode = running > 0 ? 'cutRunning' : 'afterRunning';
		const sentAtMs = performance.now();
		const fields = {
			version: staged.version, mode, running, namedAgeMs: wanted.namedAgeMs === null ? null : Math.round(wanted.namedAgeMs),
			orderCount: engineState()?.orderCount ?? null, readBackMs: Math.round(sentAtMs - orderedAtMs),
		};
		const outcome = await engine.load(wanted.profile.model, staged.version, mode).catch((error: unknown) => {
			logger.event('BP4034', {...fields, answeredMs: null, reason: (error as Error).message});
			return null;
		});
		if (outcome !== null) {
			logger.event(outcome === 'refused' ? 'BP4034' : 'BP4033', {...fields, outcome, answeredMs: Math.round(performance.now() - sentAtMs)});
		}

		if (outcome !== 'refused') {
			const mismatches = await staged.readBack();
			logger.event('BP4061', {version: staged.version, mismatches: mismatches.length, afterMs: Math.round(performance.now() - sentAtMs)});
		}
	};

	/** Whether running requests have finished, except for a few stragglers that would delay the switch. */
	const hasFinished = ({profile: {slots}}: LoadGoal, {running, queued}: EngineState): boolean => {
		const waitedMs = performance.now() - (leftServiceAtMs ?? performance.now());
		return (queued === 0 && running <= slots * stragglerShare) || waitedMs > maxFinishMs;
	};

	const advanceServing = async (wanted: LoadGoal, staged: StagedWeights, state: EngineState): Promise<void> => {
		const share = staged.heldChunks().length / staged.manifest.chunkDigests.length;
		if (leftServiceAtMs === null && share >= leaveServiceShare && await mayLeaveService(wanted)) {
			await leaveService();
			return;
		}

		if (leftServiceAtMs === null) {
			return;
		}

		if (!staged.isComplete()) {
			if (performance.now() - leftServiceAtMs > maxChunkWaitMs) {
				await returnToService();
			}

			return;
		}

		if (hasFinished(wanted, state)) {
			await orderLoad(wanted, staged, state.running);
		}
	};

	const advance = async (): Promise<void> => {
		const wanted = goal();
		const state = engineState();
		if (wanted === null || state === null) {
			return;
		}

		const isOpen = weights?.version === wanted.version && weights.model === wanted.profile.model;
		if (!isOpen || (wanted.isConfirmed && !isFetching)) {
			weights = await openWeights(wanted);
			isFetching = weights !== null && wanted.isConfirmed;
		}

		const currentVersion = heldVersionOf(state, wanted.profile.model);
		recordServedVersion(currentVersion);
		if (currentVersion !== null && currentVersion >= wanted.version) {
			await returnToService();
			return;
		}

		if (weights === null || state.isBusy || performance.now() - orderedAtMs < orderRetryMs) {
			return;
		}

		if (currentVersion !== null) {
			await advanceServing(wanted, weights, state);
		} else if (weights.isComplete()) {
			await orderLoad(wanted, weights, 0);
		}
	};

	return {
		async step() {
			if (isStepping) {
				return;
			}

			isStepping = true;
			try {
				await advance();
			} catch (error) {
				logger.event('BP4034', {reason: (error as Error).message});
			} finally {
				isStepping = false;
			}
		},
	};
};
