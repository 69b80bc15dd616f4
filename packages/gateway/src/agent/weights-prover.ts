import type {WeightsProof} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient, EngineState} from './engine-client.js';
import type {StagedWeights} from './staged-weights.js';

/** The version that an engine names for all layers of a model; `null` if none. It does not tell whether the weights are whole. */
export const heldVersionOf = (state: EngineState, model: string): number | null => state.models.find(held => held.model === model)?.version ?? null;

export type WeightsProverOptions = {
	readonly engine: Pick<EngineClient, 'state' | 'identity'>;
	readonly logger: Logger;
	/** Called when the proof changes. */
	onChange(proof: WeightsProof): void;
	/** Called when the engine is found to have restarted. */
	onRestart(): void;
	/** Called with the time for which the engine has run and answered since the last state. */
	onResponsive(forMs: number): void;
};

/** `unproven`: the weights may be partial, spoilt or mixed, and no later read can show otherwise. `undecided`: not known yet. */
export type ProofVerdict = 'whole' | 'unproven' | 'undecided';

export type ProveOptions = {
	readonly model: string;
	/** Path at which the engine tells its id; `null` if there is none. */
	readonly healthPath: string | null;
	/** The chunks of the version that the engine names; `null` if they are not known. */
	readonly staged: StagedWeights | null;
};

/**
 * Shows whether an engine holds whole weights. An engine loads what is staged when it
 * accepts an order and verifies nothing, and anything may happen between a check of
 * the staged chunks and that moment. Staged chunks don't become right again unless they are
 * written, so chunks that are found right after the order was accepted, and were not
 * written in between, were right when it was accepted.
 */
export type WeightsProver = {
	proof(): WeightsProof;
	/** Records a state of the engine. */
	observe(state: EngineState, model: string): void;
	/** Must be called before an order is sent: from then on, what the engine holds is not known. */
	beginOrder(version: number, expectedOrderCount: number): void;
	/** The engine accepted the order between its sending and now. */
	confirmOrder(): void;
	/** The engine answered that the order has no effect. */
	closeOrder(): void;
	/** Whether the engine may still accept an order that it has not answered. No chunk may be written until then. */
	hasOpenOrder(): boolean;
	/** Reads back what is staged after an order was accepted, without waiting for the load to end. */
	verifyOrder(staged: StagedWeights): Promise<void>;
	/** Whether the load of the version that the engine names was found right. */
	isVerified(state: EngineState, model: string): boolean;
	/**
	 * Whether this start of the engine may load the version again. Requests that name a version
	 * which this start was shown to hold may arrive late, and could not tell a second load of it.
	 */
	mayLoad(version: number): boolean;
	prove(options: ProveOptions, state: EngineState): Promise<ProofVerdict>;
};

/** `acceptedAfterMs`: a time before which the engine had not accepted the last of these orders; `null` if not known. */
type OrderCount = {readonly count: number; readonly acceptedAfterMs: number | null};

type SentOrder = {readonly version: number; readonly expectedOrderCount: number; readonly sentAtMs: number; isConfirmed: boolean};

/** A load, by its version and the largest number of accepted orders with which it is the last one. */
type KnownLoad = {readonly version: number; readonly orderCount: number};

/** An engine that is too busy to tell its id is asked again after this time. */
const identityRetryMs = 500;
/** An engine that answers states further apart than this may not have run in between. */
const maxStateGapMs = 200;

export const createWeightsProver = ({engine, logger, onChange, onRestart, onResponsive}: WeightsProverOptions): WeightsProver => {
	let proof: WeightsProof = {type: 'unknown'};
	let provenOrderCount = 0;
	let last: EngineState | null = null;
	let orders: OrderCount | null = null;
	let sentOrder: SentOrder | null = null;
	/** The number of accepted orders that the first order without an answer expects; `null` if there is none. */
	let openOrderCount: number | null = null;
	/** The load after which all staged chunks were found right. */
	let verifiedLoad: KnownLoad | null = null;
	/** The number of accepted orders with which the engine is known not to be provable; `null` if it may be. */
	let unprovableOrderCount: number | null = null;
	let identityFailedAtMs = Number.NEGATIVE_INFINITY;
	/** Versions that this start of the engine may have been shown to hold. */
	const usedVersions = new Set<number>();

	const setProof = (next: WeightsProof): void => {
		const isChanged = JSON.stringify(next) !== JSON.stringify(proof);
		proof = next;
		if (isChanged) {
			onChange(next);
		}
	};

	/** An engine loses its weights by an order or by a restart. */
	const hasLostWeights = (state: EngineState, before: EngineState): boolean => state.orderCount === before.orderCount && !state.isBusy && !before.isBusy
		&& state.models.length === 0 && before.models.length > 0;

	const isOtherStart = (state: EngineState): boolean => last !== null
		&& (state.orderCount < last.orderCount || state.startedAtMs !== last.startedAtMs || hasLostWeights(state, last));

	const isStillProven = (state: EngineState, model: string): boolean => proof.type === 'whole' && heldVersionOf(state, model) === proof.version && state.orderCount === provenOrderCount;

	const countOrders = (state: EngineState): void => {
		if (orders === null || isOtherStart(state)) {
			orders = {count: state.orderCount, acceptedAfterMs: null};
		} else if (orders.count !== state.orderCount) {
			orders = {count: state.orderCount, acceptedAfterMs: last?.askedAtMs ?? null};
		}

		if (openOrderCount !== null && state.orderCount > openOrderCount) {
			openOrderCount = null;
		}
	};

	const forgetStart = (): void => {
		sentOrder = null;
		openOrderCount = null;
		verifiedLoad = null;
		unprovableOrderCount = null;
		usedVersions.clear();
		onRestart();
	};

	const isOwnLoad = (state: EngineState, version: number): boolean => sentOrder !== null && sentOrder.isConfirmed && sentOrder.version === version
		&& state.orderCount <= sentOrder.expectedOrderCount + 1;

	/** When the weights that the engine names were taken at the earliest; `null` if not known. */
	const takenAfterMs = (state: EngineState, version: number): number | null => isOwnLoad(state, version) ? sentOrder!.sentAtMs : orders?.acceptedAfterMs ?? null;

	/** Reads back the chunks of a load that was accepted after `takenMs`. */
	const verifyStaged = async (staged: StagedWeights, load: KnownLoad, takenMs: number | null): Promise<ProofVerdict> => {
		const {writer, version} = staged;
		const order = sentOrder;
		const lastWriteAtMs = writer.lastWriteAtMs(version);
		if (writer.hasOpenWrite(version)) {
			return 'undecided';
		}

		if (lastWriteAtMs !== Number.NEGATIVE_INFINITY && (takenMs === null || lastWriteAtMs >= takenMs)) {
			return 'unproven';
		}

		const mismatches = await staged.readBack();
		logger.event('BP4061', {version, mismatches: mismatches.length, afterMs: takenMs === null ? null : Math.round(performance.now() - takenMs)});
		if (mismatches.length > 0) {
			return 'unproven';
		}

		if (writer.hasOpenWrite(version) || writer.lastWriteAtMs(version) !== lastWriteAtMs || order !== sentOrder) {
			return 'undecided';
		}

		verifiedLoad = load;
		return 'whole';
	};

	const observe = (state: EngineState, model: string): void => {
		if (last !== null && state.askedAtMs < last.askedAtMs) {
			return;
		}

		const isRestarted = isOtherStart(state);
		countOrders(state);
		if (isRestarted) {
			forgetStart();
		}

		const held = heldVersionOf(state, model);
		if (last === null && held !== null) {
			usedVersions.add(held);
		}

		onResponsive(Math.min(maxStateGapMs, state.askedAtMs - (last?.askedAtMs ?? state.askedAtMs)));
		last = state;
		if (held === null || (proof.type === 'whole' && !isStillProven(state, model))) {
			setProof({type: 'none'});
		}
	};

	const isVerified = (state: EngineState, model: string): boolean => verifiedLoad !== null && verifiedLoad.version === heldVersionOf(state, model) && state.orderCount <= verifiedLoad.orderCount;

	/** Whether the staged chunks show that the engine took whole weights. */
	const verifyLoad = async (staged: StagedWeights | null, version: number, state: EngineState): Promise<ProofVerdict> => {
		if (unprovableOrderCount === state.orderCount) {
			return 'unproven';
		}

		if (staged?.version !== version) {
			return 'undecided';
		}

		const verdict = await verifyStaged(staged, {version, orderCount: state.orderCount}, takenAfterMs(state, version));
		if (verdict === 'unproven') {
			unprovableOrderCount = state.orderCount;
		}

		return verdict;
	};

	const identify = async (healthPath: string): Promise<string | null> => {
		try {
			return await engine.identity(healthPath);
		} catch (error) {
			identityFailedAtMs = performance.now();
			throw error;
		}
	};

	return {
		proof: () => proof,
		observe,
		beginOrder(version, expectedOrderCount) {
			sentOrder = {
				version, expectedOrderCount, sentAtMs: performance.now(), isConfirmed: false,
			};
			openOrderCount ??= expectedOrderCount;
			verifiedLoad = null;
			setProof({type: 'none'});
		},
		confirmOrder() {
			openOrderCount = null;
			unprovableOrderCount = null;
			if (sentOrder !== null) {
				sentOrder.isConfirmed = true;
			}
		},
		closeOrder() {
			openOrderCount = null;
		},
		hasOpenOrder: () => openOrderCount !== null,
		async verifyOrder(staged) {
			if (sentOrder?.isConfirmed && sentOrder.version === staged.version) {
				await verifyStaged(staged, {version: staged.version, orderCount: sentOrder.expectedOrderCount + 1}, sentOrder.sentAtMs);
			}
		},
		isVerified,
		mayLoad: version => !usedVersions.has(version),
		async prove({model, healthPath, staged}, state) {
			const version = heldVersionOf(state, model);
			// While an order is in progress, what is staged is not what the engine names.
			if (version === null || state.isBusy) {
				return 'undecided';
			}

			// An engine that has accepted no order holds what it was started with.
			const isInitial = state.orderCount === 0 && sentOrder === null;
			if (!isInitial && !isVerified(state, model)) {
				const verdict = await verifyLoad(staged, version, state);
				if (verdict !== 'whole') {
					return verdict;
				}
			}

			if (performance.now() - identityFailedAtMs < identityRetryMs) {
				return 'undecided';
			}

			const engineId = healthPath === null ? null : await identify(healthPath);
			// What was verified is of this start of the engine only if the engine has not restarted or taken another order meanwhile.
			const current = await engine.state();
			observe(current, model);
			if (heldVersionOf(current, model) !== version || current.orderCount !== state.orderCount || current.startedAtMs !== state.startedAtMs || current.isBusy) {
				return 'undecided';
			}

			provenOrderCount = current.orderCount;
			usedVersions.add(version);
			setProof({
				type: 'whole', version, engineId, startedAtMs: current.startedAtMs,
			});
			return 'whole';
		},
	};
};
