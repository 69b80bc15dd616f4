import type http from 'node:http';
import type {Choice, Endpoint} from '@bitternpaddle/coordination';
import type {
	Catalog, Change, NotRun, UnansweredVerdict,
} from '@bitternpaddle/state';
import type {Call} from './call.js';

/** How an attempt at an endpoint ended, for the router's view of that endpoint. */
export type RoutedEnd
	= | 'answered'
	/** The request gate refused: it is full, closing, or its configuration is outdated. */
		| 'refused'
		| 'failed'
	/** The answer was no longer needed, which says nothing about the endpoint. */
		| 'abandoned';

/** One attempt as seen by the router. */
export type RoutedAttempt = {
	/** The head of the answer was received. */
	begin(headers: http.IncomingHttpHeaders): void;
	end(end: RoutedEnd): void;
};

/** The result of choosing an endpoint for a call; `busy` only if the call was not admitted to the queue. */
export type RoutingResult = Choice | {readonly type: 'refused'; readonly verdict: NotRun};

/** The interface between the entry and its routing decisions. */
export type Routing = {
	/** The configuration revision on which the choices are based. */
	revision(): number;
	/** `changes` led to the catalog; `null` if it was received as a complete snapshot. */
	update(catalog: Catalog, changes: readonly Change[] | null): void;
	/** Chooses an endpoint; waits in the queue while every endpoint that serves the target is full. */
	choose(call: Call, tried: ReadonlySet<string>): Promise<RoutingResult>;
	/** Returns a call that has started to its position in the queue and waits for its turn. */
	requeue(call: Call, tried: ReadonlySet<string>): Promise<RoutingResult>;
	start(call: Call, endpoint: Endpoint): RoutedAttempt;
};

/**
 * Decides before the first attempt whether a call may start, and may queue the
 * call until then. A verdict is the call's final answer.
 */
export type Admission
	= | {readonly type: 'admitted'; release(): void}
		| {readonly type: 'refused'; readonly verdict: UnansweredVerdict};

export type Admit = (call: Call) => Admission | Promise<Admission>;
