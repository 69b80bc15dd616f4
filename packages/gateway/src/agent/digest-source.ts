import type {TransferPeer} from '@bitternpaddle/daemon/transfer';
import {fetchHttp, maxDigestListBytes, type Logger} from '@bitternpaddle/transport';
import * as z from 'zod';
import type {LoadGoal} from './version-loader.js';

/** A list of digests that was received and cannot be that of the version. */
export class UnusableDigestsError extends Error {
	override readonly name = 'UnusableDigestsError';
}

/** Requests the digests of a version's chunks from an origin. Rejects with `UnusableDigestsError` if the answer names another model, version or chunk size. */
export type DigestOrigin = {
	digests(address: string, model: string, version: number, chunks: number, chunkBytes: number): Promise<readonly string[] | null>;
};

export type DigestSourceOptions = {
	readonly origin: DigestOrigin;
	/** Agents of other engines with the same model, queried when the origin has no usable digests. */
	peers(): readonly TransferPeer[];
	readonly logger: Logger;
};

/** Returns the digests of a version's chunks, as 64 lower-case hexadecimal digits each; `null` while they are unavailable. */
export type DigestSource = (goal: LoadGoal) => Promise<readonly string[] | null>;

/** Peers answer from memory; one that does not answer within this time is down or stalled. */
const digestTimeoutMs = 700;
/** Delay before the next request to an origin after one list that cannot be used; doubled for each further one. The lists of all agents together would otherwise fill its link. */
const initialRetryMs = 100;
const maxRetryMs = 3200;
const digestsSchema = z.array(z.string());
const digestPattern = /^[\da-f]{64}$/v;

/** Path at which an agent serves the digests that it knows. */
export const digestsPath = (model: string, version: number): string => `/digests/${encodeURIComponent(model)}/${version}`;

/**
 * Returns the digests in lower case. Throws if they cannot be those of all chunks: with
 * a short list, partial weights would count as complete, and a chunk whose digest is not
 * well-formed could never be verified.
 */
const checkDigests = (listed: readonly string[], chunks: number): readonly string[] => {
	if (listed.length === 0 || (chunks > 0 && listed.length !== chunks)) {
		throw new UnusableDigestsError(`the list has ${listed.length} digests for ${chunks} chunks`);
	}

	const digests = listed.map(digest => digest.toLowerCase());
	const malformed = digests.findIndex(digest => !digestPattern.test(digest));
	if (malformed !== -1) {
		throw new UnusableDigestsError(`the digest of chunk ${malformed} is not 64 hexadecimal digits`);
	}

	return digests;
};

/** Requests digests from the origin and, if it has no usable list, from peers. */
export const createDigestSource = ({origin, peers, logger}: DigestSourceOptions): DigestSource => {
	let unusable = {list: '', count: 0, retryAtMs: 0};

	const recordUnusable = (list: string): void => {
		const count = unusable.list === list ? unusable.count + 1 : 1;
		unusable = {list, count, retryAtMs: performance.now() + Math.min(maxRetryMs, initialRetryMs * (2 ** (count - 1)))};
	};

	const fetchFromOrigin = async ({profile: {model, chunks, chunkBytes}, origin: {address}, version}: LoadGoal): Promise<readonly string[] | null> => {
		const list = `${model}@${version}`;
		if (unusable.list === list && performance.now() < unusable.retryAtMs) {
			return null;
		}

		try {
			const listed = await origin.digests(address, model, version, chunks, chunkBytes);
			return listed === null ? null : checkDigests(listed, chunks);
		} catch (error) {
			if (error instanceof UnusableDigestsError) {
				recordUnusable(list);
			}

			logger.event('BP4037', {version, source: 'origin', reason: (error as Error).message});
			return null;
		}
	};

	const fetchFromPeer = async (address: string, {profile: {model, chunks}, version}: LoadGoal): Promise<readonly string[] | null> => {
		const response = await fetchHttp({
			address, path: digestsPath(model, version), idleTimeoutMs: digestTimeoutMs, totalTimeoutMs: 2 * digestTimeoutMs, limitBytes: maxDigestListBytes(chunks),
		}).catch(() => null);
		// The next peer is asked; if all fail, the digests are reported as unavailable.
		if (response?.status !== 200) {
			return null;
		}

		try {
			return checkDigests(digestsSchema.parse(JSON.parse(response.body.toString())), chunks);
		} catch (error) {
			logger.event('BP4037', {version, source: address, reason: (error as Error).message});
			return null;
		}
	};

	const fetchFromPeers = async (goal: LoadGoal): Promise<readonly string[] | null> => {
		for (const {address} of peers()) {
			const digests = await fetchFromPeer(address, goal);
			if (digests !== null) {
				return digests;
			}
		}

		return null;
	};

	return async goal => await fetchFromOrigin(goal) ?? fetchFromPeers(goal);
};
