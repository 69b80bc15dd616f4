import type {Endpoint, RouteTarget} from '@bitternpaddle/coordination';
import {adapterKeyOf, adapterTagOf, type Catalog} from '@bitternpaddle/state';

/** The tag that an endpoint's answer must carry; `null` if no adapter was requested. */
export const expectedAdapterTag = (catalog: Catalog, target: RouteTarget, {versionId}: Pick<Endpoint, 'versionId'>): string | null => {
	if (target.type !== 'model' || target.adapterId === undefined) {
		return null;
	}

	// An adapter that was retired since the endpoint was chosen has no tag. No request gate knows its bare key, so the request is refused there.
	const version = versionId ?? '';
	return adapterTagOf(catalog, version, target.adapterId) ?? adapterKeyOf(version, target.adapterId);
};
