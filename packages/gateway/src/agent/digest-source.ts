import type {TransferPeer} from '@bitternpaddle/daemon/transfer';
import {fetchHttp, maxDigestListBytes, type Logger} from '@bitternpaddle/transport';
import * as z from 'zod';
import type {OriginClient} from './engine-client.js';
import type {LoadGoal} from './version-loader.js';

export type DigestSourceOptions = {
	readonly origin: Pick<OriginClient, 'digests'>;
	/** Agents of other engines with the same model, queried when the origin has no digests. */
	peers(): readonly TransferPeer[];
	readonly logger: Logger;
};

/** Returns the digests of a version's chunks; `null` while they are unavailable. */
export type DigestSource = (goal: LoadGoal) => Promise<readonly string[] | null>;

/** Peers answer from memory; one that does not answer within this time is down or stalled. */
const digestTimeoutMs = 700;
const digestsSchema = z.array(z.string());

/** Path at which an agent serves the digests that it knows. */
export const digestsPath = (model: string, version: number): string => `/digests/${encodeURIComponent(model)}/${version}`;

export const createDigestSource = ({origin, peers, logger}: DigestSourceOptions): DigestSource => {
	const fetchFromPeers = async (model: string, version: number, chunks: number): Promise<readonly string[] | null> => {
		for (const {address} of peers()) {
			try {
				const {status, body} = await fetchHttp({
					address, path: digestsPath(model, version), idleTimeoutMs: digestTimeoutMs, totalTimeoutMs: 2 * digestTimeoutMs, limitBytes: maxDigestListBytes(chunks),
				});
				if (status === 200) {
					return digestsSchema.parse(JSON.parse(body.toString()));
				}
			} catch {
				// The next peer is tried; if all fail, the digests are reported as unavailable.
			}
		}

		return null;
	};

	return async ({profile: {model, chunks}, origin: {address}, version}) => {
		try {
			const found = await origin.digests(address, model, version, chunks);
			if (found !== null) {
				return found;
			}
		} catch (error) {
			logger.event('BP4037', {version, reason: (error as Error).message});
		}

		return fetchFromPeers(model, version, chunks);
	};
};
