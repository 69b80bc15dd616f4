import type {LaneMember} from '@bitternpaddle/coordination';

/** Requests that wait a moment for an endpoint; all look again together. */
export type WaitingRoom = {
	/** A request is held until engines of the service are back; returns what ends that. */
	hold(serviceName: string): () => void;
	heldFor(serviceName: string): number;
	/** Resolves at the next look: first for those without a further try, then in the order of their deadlines. */
	nextLook(order?: LaneMember): Promise<void>;
	count(): number;
};

type Waiting = {readonly order: LaneMember; release(): void};

/** Half a pass of an engine's batch: what an endpoint can take changes no faster. */
const lookMs = 40;
/** Of what waits for something else than an endpoint. */
const anyOrder: LaneMember = {isLastTry: false, deadlineAtMs: Number.POSITIVE_INFINITY};

const compare = (a: Waiting, b: Waiting): number => Number(b.order.isLastTry) - Number(a.order.isLastTry) || a.order.deadlineAtMs - b.order.deadlineAtMs || 0;

export const createWaitingRoom = (): WaitingRoom => {
	let waiting: Waiting[] = [];
	const held = new Map<string, number>();
	const add = (serviceName: string, count: number): void => {
		held.set(serviceName, (held.get(serviceName) ?? 0) + count);
	};

	const releaseAll = (): void => {
		const released = waiting.toSorted(compare);
		waiting = [];
		for (const {release} of released) {
			release();
		}
	};

	return {
		hold(serviceName) {
			add(serviceName, 1);
			return () => {
				add(serviceName, -1);
			};
		},
		heldFor: serviceName => held.get(serviceName) ?? 0,
		nextLook: async (order = anyOrder) => new Promise(resolve => {
			if (waiting.length === 0) {
				setTimeout(releaseAll, lookMs);
			}

			waiting.push({order, release: resolve});
		}),
		count: () => waiting.length,
	};
};
