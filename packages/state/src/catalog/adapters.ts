import {adapterKeyOf} from '../types/ids.js';
import {valuesInKeyOrder} from './in-order.js';
import type {AdapterRecord, Catalog, FleetRecord} from './types.js';

/** Maximum number of adapters of one version on a fleet, since engines can hold only a few beside the base. */
export const maxAdaptersPerVersion = 8;

/** The adapters that a host's engine must hold beside its version. */
export type RequiredAdapters = {
	readonly adapters: readonly AdapterRecord[];
	/** Increases with every command about the host's version or its adapters. */
	readonly fencingNumber: number;
};

export const fleetsWithAdapter = (catalog: Catalog, key: string): FleetRecord[] => valuesInKeyOrder(catalog.fleets)
	.filter(({adapters}) => adapters?.keys.includes(key));

/** Returns the adapters required by a host's assignment: those of its fleet that belong to exactly the assigned version. */
export const requiredAdaptersOf = (catalog: Catalog, hostId: string): RequiredAdapters | null => {
	const assignment = catalog.hosts[hostId]?.assignment ?? null;
	if (assignment === null) {
		return null;
	}

	const fleetAdapters = catalog.fleets[assignment.fleetId]?.adapters;
	return {
		adapters: (fleetAdapters?.keys ?? [])
			.map(key => catalog.adapters[key])
			.filter((adapter): adapter is AdapterRecord => adapter?.versionId === assignment.versionId),
		fencingNumber: Math.max(assignment.fencingNumber, fleetAdapters?.fencingNumber ?? 0),
	};
};

/**
 * Tag of the answers that an adapter produces: base and adapter, each with the
 * digest of its manifest. `null` if one of them is not in the catalog.
 */
export const adapterTagOf = (catalog: Catalog, versionId: string, adapterId: string): string | null => {
	const version = catalog.versions[versionId];
	const adapter = catalog.adapters[adapterKeyOf(versionId, adapterId)];
	return version === undefined || adapter === undefined
		? null
		: formatAdapterTag({...adapter, baseManifestId: version.manifestId});
};

export type AdapterTagParts = {
	readonly versionId: string;
	readonly baseManifestId: string;
	readonly adapterId: string;
	readonly manifestId: string;
};

export const formatAdapterTag = ({versionId, baseManifestId, adapterId, manifestId}: AdapterTagParts): string =>
	`${versionId}@${baseManifestId}/${adapterId}@${manifestId}`;

/** Upgrades a catalog of an older format, in which an adapter's key is its name without the version. */
export const upgradeAdapters = (catalog: Catalog): void => {
	catalog.adapters ??= {};
	for (const [key, record] of Object.entries(catalog.adapters)) {
		if (!key.includes('/')) {
			// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
			delete catalog.adapters[key];
			const {versionId, manifestId} = record;
			catalog.adapters[adapterKeyOf(versionId, key)] = {
				adapterId: key, versionId, manifestId, isWithdrawn: false,
			};
		}
	}
};
