import {
	applyChange, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import type {WatchResult} from '@bitternpaddle/protocol';

/** One host's copy of the configuration and its right to act on it. */
export type HostConfiguration = {
	catalog: Catalog;
	/** New work is refused once this has passed; 0 until a quorum was heard. */
	leaseUntilMs: number;
};

export const createHostConfiguration = (): HostConfiguration => ({catalog: createCatalog(), leaseUntilMs: 0});

export type WatchOutcome = 'current' | 'advanced' | 'refusedOlder' | 'diverged';

/**
 * Takes the answer to a watch that was sent at `sentAtMs`. The lease counts
 * from the sending: an answer that lay in a silent connection for a while must
 * not grant time that control has already written off.
 *
 * An older revision is refused: a control host that lags, or an answer that
 * comes late, must not take the host back to a state that was already replaced.
 */
export const takeWatchResult = (configuration: HostConfiguration, result: WatchResult, sentAtMs: number): WatchOutcome => {
	const before = configuration.catalog.revision;
	if (result.revision < before) {
		return 'refusedOlder';
	}

	if (result.type === 'snapshot') {
		configuration.catalog = result.catalog;
	} else {
		applyGap(configuration.catalog, result.changes);
	}

	const {catalog} = configuration;
	if (catalog.revision !== result.revision || catalog.digest !== result.digest) {
		// Start anew from a snapshot; serving on from a diverged copy would be a state that nobody accepted.
		configuration.catalog = createCatalog();
		configuration.leaseUntilMs = 0;
		return 'diverged';
	}

	configuration.leaseUntilMs = Math.max(configuration.leaseUntilMs, sentAtMs + result.leaseMs);
	return catalog.revision > before ? 'advanced' : 'current';
};

const applyGap = (catalog: Catalog, changes: Extract<WatchResult, {type: 'changes'}>['changes']): void => {
	for (const {index, change} of changes) {
		if (index > catalog.revision) {
			applyChange(catalog, change as CatalogChange, index);
		}
	}
};

export const hasConfigurationLease = (configuration: HostConfiguration, nowMs: number): boolean => nowMs < configuration.leaseUntilMs;
