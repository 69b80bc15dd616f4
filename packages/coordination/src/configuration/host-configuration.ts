import {
	applyChange, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import type {RevisedChange, WatchResult} from '@bitternpaddle/protocol';
import {decodeCatalog} from './snapshot-codec.js';

/** Both clocks of a host. The monotonic one may stop while the machine is suspended. */
export type HostTime = {
	readonly monotonicMs: number;
	readonly wallMs: number;
};

/** One host's copy of the configuration, and the lease that permits it to act on that copy. */
export type HostConfiguration = {
	catalog: Catalog;
	/** The host refuses new requests after this time on either clock; 0 before the first lease that was granted with the support of a quorum. */
	leaseUntil: HostTime;
	/** The latest revision that was in force on this host. Older revisions are rejected. */
	floorRevision: number;
	/** The system that this host belongs to, from the first copy that names one. Discarding a copy does not change it. */
	systemId: string | null;
};

const noLease: HostTime = {monotonicMs: 0, wallMs: 0};

export const createHostConfiguration = (): HostConfiguration => ({
	catalog: createCatalog(), leaseUntil: noLease, floorRevision: 0, systemId: null,
});

export type WatchOutcome = 'current' | 'advanced' | 'refusedOlder' | 'diverged' | 'unknownHost';

/**
 * Applies the answer to a watch request that was sent at `sentAt`. The lease
 * starts when the request was sent: an answer delayed in a stalled connection
 * must not extend the lease beyond the time at which the control plane treats
 * it as expired.
 *
 * An older revision is rejected: a control host that lags, or a late answer,
 * must not revert the host to a configuration that was already replaced.
 */
export const applyWatchResult = (configuration: HostConfiguration, result: WatchResult, sentAt: HostTime): WatchOutcome => {
	if (result.type === 'unknownHost') {
		return 'unknownHost';
	}

	const before = configuration.catalog.revision;
	if (result.revision < configuration.floorRevision) {
		return 'refusedOlder';
	}

	if (result.type === 'snapshot' && result.revision > before) {
		configuration.catalog = decodeCatalog(result.catalog);
	}

	applyMissingChanges(configuration.catalog, result.changes);
	const {catalog} = configuration;
	if (catalog.revision !== result.revision || catalog.digest !== result.digest) {
		discardCopy(configuration);
		return 'diverged';
	}

	configuration.floorRevision = catalog.revision;
	configuration.systemId ??= catalog.systemId ?? null;
	configuration.leaseUntil = {
		monotonicMs: Math.max(configuration.leaseUntil.monotonicMs, sentAt.monotonicMs + result.leaseMs),
		wallMs: sentAt.wallMs + result.leaseMs,
	};
	return catalog.revision > before ? 'advanced' : 'current';
};

/** Discards the copy, so that the host requests a snapshot. Continuing with a diverged copy would serve a configuration that was never accepted. */
export const discardCopy = (configuration: HostConfiguration): void => {
	configuration.catalog = createCatalog();
	configuration.leaseUntil = noLease;
};

const applyMissingChanges = (catalog: Catalog, changes: readonly RevisedChange[]): void => {
	for (const {index, change} of changes) {
		if (index > catalog.revision) {
			applyChange(catalog, change as CatalogChange, index);
		}
	}
};

/**
 * Whether the host may accept new requests now. Checked for each request,
 * because a process or machine that resumes from suspension has requests
 * waiting in its sockets before any of its timers has run.
 */
export const hasConfigurationLease = (configuration: HostConfiguration, now: HostTime): boolean => leaseLeftMs(configuration, now) > 0;

/** Remaining time of the lease by the clock on which it expires first; 0 or negative once it has expired. */
export const leaseLeftMs = ({leaseUntil}: HostConfiguration, now: HostTime): number => Math.min(leaseUntil.monotonicMs - now.monotonicMs, leaseUntil.wallMs - now.wallMs);

export type PeerComparison = 'equal' | 'behind' | 'ahead' | 'diverged';

/** Compares this host's copy with the one that the peer of a request uses. */
export const compareWithPeer = ({catalog}: HostConfiguration, peer: {readonly revision: number; readonly digest: string | null}): PeerComparison => {
	if (catalog.revision !== peer.revision) {
		return catalog.revision < peer.revision ? 'behind' : 'ahead';
	}

	return peer.digest === null || peer.digest === catalog.digest ? 'equal' : 'diverged';
};
