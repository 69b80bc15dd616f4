/**
 * Decides when an agent requests a list of digests again. A digest that was damaged on
 * the way keeps its chunk missing. It also keeps the host out of the exchange, because
 * the digests identify a version among agents.
 */
export type DigestCheck = {
	/** Records a chunk that does not match its digest. */
	recordMismatch(chunk: number): void;
	/** Records a chunk or an announcement from a peer, whose list is the same. */
	recordContact(nowMs: number): void;
	/** Records that the exchange starts; silence before does not count. */
	recordStart(nowMs: number): void;
	/** Records that the list is requested again. */
	recordRequest(nowMs: number): void;
	/** `progressAtMs`: when the last chunk arrived. */
	isDue(options: {readonly progressAtMs: number; readonly hasPeers: boolean; readonly nowMs: number}): boolean;
};

/** A single mismatch is more often a chunk that was damaged on the way. Doubled with each request, so that damaged chunks cause few requests. */
const initialMismatches = 2;
/** Time without a chunk, or without any contact to peers, after which the list may be the cause; a chunk takes a tenth of this on a host's link. Doubled with each request. */
const initialSilenceMs = 1000;
const maxSilenceMs = 16_000;

export const createDigestCheck = (): DigestCheck => {
	const mismatches = new Map<number, number>();
	let requests = 0;
	/** The start of the exchange or, if later, the last request. */
	let silenceCountsFromMs = 0;
	let contactAtMs = 0;
	return {
		recordMismatch(chunk) {
			mismatches.set(chunk, (mismatches.get(chunk) ?? 0) + 1);
		},
		recordContact(nowMs) {
			contactAtMs = nowMs;
		},
		recordStart(nowMs) {
			silenceCountsFromMs = nowMs;
		},
		recordRequest(nowMs) {
			requests++;
			silenceCountsFromMs = nowMs;
		},
		isDue({progressAtMs, hasPeers, nowMs}) {
			const silentSinceMs = hasPeers ? Math.min(contactAtMs, progressAtMs) : progressAtMs;
			const isSilent = nowMs - Math.max(silentSinceMs, silenceCountsFromMs) >= Math.min(maxSilenceMs, initialSilenceMs * (2 ** requests));
			return isSilent || [...mismatches.values()].some(count => count >= initialMismatches * (2 ** requests));
		},
	};
};

export type CorrectDigestsOptions = {
	/** The digests in use. */
	readonly current: readonly string[];
	/** Those of another answer for the same version. */
	readonly listed: readonly string[];
	/** Chunks whose bytes match `current`. */
	readonly held: readonly number[];
};

/** Returns the digests of another answer, except for chunks whose bytes prove the current digest, and the chunks whose digests change. */
export const correctDigests = ({current, listed, held}: CorrectDigestsOptions): {readonly digests: readonly string[]; readonly changed: readonly number[]} => {
	const proven = new Set(held);
	const changed = [...current.keys()].filter(chunk => !proven.has(chunk) && listed[chunk] !== undefined && listed[chunk] !== current[chunk]);
	return {changed, digests: current.map((digest, chunk) => changed.includes(chunk) ? listed[chunk]! : digest)};
};
