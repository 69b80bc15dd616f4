import type {PermitState} from '../endpoint-limits/permit-account.js';
import type {Announcement} from '../registry/types.js';
import type {EndpointLoad} from './endpoint-load.js';
import {isPaused} from './endpoint-pause.js';

/** Whether an endpoint accepts a request now, according to its own answers. */
export type Availability
	= | PermitState
		/** The endpoint requested a pause that ends at `untilMs`. */
		| {readonly type: 'paused'; readonly untilMs: number; /** The number of requests that it runs concurrently. */ readonly slots: number};

export type Unavailability = Exclude<Availability, {type: 'available'}>;

type Endpoint = {readonly announcement: Announcement; readonly load: EndpointLoad};

/** A pause takes precedence over the endpoint's limit. */
export const availabilityAt = ({announcement: {slots}, load}: Endpoint, permitState: PermitState, nowMs: number): Availability => isPaused(load, nowMs)
	? {type: 'paused', untilMs: load.pausedUntilMs, slots}
	: permitState;

const availableAtMs = (unavailability: Unavailability): number => {
	switch (unavailability.type) {
		case 'limited': {
			return unavailability.nextAtMs;
		}

		case 'paused': {
			return unavailability.untilMs;
		}
	}
};

const acceptedCount = (unavailability: Unavailability, untilMs: number): number => {
	if (availableAtMs(unavailability) > untilMs) {
		return 0;
	}

	switch (unavailability.type) {
		case 'limited': {
			return 1 + Math.floor((untilMs - unavailability.nextAtMs) / unavailability.gapMs);
		}

		case 'paused': {
			return unavailability.slots;
		}
	}
};

/** The number of requests that the endpoints are expected to accept until `untilMs`. */
export const acceptedUntil = (unavailable: readonly Unavailability[], untilMs: number): number => unavailable.reduce((sum, unavailability) => sum + acceptedCount(unavailability, untilMs), 0);

/** Estimates when the endpoints accept a request behind `aheadCount` others, from the ends of their pauses and the combined rate of their limits. */
export const acceptedAtMs = (unavailable: readonly Unavailability[], aheadCount: number): number => {
	const availableTimesMs = unavailable.map(unavailability => availableAtMs(unavailability));
	const nextAtMs = Math.min(...availableTimesMs);
	const remainingCount = aheadCount + 1 - acceptedUntil(unavailable, nextAtMs);
	if (remainingCount <= 0) {
		return nextAtMs;
	}

	const sufficientTimesMs = availableTimesMs.filter(atMs => acceptedUntil(unavailable, atMs) > aheadCount);
	const acceptedPerMs = unavailable.reduce((sum, unavailability) => sum + (unavailability.type === 'limited' ? 1 / unavailability.gapMs : 0), 0);
	const estimatedAtMs = Math.min(nextAtMs + (remainingCount / acceptedPerMs), ...sufficientTimesMs);
	// If all endpoints are paused and their slots do not suffice, there is no rate to estimate from.
	return Number.isFinite(estimatedAtMs) ? estimatedAtMs : Math.max(...availableTimesMs);
};
