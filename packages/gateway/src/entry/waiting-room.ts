import type {WaitReason} from '@bitternpaddle/coordination';

/** Reasons for which waiting requests are counted. */
export type HoldReason = Exclude<WaitReason, 'moment'>;

/** Requests that wait a moment for an endpoint; all look again together. */
export type WaitingRoom = {
	/** Counts a request as waiting for endpoints of the service; returns a function that ends the wait. */
	hold(serviceName: string, reason: HoldReason): () => void;
	heldFor(serviceName: string, reason: HoldReason): number;
	/** Resolves at the next look. */
	nextLook(): Promise<void>;
	count(): number;
};

/** Half a pass of an engine's batch: what an endpoint can take changes no faster. */
const lookMs = 40;

export const createWaitingRoom = (): WaitingRoom => {
	let waiting: Array<() => void> = [];
	const held: Record<HoldReason, Map<string, number>> = {engines: new Map(), availability: new Map()};
	const add = (serviceName: string, reason: HoldReason, count: number): void => {
		held[reason].set(serviceName, (held[reason].get(serviceName) ?? 0) + count);
	};

	return {
		hold(serviceName, reason) {
			add(serviceName, reason, 1);
			return () => {
				add(serviceName, reason, -1);
			};
		},
		heldFor: (serviceName, reason) => held[reason].get(serviceName) ?? 0,
		nextLook: async () => new Promise(resolve => {
			if (waiting.length === 0) {
				setTimeout(() => {
					const released = waiting;
					waiting = [];
					for (const release of released) {
						release();
					}
				}, lookMs);
			}

			waiting.push(resolve);
		}),
		count: () => waiting.length,
	};
};
