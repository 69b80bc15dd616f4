import {
	createKeyLease, holdsKeyLease, renewKeyLease, type Clock, type Random,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';

export type EntryLeaseOptions = {
	/** A revoked key is dead everywhere within this. */
	readonly revocationMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Number of the configuration that this entry holds. */
	configurationNumber(): number;
	/** Whether any core host answers. */
	reachesCore(): boolean;
	/** Asks the core hosts out of turn. */
	askCore(): void;
};

/** What this entry may trust of the keys and routes that it knows. */
export type EntryLease = {
	/** Whether all that is in force is surely known. */
	holds(): boolean;
	/** Whether it ever was since the start. */
	hasHeld(): boolean;
	/** A core host held the configuration `number`, and surely knew all, at `freshAtMs` by this entry's clock. */
	hear(renewal: LeaseRenewal): void;
	/** The configuration that is held here has changed. */
	settle(): void;
	/** When a caller should come back while the lease is not held. */
	retryMs(): number;
	/** Since when all that is in force is surely known. */
	ageMs(): number;
};

export type LeaseRenewal = {readonly number: number; readonly freshAtMs: number};

/** An entry that reaches no core host is cut off by itself: its callers find another one at once. */
const cutOffRetryMs = 100;
/** Core hosts that answer and do not know the newest state elect a leader: that takes a second or so, and elsewhere it is no better. */
const coreRetryMs = 1200;
/**
 * An entry that has not held the lease since its start most likely starts with
 * the whole system, after a loss of power: a leader takes a second, the weights of
 * empty engines three. Callers that come back after half a second find nobody
 * either, and have no further try; after this they find engines.
 */
const startRetryMs = 2000;
/** How often the core is asked out of turn while the lease is not held: after a suspension one answer renews it. */
const refreshMs = 250;
/** Answers of core hosts that wait for a configuration; more than a handful come only while none can be fetched. */
const maxRenewals = 32;

export const createEntryLease = (options: EntryLeaseOptions): EntryLease => {
	const {clock, random, logger, configurationNumber, reachesCore, askCore} = options;
	const lease = createKeyLease(options.revocationMs);
	let renewals: LeaseRenewal[] = [];
	let held = false;
	let hasHeld = false;
	let askedAtMs = Number.NEGATIVE_INFINITY;

	const ageMs = (): number => clock.nowMs() - lease.freshAtMs;

	const holds = (): boolean => {
		const nowMs = clock.nowMs();
		const holdsNow = holdsKeyLease(lease, nowMs);
		if (holdsNow !== held) {
			held = holdsNow;
			hasHeld ||= holdsNow;
			logger.event(holdsNow ? 'BP4006' : 'BP4005', {ageMs: Math.round(ageMs())});
		}

		if (!holdsNow && nowMs - askedAtMs > refreshMs) {
			askedAtMs = nowMs;
			askCore();
		}

		return holdsNow;
	};

	/**
	 * What a core host held counts once this entry holds it too: a configuration
	 * that it could not read or has not got yet must not renew the lease.
	 */
	const settle = (): void => {
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
		holds, settle, ageMs,
		hasHeld: () => hasHeld,
		hear(renewal) {
			renewals.push(renewal);
			settle();
		},
		retryMs() {
			if (!hasHeld) {
				return startRetryMs;
			}

			return reachesCore() ? coreRetryMs + random.between(0, coreRetryMs / 2) : cutOffRetryMs;
		},
	};
};
