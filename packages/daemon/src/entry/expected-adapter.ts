import type {Endpoint, RouteTarget} from '@bitternpaddle/coordination';
import {adapterKeyOf, adapterTagOf, type Catalog} from '@bitternpaddle/state';

/** The tag that the answer of an endpoint must carry; `null` if no adapter was asked for. */
export const expectedAdapterTag = (catalog: Catalog, target: RouteTarget, {versionId}: Pick<Endpoint, 'versionId'>): string | null => {
	if (target.type !== 'model' || target.adapterId === undefined) {
		return null;
	}

	// One that was retired since the choice has no tag; no door holds its bare name, so the request is refused there.
	const version = versionId ?? '';
	return adapterTagOf(catalog, version, target.adapterId) ?? adapterKeyOf(version, target.adapterId);
};
