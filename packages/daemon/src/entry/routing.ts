import type http from 'node:http';
import type {Choice, Endpoint} from '@bitternpaddle/coordination';
import type {
	Catalog, Change, NotRun, UnansweredVerdict,
} from '@bitternpaddle/state';
import type {Call} from './call.js';

/** How an attempt at an endpoint ended, for the router's view of that endpoint. */
export type RoutedEnd
	= | 'answered'
	/** The door refused: it is full, closing or behind. */
		| 'refused'
		| 'failed'
	/** Nobody waited any more, which says nothing about the endpoint. */
		| 'abandoned';

/** One attempt as the router counts it. */
export type RoutedAttempt = {
	/** The answer's head is here. */
	begin(headers: http.IncomingHttpHeaders): void;
	end(end: RoutedEnd): void;
};

/** What a call is told that asked for an endpoint; `busy` only if it has no place in the queue. */
export type Turn = Choice | {readonly type: 'refused'; readonly verdict: NotRun};

/** The entry's seam to the routing decisions. */
export type Routing = {
	/** The revision that the choices follow from. */
	revision(): number;
	/** `changes` led to the catalog; `null` when it came as a whole. */
	update(catalog: Catalog, changes: readonly Change[] | null): void;
	/** Waits in the queue while all that serves the target is full. */
	choose(call: Call, tried: ReadonlySet<string>): Promise<Turn>;
	/** Puts a call that has started back in its place in the queue, and waits for its turn. */
	requeue(call: Call, tried: ReadonlySet<string>): Promise<Turn>;
	start(call: Call, endpoint: Endpoint): RoutedAttempt;
};

/**
 * Decides before the first attempt whether a call may start; it may hold the
 * call back in a queue until then. A verdict is the call's final answer.
 */
export type Admission
	= | {readonly type: 'admitted'; release(): void}
		| {readonly type: 'refused'; readonly verdict: UnansweredVerdict};

export type Admit = (call: Call) => Admission | Promise<Admission>;
