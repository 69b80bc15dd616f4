import {createSwarm, stepSwarm, type SwarmEffect} from '@bitternpaddle/coordination';
import type {CreatePolicy} from './swarm-run.js';
import {totalChunks} from './scenario.js';

const manifestId = 'bench';

/** The policy that the agents run, unmodified; results call it `chosen`. */
export const createAgentPolicy: CreatePolicy = ({self, peers, random, originCopies}) => {
	const {state, effects} = createSwarm({
		self, peers, random, originCopies, manifestId, totalChunks, held: [], nowMs: 0,
	});
	return {
		policy: {step: (event, nowMs): SwarmEffect[] => stepSwarm(state, event, nowMs)},
		effects,
	};
};
