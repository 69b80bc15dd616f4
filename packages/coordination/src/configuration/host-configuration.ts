import {
	applyChange, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import type {RevisedChange, WatchResult} from '@bitternpaddle/protocol';
import {decodeCatalog} from './snapshot-codec.js';

/** Both clocks of a host. One of them may stand still while the machine is suspended. */
export type HostTime = {
	readonly monotonicMs: number;
	readonly wallMs: number;
};

/** One host's copy of the configuration and its right to act on it. */
export type HostConfiguration = {
	catalog: Catalog;
	/** New work is refused once this has passed on either clock; 0 until a quorum was heard. */
	leaseUntil: HostTime;
	/** The latest revision that was in force here; none before it is taken again. */
	floorRevision: number;
	/** The system that this host belongs to, from the first copy that names one; a discarded copy does not change it. */
	systemId: string | null;
};

const noLease: HostTime = {monotonicMs: 0, wallMs: 0};

export const createHostConfiguration = (): HostConfiguration => ({
	catalog: createCatalog(), leaseUntil: noLease, floorRevision: 0, systemId: null,
});

export type WatchOutcome = 'current' | 'advanced' | 'refusedOlder' | 'diverged' | 'unknownHost';

/**
 * Takes the answer to a watch that was sent at `sentAt`. The lease counts
 * from the sending: an answer that lay in a silent connection for a while must
 * not grant time that control has already written off.
 *
 * An older revision is refused: a control host that lags, or an answer that
 * comes late, must not take the host back to a state that was already replaced.
 */
export const takeWatchResult = (configuration: HostConfiguration, result: WatchResult, sentAt: HostTime): WatchOutcome => {
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

	applyGap(configuration.catalog, result.changes);
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

/** Starts anew from a snapshot; serving on from a diverged copy would be a state that nobody accepted. */
export const discardCopy = (configuration: HostConfiguration): void => {
	configuration.catalog = createCatalog();
	configuration.leaseUntil = noLease;
};

const applyGap = (catalog: Catalog, changes: readonly RevisedChange[]): void => {
	for (const {index, change} of changes) {
		if (index > catalog.revision) {
			applyChange(catalog, change as CatalogChange, index);
		}
	}
};

/**
 * Whether the host may take new work now. Asked at each request, since a
 * process that was stopped or a machine that was suspended wakes with requests
 * already in its sockets, before any timer of it has run.
 */
export const hasConfigurationLease = (configuration: HostConfiguration, now: HostTime): boolean => leaseLeftMs(configuration, now) > 0;

/** What is left of the lease, by the clock that gives it less; not above 0 once it is over. */
export const leaseLeftMs = ({leaseUntil}: HostConfiguration, now: HostTime): number => Math.min(leaseUntil.monotonicMs - now.monotonicMs, leaseUntil.wallMs - now.wallMs);

export type PeerComparison = 'equal' | 'behind' | 'ahead' | 'diverged';

/** How this host's copy stands to the one that the other end of a request acts on. */
export const compareWithPeer = ({catalog}: HostConfiguration, peer: {readonly revision: number; readonly digest: string | null}): PeerComparison => {
	if (catalog.revision !== peer.revision) {
		return catalog.revision < peer.revision ? 'behind' : 'ahead';
	}

	return peer.digest === null || peer.digest === catalog.digest ? 'equal' : 'diverged';
};
