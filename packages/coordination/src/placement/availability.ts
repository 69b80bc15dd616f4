import type {PermitState} from '../endpoint-limits/permit-account.js';

/** Whether an endpoint accepts a request now, according to its own answers. */
export type Availability = PermitState;

export type Unavailability = Exclude<Availability, {type: 'available'}>;

/** When the first of the endpoints accepts a request again. */
export const nextAvailableAtMs = (unavailable: readonly Unavailability[]): number => Math.min(...unavailable.map(({nextAtMs}) => nextAtMs));

/** The number of requests that the endpoints are expected to accept until `untilMs`. */
export const acceptedUntil = (unavailable: readonly Unavailability[], untilMs: number): number => {
	let count = 0;
	for (const {nextAtMs, gapMs} of unavailable) {
		count += nextAtMs > untilMs ? 0 : 1 + Math.floor((untilMs - nextAtMs) / gapMs);
	}

	return count;
};

/** Estimates when the endpoints accept a request behind `aheadCount` others, at their combined rate. */
export const acceptedAtMs = (unavailable: readonly Unavailability[], aheadCount: number): number => {
	const nextAtMs = nextAvailableAtMs(unavailable);
	const remainingCount = aheadCount + 1 - acceptedUntil(unavailable, nextAtMs);
	const acceptedPerMs = unavailable.reduce((sum, {gapMs}) => sum + (1 / gapMs), 0);
	return remainingCount <= 0 ? nextAtMs : nextAtMs + (remainingCount / acceptedPerMs);
};
