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
	/** Reads back what is staged after an order was accepted, without waiting for the load to end. */
	verifyOrder(staged: StagedWeights): Promise<void>;
	prove(options: ProveOptions, state: EngineState): Promise<ProofVerdict>;
};

/** `acceptedAfterMs`: a time before which the engine had not accepted the last of these orders; `null` if not known. */
type OrderCount = {readonly count: number; readonly acceptedAfterMs: number | null};

type SentOrder = {readonly version: number; readonly expectedOrderCount: number; readonly sentAtMs: number; isConfirmed: boolean};

export const createWeightsProver = ({engine, logger, onChange, onRestart}: WeightsProverOptions): WeightsProver => {
	let proof: WeightsProof = {type: 'unknown'};
	let provenOrderCount = 0;
	let last: EngineState | null = null;
	let orders: OrderCount | null = null;
	let sentOrder: SentOrder | null = null;
	/** The order after which all staged chunks were found right. */
	let verifiedOrder: SentOrder | null = null;
	/** The number of accepted orders with which the engine is known not to be provable; `null` if it may be. */
	let unprovableOrderCount: number | null = null;

	const setProof = (next: WeightsProof): void => {
		const isChanged = JSON.stringify(next) !== JSON.stringify(proof);
		proof = next;
		if (isChanged) {
			onChange(next);
		}
	};

	const isOtherStart = (state: EngineState): boolean => last !== null && (state.orderCount < last.orderCount || state.startedAtMs !== last.startedAtMs);

	const isStillProven = (state: EngineState, model: string): boolean => proof.type === 'whole' && heldVersionOf(state, model) === proof.version && state.orderCount === provenOrderCount;

	const countOrders = (state: EngineState): void => {
		if (orders === null || isOtherStart(state)) {
			orders = {count: state.orderCount, acceptedAfterMs: null};
		} else if (orders.count !== state.orderCount) {
			orders = {count: state.orderCount, acceptedAfterMs: last?.askedAtMs ?? null};
		}
	};

	/** When the weights that the engine names were taken at the earliest; `null` if not known. */
	const takenAfterMs = (state: EngineState, version: number): number | null => {
		const isOwn = sentOrder?.isConfirmed && sentOrder.version === version && state.orderCount <= sentOrder.expectedOrderCount + 1;
		return isOwn ? sentOrder!.sentAtMs : orders?.acceptedAfterMs ?? null;
	};

	/** Reads back the chunks of weights that were taken after `takenMs`. */
	const verifyStaged = async (staged: StagedWeights, takenMs: number | null): Promise<ProofVerdict> => {
		const {writer, version} = staged;
		const order = sentOrder;
		const lastWriteAtMs = writer.lastWriteAtMs();
		const isQuiet = lastWriteAtMs === Number.NEGATIVE_INFINITY || (takenMs !== null && lastWriteAtMs < takenMs);
		if (!isQuiet) {
			return 'unproven';
		}

		// Another load would not help: the write may be carried out behind that one as well.
		if (writer.hasUnknownWrite(version)) {
			return 'undecided';
		}

		const mismatches = await staged.readBack();
		logger.event('BP4061', {version, mismatches: mismatches.length, afterMs: takenMs === null ? null : Math.round(performance.now() - takenMs)});
		if (mismatches.length > 0) {
			return 'unproven';
		}

		if (writer.lastWriteAtMs() !== lastWriteAtMs || order !== sentOrder) {
			return 'undecided';
		}

		verifiedOrder = order?.isConfirmed ? order : null;
		return 'whole';
	};

	const observe = (state: EngineState, model: string): void => {
		if (last !== null && state.askedAtMs < last.askedAtMs) {
			return;
		}

		countOrders(state);
		if (isOtherStart(state)) {
			sentOrder = null;
			verifiedOrder = null;
			unprovableOrderCount = null;
			onRestart();
		}

		last = state;
		if (heldVersionOf(state, model) === null || (proof.type === 'whole' && !isStillProven(state, model))) {
			setProof({type: 'none'});
		}
	};

	return {
		proof: () => proof,
		observe,
		beginOrder(version, expectedOrderCount) {
			sentOrder = {
				version, expectedOrderCount, sentAtMs: performance.now(), isConfirmed: false,
			};
			verifiedOrder = null;
			unprovableOrderCount = null;
			setProof({type: 'none'});
		},
		confirmOrder() {
			if (sentOrder !== null) {
				sentOrder.isConfirmed = true;
			}
		},
		async verifyOrder(staged) {
			if (sentOrder?.isConfirmed && sentOrder.version === staged.version) {
				await verifyStaged(staged, sentOrder.sentAtMs);
			}
		},
		async prove({model, healthPath, staged}, state) {
			const version = heldVersionOf(state, model);
			if (version === null) {
				return 'undecided';
			}

			// An engine that has accepted no order holds what it was started with.
			const isInitial = state.orderCount === 0 && sentOrder === null;
			const isVerified = verifiedOrder !== null && verifiedOrder === sentOrder && verifiedOrder.version === version;
			if (!isInitial && !isVerified) {
				if (unprovableOrderCount === state.orderCount) {
					return 'unproven';
				}

				const verdict = staged?.version === version ? await verifyStaged(staged, takenAfterMs(state, version)) : 'undecided';
				if (verdict === 'unproven') {
					unprovableOrderCount = state.orderCount;
				}

				if (verdict !== 'whole') {
					return verdict;
				}
			}

			const engineId = healthPath === null ? null : await engine.identity(healthPath);
			// What was verified is of this start of the engine only if the engine has not restarted or taken another order meanwhile.
			const current = await engine.state();
			observe(current, model);
			if (heldVersionOf(current, model) !== version || current.orderCount !== state.orderCount || current.startedAtMs !== state.startedAtMs) {
				return 'undecided';
			}

			provenOrderCount = current.orderCount;
			setProof({
				type: 'whole', version, engineId, startedAtMs: current.startedAtMs,
			});
			return 'whole';
		},
	};
};
