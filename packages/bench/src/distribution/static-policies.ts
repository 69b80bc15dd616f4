import type {SwarmEffect, SwarmEvent} from '@bitternpaddle/coordination';
import {totalChunks} from './scenario.js';
import type {CreatePolicy} from './swarm-run.js';

/** Requests that a host keeps in flight, so that its link is never idle for a round trip. */
const maxInFlight = 2;

/** Every host fetches all chunks from the origin. */
export const createOriginOnly: CreatePolicy = () => fetchInOrder(null, []);

/** Arranges the hosts as a tree in their order; with a fan-out of 1 it is a chain. */
export const createTree = (fanOut: number): CreatePolicy => ({self, peers}) => {
	const index = peers.findIndex(({hostId}) => hostId === self.hostId);
	const parent = index === 0 ? null : peers[Math.floor((index - 1) / fanOut)]!.hostId;
	const children = peers.slice((index * fanOut) + 1, (index * fanOut) + 1 + fanOut).map(({hostId}) => hostId);
	return fetchInOrder(parent, children);
};

/** Fetches the chunks in order from the parent, or from the origin if there is no parent. */
const fetchInOrder = (parent: string | null, children: readonly string[]): ReturnType<CreatePolicy> => {
	const source = parent === null ? {type: 'origin'} as const : {type: 'peer', hostId: parent} as const;
	const available: number[] = parent === null ? [...Array.from({length: totalChunks}).keys()] : [];
	let inFlight = 0;
	let heldCount = 0;
	const startFetches = (): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		while (inFlight < maxInFlight && available.length > 0) {
			inFlight++;
			effects.push({type: 'fetch', chunk: available.shift()!, source});
		}

		return effects;
	};

	const step = (event: SwarmEvent): SwarmEffect[] => {
		switch (event.type) {
			case 'peerHas': {
				available.push(...event.chunks);
				return startFetches();
			}

			case 'stored': {
				inFlight--;
				heldCount++;
				const effects: SwarmEffect[] = children.length === 0
					? []
					: [{
						type: 'announce', to: children, chunks: [event.chunk], isGreeting: false,
					}];
				if (heldCount === totalChunks) {
					effects.push({type: 'complete'});
				}

				return [...effects, ...startFetches()];
			}

			case 'failed': {
				inFlight--;
				available.unshift(event.chunk);
				return event.reason === 'busy' ? [] : startFetches();
			}

			case 'tick':
			case 'peersChanged': {
				return startFetches();
			}
		}
	};

	return {policy: {step}, effects: startFetches()};
};
