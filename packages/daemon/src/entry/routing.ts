import {
	chooseEndpoint, createRandom, createRouter, noteEnd, noteStart, type Choice, type ChooseOptions, type EndpointIndex,
} from '@bitternpaddle/coordination';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import type {Call} from './call.js';

/** How an attempt at an endpoint ended, for the router's view of that endpoint. */
export type AttemptEnd = 'answered' | UnansweredVerdict['type'];

/** The entry's seam to the routing decisions. */
export type Routing = {
	/** The revision that the choices follow from. */
	revision(): number;
	update(index: EndpointIndex): void;
	choose(options: ChooseOptions): Choice;
	noteStart(hostId: string): void;
	noteEnd(hostId: string, end: AttemptEnd): void;
};

export type CreateRoutingOptions = {
	/** @default drawn anew */
	readonly seed?: number;
};

export const createRouting = ({seed = Math.floor(Math.random() * 2_147_483_647)}: CreateRoutingOptions = {}): Routing => {
	const router = createRouter({random: createRandom(seed)});
	return {
		revision: () => router.index.revision,
		update(index) {
			router.index = index;
		},
		choose: options => chooseEndpoint(router, options),
		noteStart(hostId) {
			noteStart(router, hostId);
		},
		noteEnd(hostId) {
			noteEnd(router, hostId);
		},
	};
};

/**
 * Decides before the first attempt whether a call may start; it may hold the
 * call back in a queue until then. A verdict is the call's final answer.
 */
export type Admission
	= | {readonly type: 'admitted'; release(): void}
		| {readonly type: 'refused'; readonly verdict: UnansweredVerdict};

export type Admit = (call: Call) => Admission | Promise<Admission>;

/** Admits every call. */
export const admitAll: Admit = () => ({
	type: 'admitted', release() {
	// Nothing is counted.
	},
});
