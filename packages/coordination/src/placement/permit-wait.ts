import type {PermitState} from '../endpoint-limits/permit-account.js';
import type {Placement} from './place-request.js';

export type PermitWaitOptions = {
	/** Where the request would be placed if limits did not apply. */
	readonly preferred: Placement;
	readonly permitState: PermitState;
	/** Where it would be placed otherwise. */
	readonly other: Placement;
	readonly objectiveMs: number;
	/** When the search for an endpoint started. */
	readonly sinceMs: number;
	readonly nowMs: number;
};

/** A permit takes a round trip of a few milliseconds; this is an eighth of the shortest objectives and leaves room for a queue at the issuer. */
const maxPermitWaitMs = 50;
/** Callers don't notice differences below this share of the objective, as in `place-request.ts`. */
const toleratedShare = 0.3;

/**
 * Whether a request waits for a permit of a limited endpoint. If it went elsewhere at
 * once, the permit that it requested would expire unused at an entry with few requests.
 */
export const waitsForPermit = ({preferred, permitState, other, objectiveMs, sinceMs, nowMs}: PermitWaitOptions): boolean => {
	if (permitState.type === 'available' || permitState.nextAtMs > sinceMs + maxPermitWaitMs) {
		return false;
	}

	return other.expectedMs > Math.max(toleratedShare * objectiveMs, preferred.expectedMs + (permitState.nextAtMs - nowMs));
};
