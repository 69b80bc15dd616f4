import {
	createKeyLease, holdsKeyLease, renewKeyLease, type Clock, type Random,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';

export type EntryLeaseOptions = {
	/** Time within which a revoked key is rejected by every entry. */
	readonly revocationMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Number of the configuration that this entry holds. */
	configurationNumber(): number;
	/** Whether any core host responds. */
	reachesCore(): boolean;
	/** Requests an update from the core hosts immediately. */
	refreshFromCore(): void;
};

/** Determines whether the keys and routes that this entry holds are confirmed to be in force. */
export type EntryLease = {
	/** Whether the configuration held here is confirmed to be in force. */
	holds(): boolean;
	/** Whether the lease was held at any time since the start of the process. */
	hasHeld(): boolean;
	/** Records that a core host held configuration `number`, confirmed as the newest, at `freshAtMs` by this entry's clock. */
	recordRenewal(renewal: LeaseRenewal): void;
	/** Must be called when the configuration held here has changed. */
	applyRenewals(): void;
	/** Retry delay for callers while the lease is not held. */
	retryMs(): number;
	/** Time since the configuration was last confirmed to be in force. */
	ageMs(): number;
};

export type LeaseRenewal = {readonly number: number; readonly freshAtMs: number};

/** An entry that reaches no core host is most likely the only one affected: its callers can retry at another entry at once. */
const isolatedRetryMs = 100;
/** Core hosts that respond without a confirmed state are electing a leader; that takes about 1 s and affects all entries alike. */
const coreRetryMs = 1200;
/**
 * An entry that has not held the lease since its start is most likely starting together
 * with the whole system after a power loss: electing a leader takes 1 s, loading the
 * weights of empty engines 3 s. Callers that retry after 0.5 s would be refused again
 * and have no further retry; after this delay engines are available.
 */
const startRetryMs = 2000;
/** Minimum interval between immediate requests to the core while the lease is not held; after a suspension of the process, one response renews it. */
const refreshIntervalMs = 250;
/** Renewals that are kept until their configuration arrives; more than a few accumulate only while no configuration can be fetched. */
const maxRenewals = 32;

export const createEntryLease = (options: EntryLeaseOptions): EntryLease => {
	const {clock, random, logger, configurationNumber, reachesCore, refreshFromCore} = options;
	const lease = createKeyLease(options.revocationMs);
	let renewals: LeaseRenewal[] = [];
	let wasHeld = false;
	let hasHeld = false;
	let refreshedAtMs = Number.NEGATIVE_INFINITY;

	const ageMs = (): number => clock.nowMs() - lease.freshAtMs;

	const holds = (): boolean => {
		const nowMs = clock.nowMs();
		const holdsNow = holdsKeyLease(lease, nowMs);
		if (holdsNow !== wasHeld) {
			wasHeld = holdsNow;
			hasHeld ||= holdsNow;
			logger.event(holdsNow ? 'BP4006' : 'BP4005', {ageMs: Math.round(ageMs()), reachesCore: reachesCore()});
		}

		if (!holdsNow && nowMs - refreshedAtMs > refreshIntervalMs) {
			refreshedAtMs = nowMs;
			refreshFromCore();
		}

		return holdsNow;
	};

	/**
	 * Applies a renewal only once this entry holds the configuration that the core host
	 * held: one that could not be decoded or has not arrived yet must not renew the lease.
	 */
	const applyRenewals = (): void => {
		const number = configurationNumber();
		for (const renewal of renewals) {
			if (renewal.number <= number) {
				renewKeyLease(lease, renewal.freshAtMs);
			}
		}

		renewals = renewals.filter(renewal => renewal.number > number).slice(-maxRenewals);
		holds();
	};

	return {
		holds, applyRenewals, ageMs,
		hasHeld: () => hasHeld,
		recordRenewal(renewal) {
			renewals.push(renewal);
			applyRenewals();
		},
		retryMs() {
			if (!hasHeld) {
				return startRetryMs;
			}

			return reachesCore() ? coreRetryMs + random.between(0, coreRetryMs / 2) : isolatedRetryMs;
		},
	};
};
