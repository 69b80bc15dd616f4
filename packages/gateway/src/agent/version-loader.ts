import type {EngineProfile, OriginProfile} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import type {EngineClient, EngineState, LoadOrderOutcome} from './engine-client.js';
import type {StagedWeights} from './staged-weights.js';
import {heldVersionOf, type WeightsProver} from './weights-prover.js';

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
	readonly prover: WeightsProver;
	readonly logger: Logger;
	/** Time after a version is named until no request may begin on older weights. */
	readonly dueMs: number;
	goal(): LoadGoal | null;
	/** The profile of the engine; `null` while no configuration is known. */
	profile(): EngineProfile | null;
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
/** If the missing chunks do not arrive, or staged ones are spoilt again and again, within this time, the engine returns to service. */
const maxChunkWaitMs = 2500;
/**
 * Share of the engine's slots. The longest streams take three times as long as
 * usual ones; once no more than this share is running, the requests are aborted and
 * continue on other endpoints.
 */
const stragglerShare = 0.25;
/** Requests still running after this time are aborted in any case. */
const maxFinishMs = 1500;

/**
 * Number under which an engine loads what it has staged when it has to be reloaded: an
 * engine does nothing for the version that it already names. Named versions start
 * at 1, so no entry ever asks for weights of this number.
 */
const unnamedVersion = 0;
/** Delay before another attempt to reload an engine that refused. */
const reloadRetryMs = 3000;

/** Brings the engine on the agent's host to the wanted version. It orders the load of complete, verified weights only, and reloads an engine that was not shown to hold them; permits keep the engines of a service from leaving all at once. */
export const createVersionLoader = (options: VersionLoaderOptions): VersionLoader => {
	const {engine, prover, logger, dueMs, goal, profile, engineState, openWeights, requestPermit, setLeavingService} = options;
	let weights: StagedWeights | null = null;
	let isFetching = false;
	let isStepping = false;
	let holdsPermit = false;
	let orderedAtMs = Number.NEGATIVE_INFINITY;
	let reloadedAtMs = Number.NEGATIVE_INFINITY;
	/** The last order if it was refused: the expected number of orders, and when the answer came. */
	let refused: {readonly orderCount: number; readonly atMs: number} | null = null;
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

	const sendOrder = async (model: string, version: number, state: EngineState, fields: Record<string, unknown>): Promise<LoadOrderOutcome> => {
		const {running, orderCount} = state;
		const mode = running > 0 ? 'cutRunning' : 'afterRunning';
		// An engine that refused the order with the number of orders that it still names is asked without it.
		const refusesExpectation = refused !== null && refused.orderCount === orderCount && state.askedAtMs > refused.atMs;
		const wasOpen = prover.hasOpenOrder();
		prover.beginOrder(version, orderCount);
		const sentAtMs = performance.now();
		const outcome = await engine.load({
			model, version, mode, expectedOrderCount: refusesExpectation ? null : orderCount,
		});
		refused = outcome === 'refused' && !refusesExpectation ? {orderCount, atMs: performance.now()} : null;
		const event = match(outcome).with('begun', 'done', () => 'BP4033' as const).with('refused', 'failed', 'unknown', () => 'BP4034' as const).exhaustive();
		logger.event(event, {
			version, outcome, mode, running, orderCount, answeredMs: Math.round(performance.now() - sentAtMs), ...fields,
		});
		if (outcome === 'begun') {
			prover.confirmOrder();
		} else if (outcome === 'done' || (outcome !== 'unknown' && !wasOpen)) {
			prover.closeOrder();
		}

		return outcome;
	};

	/** Stages again what does not match; returns whether all chunks matched in the last read. */
	const repairStaged = async (staged: StagedWeights): Promise<boolean> => {
		await staged.writer.settled();
		const mismatches = await staged.readBack();
		if (mismatches.length === 0) {
			return true;
		}

		logger.event('BP4032', {version: staged.version, chunks: mismatches.length});
		await staged.rewrite(mismatches);
		const remaining = await staged.readBack();
		return remaining.length === 0;
	};

	/** Returns whether an order was sent. */
	const orderLoad = async ({profile: {model}, namedAgeMs}: LoadGoal, staged: StagedWeights, state: EngineState): Promise<boolean> => {
		orderedAtMs = performance.now();
		if (staged.writer.hasOpenWrite(staged.version)) {
			return false;
		}

		if (!prover.mayLoad(staged.version)) {
			logger.event('BP4034', {version: staged.version, reason: 'this start of the engine was shown to hold the version before'});
			return false;
		}

		// While an order may still be accepted, nothing is written: nobody could tell whether the engine took it before or after that.
		if (!prover.hasOpenOrder() && !await repairStaged(staged)) {
			return false;
		}

		const outcome = await sendOrder(model, staged.version, state, {
			namedAgeMs: namedAgeMs === null ? null : Math.round(namedAgeMs), readBackMs: Math.round(performance.now() - orderedAtMs),
		});
		if (outcome === 'begun') {
			await prover.verifyOrder(staged);
		}

		return true;
	};

	/** Makes an engine give up weights that may not be whole; the wanted version is then loaded as into an empty one. */
	const reload = async (wanted: LoadGoal, staged: StagedWeights, state: EngineState): Promise<void> => {
		if (state.isBusy || !staged.isComplete() || performance.now() - reloadedAtMs < reloadRetryMs) {
			return;
		}

		// Entries may still use what was shown before this agent started, and a request for that version may arrive late.
		if (prover.proof().type === 'unknown' || !prover.mayLoad(staged.version)) {
			return;
		}

		reloadedAtMs = performance.now();
		logger.event('BP4062', {version: staged.version});
		await staged.writer.settled();
		await sendOrder(wanted.profile.model, unnamedVersion, state, {});
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

		if (staged.isComplete() && !hasFinished(wanted, state)) {
			return;
		}

		const isOrdered = staged.isComplete() && await orderLoad(wanted, staged, state);
		if (!isOrdered && performance.now() - leftServiceAtMs > maxChunkWaitMs) {
			await returnToService();
		}
	};

	/** Shows what the engine holds, or reloads it if that cannot be shown. */
	const settleHeld = async (wanted: LoadGoal | null, {model, healthPath}: EngineProfile, state: EngineState): Promise<void> => {
		const verdict = await prover.prove({model, healthPath: healthPath ?? null, staged: weights}, state);
		if (verdict === 'unproven' && wanted !== null && weights?.version === wanted.version && heldVersionOf(state, model) === wanted.version) {
			await reload(wanted, weights, state);
		}
	};

	const openWanted = async (wanted: LoadGoal): Promise<void> => {
		const isOpen = weights?.version === wanted.version && weights.model === wanted.profile.model;
		if (!isOpen || (wanted.isConfirmed && !isFetching)) {
			weights = await openWeights(wanted);
			isFetching = weights !== null && wanted.isConfirmed;
		}
	};

	/** Loads the wanted version into an engine that does not name it. */
	const advanceLoad = async (wanted: LoadGoal, state: EngineState): Promise<void> => {
		if (weights === null || state.isBusy || performance.now() - orderedAtMs < orderRetryMs) {
			return;
		}

		if (heldVersionOf(state, wanted.profile.model) !== null && prover.proof().type !== 'none') {
			await advanceServing(wanted, weights, state);
		} else if (weights.isComplete()) {
			await orderLoad(wanted, weights, state);
		}
	};

	const isProven = (): boolean => prover.proof().type === 'whole';

	const advance = async (): Promise<void> => {
		const wanted = goal();
		const state = engineState();
		const engineProfile = profile();
		if (state === null || engineProfile === null) {
			return;
		}

		prover.observe(state, engineProfile.model);
		const held = heldVersionOf(state, engineProfile.model);
		if (held !== null && !isProven() && (state.orderCount === 0 || prover.isVerified(state, engineProfile.model))) {
			await settleHeld(null, engineProfile, state);
		}

		if (wanted === null) {
			return;
		}

		await openWanted(wanted);
		const isWanted = held !== null && held >= wanted.version;
		if (isWanted && !isProven()) {
			await settleHeld(wanted, engineProfile, state);
		}

		const proof = prover.proof();
		recordServedVersion(proof.type === 'whole' ? proof.version : null);
		if (!isWanted) {
			await advanceLoad(wanted, state);
		} else if (isProven()) {
			await returnToService();
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
