/** Requests that wait a moment for an endpoint; all look again together. */
export type WaitingRoom = {
	/** A request is held until engines of the service are back; returns what ends that. */
	hold(serviceName: string): () => void;
	heldFor(serviceName: string): number;
	/** Resolves at the next look. */
	nextLook(): Promise<void>;
	count(): number;
};

/** Half a pass of an engine's batch: what an endpoint can take changes no faster. */
const lookMs = 40;

export const createWaitingRoom = (): WaitingRoom => {
	let waiting: Array<() => void> = [];
	const held = new Map<string, number>();
	const add = (serviceName: string, count: number): void => {
		held.set(serviceName, (held.get(serviceName) ?? 0) + count);
	};

	return {
		hold(serviceName) {
			add(serviceName, 1);
			return () => {
				add(serviceName, -1);
			};
		},
		heldFor: serviceName => held.get(serviceName) ?? 0,
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
