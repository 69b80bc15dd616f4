import {checkAnswers} from './check-answers.js';
import {checkCommands, checkInForce, checkRevisions} from './check-configuration.js';
import {checkLeaving, checkPlannedStops} from './check-leaving.js';
import {checkNotRun, checkRunsPerKey} from './check-runs.js';
import type {HistoryEvent} from './events.js';
import type {Violation} from './violation.js';

export type CheckOptions = {
	/** Time after which a leaving host must get no new work. @default 3000 */
	readonly leaveBoundMs?: number;
	/** Time within which an accepted change is in force on a host, or the host is out of service. @default 10000 */
	readonly inForceBoundMs?: number;
};

/** Checks a history against all invariants and returns every violation. Events must be in the order of their times. */
export const checkHistory = (events: readonly HistoryEvent[], {leaveBoundMs = 3000, inForceBoundMs = 10_000}: CheckOptions = {}): Violation[] => [
	...checkRunsPerKey(events),
	...checkNotRun(events),
	...checkAnswers(events),
	...checkLeaving(events, leaveBoundMs),
	...checkPlannedStops(events),
	...checkRevisions(events),
	...checkInForce(events, inForceBoundMs),
	...checkCommands(events),
].toSorted((a, b) => a.atMs - b.atMs);
