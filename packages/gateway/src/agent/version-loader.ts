import type {EngineProfile, OriginProfile} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient, EngineState} from './engine-client.js';
import type {StagedWeights} from './staged-weights.js';

/** What is wanted of the engine now. */
export type LoadGoal = {
	readonly profile: EngineProfile;
	readonly origin: OriginProfile;
	readonly version: number;
	/** How long ago the version was named; `null` if it never was. */
	readonly namedAgeMs: number | null;
	/**
	 * Whether the version is surely the one that is wanted. Until then nothing is
	 * fetched; what the engine's host still holds of it after a loss of power is read
	 * and, if it is whole, loaded: half a second before it is sure.
	 */
	readonly isSure: boolean;
};

export type VersionLoaderOptions = {
	readonly engine: EngineClient;
	readonly logger: Logger;
	/** No request begins on older weights later than this after newer ones were named. */
	readonly dueMs: number;
	goal(): LoadGoal | null;
	/** The engine's state as last read; `null` while it cannot be reached. */
	engineState(): EngineState | null;
	/** The chunks of a version, from wherever they are; `null` while its digests are not known. */
	openWeights(goal: LoadGoal): Promise<StagedWeights | null>;
	/** Asks the core whether the engine may leave service. */
	askPermit(isDone: boolean): Promise<boolean>;
	/** Whether entries should send nothing more for now. */
	setLeavingService(isLeaving: boolean): Promise<void>;
};

export type VersionLoader = {
	/** One look at what is to be done; does nothing while the one before is under way. */
	step(): Promise<void>;
};

/** Finishing what runs takes a second or so and loading a third of one: an engine that has no permit by then goes without. Earlier, all that are left would go at once. */
const lastChanceMs = 1300;
/** A refused or lost order is given again after this. */
const orderRetryMs = 300;
/**
 * An engine leaves service once it has this share of the chunks: the last ones
 * come while it finishes what it runs. Without this it would finish a second
 * later, and so would the two thirds that wait for it.
 */
const leavingShare = 0.7;
/** Chunks that do not come in this time are held up: the engine goes back into service. */
const chunksWithinMs = 2500;
/**
 * Of the engine's places. The longest streams take three times as long as usual
 * ones; once no more than these are left, they are cut and go on elsewhere.
 */
const stragglerShare = 0.25;
/** What is left after this is cut in any case. */
const finishWithinMs = 1500;

export const versionIn = (state: EngineState, model: string): number | null => state.models.find(held => held.model === model)?.version ?? null;

/** Brings the engine beside the agent to the version that is wanted: whole, checked, and not all engines at once. */
export const createVersionLoader = (options: VersionLoaderOptions): VersionLoader => {
	const {engine, logger, dueMs, goal, engineState, openWeights, askPermit, setLeavingService} = options;
	let weights: StagedWeights | null = null;
	let isFetching = false;
	let isStepping = false;
	let holdsPermit = false;
	let orderedAtMs = Number.NEGATIVE_INFINITY;
	/** Since when the engine has left service; `null` while it serves. */
	let leftAtMs: number | null = null;
	let servedVersion: number | null = null;

	const noteServed = (version: number | null): void => {
		if (version !== servedVersion) {
			servedVersion = version;
			logger.event('BP4035', {version});
		}
	};

	const mayLeaveService = async ({namedAgeMs}: LoadGoal): Promise<boolean> => {
		const isLate = namedAgeMs !== null && namedAgeMs > dueMs - lastChanceMs;
		holdsPermit ||= isLate || await askPermit(false);
		return holdsPermit;
	};

	const leave = async (): Promise<void> => {
		if (leftAtMs === null) {
			leftAtMs = performance.now();
			await setLeavingService(true);
		}
	};

	/** Back into service, and the permit to whoever waits for it. */
	const comeBack = async (): Promise<void> => {
		if (leftAtMs !== null) {
			leftAtMs = null;
			await setLeavingService(false);
		}

		if (holdsPermit) {
			holdsPermit = false;
			await askPermit(true);
		}
	};

	const order = async (wanted: LoadGoal, staged: StagedWeights, running: number): Promise<void> => {
		orderedAtMs = performance.now();
		// Chunks may rot where they are staged, so they are read back right before the order.
		const repaired = await staged.repair();
		if (repaired > 0) {
			logger.event('BP4032', {version: staged.version, chunks: repaired});
			if (await staged.repair() > 0) {
				return;
			}
		}

		const mode = running > 0 ? 'cutRunning' : 'afterRunning';
		const outcome = await engine.load(wanted.profile.model, staged.version, mode);
		logger.event(outcome === 'refused' ? 'BP4034' : 'BP4033', {
			version: staged.version, outcome, mode, running, namedAgeMs: wanted.namedAgeMs === null ? null : Math.round(wanted.namedAgeMs),
		});
	};

	/** Whether what runs is done, but for a few that would hold the switch up. */
	const hasFinished = ({profile: {slots}}: LoadGoal, {running, queued}: EngineState): boolean => {
		const waitedMs = performance.now() - (leftAtMs ?? performance.now());
		return (queued === 0 && running <= slots * stragglerShare) || waitedMs > finishWithinMs;
	};

	const advanceServing = async (wanted: LoadGoal, staged: StagedWeights, state: EngineState): Promise<void> => {
		const share = staged.heldChunks().length / staged.manifest.chunkDigests.length;
		if (leftAtMs === null && share >= leavingShare && await mayLeaveService(wanted)) {
			await leave();
			return;
		}

		if (leftAtMs === null) {
			return;
		}

		if (!staged.isComplete()) {
			if (performance.now() - leftAtMs > chunksWithinMs) {
				await comeBack();
			}

			return;
		}

		if (hasFinished(wanted, state)) {
			await order(wanted, staged, state.running);
		}
	};

	const advance = async (): Promise<void> => {
		const wanted = goal();
		const state = engineState();
		if (wanted === null || state === null) {
			return;
		}

		const isOpen = weights?.version === wanted.version && weights.model === wanted.profile.model;
		if (!isOpen || (wanted.isSure && !isFetching)) {
			weights = await openWeights(wanted);
			isFetching = weights !== null && wanted.isSure;
		}

		const served = versionIn(state, wanted.profile.model);
		noteServed(served);
		if (served !== null && served >= wanted.version) {
			await comeBack();
			return;
		}

		if (weights === null || state.isBusy || performance.now() - orderedAtMs < orderRetryMs) {
			return;
		}

		if (served !== null) {
			await advanceServing(wanted, weights, state);
		} else if (weights.isComplete()) {
			await order(wanted, weights, 0);
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
