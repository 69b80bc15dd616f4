import type {SwarmEffect, SwarmEvent} from '@bitternpaddle/coordination';
import {totalChunks} from './scenario.js';
import type {CreatePolicy} from './swarm-run.js';

/** Requests that a host keeps open, so that its link never waits for a round trip. */
const pipeline = 2;

/** Every host draws everything from the origin. */
export const createOriginOnly: CreatePolicy = () => fetchInOrder(null, []);

/** A tree over all hosts in their order; with a fan-out of 1 it is a chain. */
export const createTree = (fanOut: number): CreatePolicy => ({self, peers}) => {
	const index = peers.findIndex(({hostId}) => hostId === self.hostId);
	const parent = index === 0 ? null : peers[Math.floor((index - 1) / fanOut)]!.hostId;
	const children = peers.slice((index * fanOut) + 1, (index * fanOut) + 1 + fanOut).map(({hostId}) => hostId);
	return fetchInOrder(parent, children);
};

/** Fetches each chunk in order from the parent, or from the origin when there is none. */
const fetchInOrder = (parent: string | null, children: readonly string[]): ReturnType<CreatePolicy> => {
	const source = parent === null ? {type: 'origin'} as const : {type: 'peer', hostId: parent} as const;
	const available: number[] = parent === null ? [...Array.from({length: totalChunks}).keys()] : [];
	let running = 0;
	let held = 0;
	const fill = (): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		while (running < pipeline && available.length > 0) {
			running++;
			effects.push({type: 'fetch', chunk: available.shift()!, source});
		}

		return effects;
	};

	const step = (event: SwarmEvent): SwarmEffect[] => {
		switch (event.type) {
			case 'peerHas': {
				available.push(...event.chunks);
				return fill();
			}

			case 'stored': {
				running--;
				held++;
				const effects: SwarmEffect[] = children.length === 0
					? []
					: [{
						type: 'announce', to: children, chunks: [event.chunk], isGreeting: false,
					}];
				if (held === totalChunks) {
					effects.push({type: 'complete'});
				}

				return [...effects, ...fill()];
			}

			case 'failed': {
				running--;
				available.unshift(event.chunk);
				return event.reason === 'busy' ? [] : fill();
			}

			case 'tick':
			case 'peersChanged': {
				return fill();
			}
		}
	};

	return {policy: {step}, effects: fill()};
};
