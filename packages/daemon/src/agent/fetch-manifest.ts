import {parseManifest, type Manifest, type ManifestId} from '@bitternpaddle/state';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import type {WeightSources} from './fetch-chunk.js';

const idleTimeoutMs = 5000;
const maxManifestBytes = 64 * 1024 * 1024;

/** Fetches a manifest from the origin, or from the store if the origin fails, and verifies its digest. */
export const fetchManifest = async (sources: WeightSources, manifestId: ManifestId): Promise<Manifest> => {
	try {
		return await fetchFrom(sources.origin!, manifestId);
	} catch (error) {
		if (sources.store === null) {
			throw error;
		}

		return fetchFrom(sources.store, manifestId);
	}
};

const fetchFrom = async (address: string, manifestId: ManifestId): Promise<Manifest> => {
	const response = await sendHttp({address, path: `/manifests/${manifestId}`, idleTimeoutMs});
	const text = (await readBody(response, maxManifestBytes)).toString();
	if (response.statusCode !== 200) {
		throw new Error(`${address} responded with status ${response.statusCode} to the request for manifest ${manifestId}`);
	}

	return parseManifest(text, manifestId).mapLeft(message => new Error(message)).unsafeCoerce();
};
