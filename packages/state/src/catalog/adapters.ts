import {adapterKeyOf} from '../types/ids.js';
import {inOrder} from './in-order.js';
import type {AdapterRecord, Catalog, FleetRecord} from './types.js';

/** Adapters of one version that a fleet may carry: engines hold few beside their base. */
export const maxAdaptersPerVersion = 8;

/** What a host's engine must hold beside its version. */
export type AdapterOrder = {
	readonly adapters: readonly AdapterRecord[];
	/** Grows with every order about the host's version or its adapters. */
	readonly fencingNumber: number;
};

export const fleetsWithAdapter = (catalog: Catalog, key: string): FleetRecord[] => inOrder(catalog.fleets)
	.filter(({adapters}) => adapters?.keys.includes(key));

/** The adapters that follow from a host's assignment: those of its fleet that belong to exactly the assigned version. */
export const adapterOrderOf = (catalog: Catalog, hostId: string): AdapterOrder | null => {
	const assignment = catalog.hosts[hostId]?.assignment ?? null;
	if (assignment === null) {
		return null;
	}

	const ordered = catalog.fleets[assignment.fleetId]?.adapters;
	return {
		adapters: (ordered?.keys ?? [])
			.map(key => catalog.adapters[key])
			.filter((adapter): adapter is AdapterRecord => adapter?.versionId === assignment.versionId),
		fencingNumber: Math.max(assignment.fencingNumber, ordered?.fencingNumber ?? 0),
	};
};

/**
 * What an answer from an adapter is tagged with: base and adapter, each with
 * the digest of its manifest. `null` if the catalog does not know one of them.
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

/** Catalogs from before adapters could be loaded name each by its own name alone. */
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
