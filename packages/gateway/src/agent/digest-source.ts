import type {TransferPeer} from '@bitternpaddle/daemon/transfer';
import {readBody, sendHttp, type Logger} from '@bitternpaddle/transport';
import * as z from 'zod';
import type {OriginClient} from './engine-client.js';
import type {LoadGoal} from './version-loader.js';

export type DigestSourceOptions = {
	readonly origin: Pick<OriginClient, 'digests'>;
	/** Agents beside other engines of the same model, asked when the origin has none. */
	peers(): readonly TransferPeer[];
	readonly logger: Logger;
};

/** The digests of a version's chunks; `null` while they cannot be had. */
export type DigestSource = (goal: LoadGoal) => Promise<readonly string[] | null>;

/** A peer answers from memory; one that does not within this is gone or stands still. */
const digestTimeoutMs = 700;
const digestsSchema = z.array(z.string());

/** Where an agent serves the digests that it knows. */
export const digestsPath = (model: string, version: number): string => `/digests/${encodeURIComponent(model)}/${version}`;

export const createDigestSource = ({origin, peers, logger}: DigestSourceOptions): DigestSource => {
	const askPeers = async (model: string, version: number): Promise<readonly string[] | null> => {
		for (const {address} of peers()) {
			try {
				const response = await sendHttp({address, path: digestsPath(model, version), idleTimeoutMs: digestTimeoutMs});
				const text = (await readBody(response)).toString();
				if (response.statusCode === 200) {
					return digestsSchema.parse(JSON.parse(text));
				}
			} catch {
				// The next peer is asked; the failure shows as digests that cannot be had.
			}
		}

		return null;
	};

	return async ({profile: {model}, origin: {address}, version}) => {
		try {
			const found = await origin.digests(address, model, version);
			if (found !== null) {
				return found;
			}
		} catch (error) {
			logger.event('BP4037', {version, reason: (error as Error).message});
		}

		return askPeers(model, version);
	};
};
