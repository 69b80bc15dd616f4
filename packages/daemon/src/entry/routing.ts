import {
	chooseEndpoint, createRandom, createRouter, noteEnd, noteStart, updateRouter, type Choice, type ChooseOptions, type RequestOutcome,
} from '@bitternpaddle/coordination';
import type {Catalog, UnansweredVerdict} from '@bitternpaddle/state';
import type {Call} from './call.js';

/** How an attempt at an endpoint ended, for the router's view of that endpoint. */
export type AttemptEnd = 'answered' | UnansweredVerdict['type'];

/** The entry's seam to the routing decisions. */
export type Routing = {
	/** The revision that the choices follow from. */
	revision(): number;
	update(catalog: Catalog): void;
	choose(options: ChooseOptions): Choice;
	noteStart(hostId: string): void;
	noteEnd(hostId: string, end: AttemptEnd): void;
};

export type CreateRoutingOptions = {
	readonly entryId: string;
	/** @default 'zone-1' */
	readonly zoneId?: string;
	/** @default 'region-1' */
	readonly regionId?: string;
	/** @default drawn anew */
	readonly seed?: number;
};

export const createRouting = (options: CreateRoutingOptions): Routing => {
	const {
		entryId, zoneId = 'zone-1', regionId = 'region-1', seed = Math.floor(Math.random() * 2_147_483_647),
	} = options;
	const router = createRouter({
		entryId, zoneId, regionId, random: createRandom(seed),
	});
	const outcomeOf = (end: AttemptEnd): RequestOutcome => end === 'answered' ? {type: 'answered', latencyMs: 0} : {type: 'cancelled'};
	return {
		revision: () => router.revision,
		update(catalog) {
			updateRouter(router, catalog, null, performance.now());
		},
		choose: options => chooseEndpoint(router, options, performance.now()),
		noteStart(hostId) {
			noteStart(router, hostId, performance.now());
		},
		noteEnd(hostId, end) {
			noteEnd(router, hostId, {outcome: outcomeOf(end), hadFirstByte: false}, performance.now());
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
