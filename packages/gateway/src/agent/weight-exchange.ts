import {
	createTransfer, type FetchOutcome, type Transfer, type TransferCounters, type TransferLinks, type TransferOptions, type TransferPeer,
} from '@bitternpaddle/daemon/transfer';
import {
	createLinkStrain, createProcessStall, hasStalled, isStrained, checkClock, recordFetch, stallCheckIntervalMs, strainBackoffMs, type ChunkSource, type NearOriginFetchers,
} from '@bitternpaddle/coordination';
import type {ChunkAnnouncement} from '@bitternpaddle/protocol';
import type {Logger} from '@bitternpaddle/transport';
import {createChunkWriter, type ChunkWriter} from './chunk-writer.js';
import {correctDigests, createDigestCheck, type DigestCheck} from './digest-check.js';
import {createDigestSource} from './digest-source.js';
import type {EngineClient, OriginClient} from './engine-client.js';
import {createLoopDelay} from './loop-delay.js';
import {createStagedWeights, type StagedWeights} from './staged-weights.js';
import type {LoadGoal} from './version-loader.js';

export type WeightExchangeOptions = {
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly engine: EngineClient;
	readonly origin: OriginClient;
	readonly links: TransferLinks;
	/** Nominal bandwidth of the host's link. */
	readonly linkBytesPerSecond: number;
	readonly logger: Logger;
	/** Agents of other engines with the same model. */
	peers(): readonly TransferPeer[];
};

/** `progressAtMs`: when the last chunk arrived or, before any did, when the exchange began. */
type OpenWeights = {readonly weights: StagedWeights; readonly digestCheck: DigestCheck; progressAtMs: number};

type ActiveFetch = {readonly goal: LoadGoal; readonly opened: OpenWeights};

/** The weights of one version at a time on this host, exchanged with peer hosts. */
export type WeightExchange = {
	/** Starts the exchange of a version and stops that of the previous one; `null` while its digests are unavailable. An unconfirmed version is not fetched; its staged chunks are only read back. */
	open(goal: LoadGoal): Promise<StagedWeights | null>;
	receiveHave(parameters: ChunkAnnouncement): void;
	changePeers(): void;
	/** Whether the host exchanges no chunks for now because its link is too congested to carry them along with the engine's traffic. */
	isBackingOff(): boolean;
	/** Whether the link was congested recently. */
	isStrained(): boolean;
	/** Number of missing chunks; `null` if no version is open, or if chunks are missing and the fetch has stalled or cannot reach them. */
	missingChunks(): number | null;
	/** Reads a chunk for another host. */
	readChunk(manifestId: string, chunk: number): Uint8Array | null;
	readonly writer: ChunkWriter;
	/** Chunk digests for another host that cannot reach the origin. */
	digests(model: string, version: number): readonly string[] | null;
	readonly counters: TransferCounters;
	close(): void;
};

/** An origin fetcher that is silent for this long is down or disconnected; a complete copy takes little longer. */
const takeoverMs = 900;
/** Time after which the next host of a zone imports a chunk that the previous one has not; six chunks take this long on a host's link. */
const importWaitMs = 350;
/** More concurrent fetches would only wait in the queue of the same link, ahead of the engine's requests. */
const maxFetches = 3;
/** Hosts start on a version within a few network latencies of each other; peers that have not answered by then are not waited for. */
const greetingWaitMs = 80;
/** Ratio of the real duration of a complete copy from the origin to the minimum on its link: origin fetchers share that link, and each has a slower one. */
const originCopyFactor = 1.2;
const minRefetchMs = 400;
const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
/** A fetch is slow if it takes more than this many times what the link needs for all concurrent fetches. */
const slowFetchFactor = 3;
/**
 * A fetch that takes no longer is not slow, however small the chunk and fast the link:
 * the round trips between regions for a connection and a request take up to 10 ms, and
 * the event loops of both processes may each be late by 50 ms without having stalled.
 * None of this indicates the link's bandwidth. The engine's events on the same link wait
 * no longer than a fetch takes.
 */
const minSlowFetchMs = 110;
const tickMs = 60;
/** Without a chunk for this long, ten times what one takes on a host's link, completion cannot be estimated. */
const fetchStallMs = 1000;

const originRefetchMs = ({profile: {chunks, chunkBytes}, origin: {linkMbps}}: LoadGoal): number => Math.max(minRefetchMs, originCopyFactor * chunks * chunkBytes * bitsPerByte / (linkMbps * 1000));

/** Lets the hosts in the origin's zone fetch from it, provided enough of them to use its full bandwidth. */
const nearOriginFetchers = ({origin: {zoneId, linkMbps}}: LoadGoal, linkBytesPerSecond: number): NearOriginFetchers | null => zoneId === null
	? null
	: {zoneId, minHosts: Math.ceil(linkMbps * bitsPerMegabit / (linkBytesPerSecond * bitsPerByte))};

const originBackoffMs = 150;

const digestsOf = ({manifest}: StagedWeights): string[] => manifest.chunkDigests.map(digest => digest.slice('sha256:'.length));

export const createWeightExchange = (options: WeightExchangeOptions): WeightExchange => {
	const {selfAddress, zoneId, regionId, engine, origin, links, logger, peers} = options;
	const counters: TransferCounters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
	const linkStrain = createLinkStrain();
	const loopDelay = createLoopDelay();
	const processStall = createProcessStall(performance.now());
	const stallCheckTimer = setInterval(() => {
		if (checkClock(processStall, performance.now())) {
			restartTransfer();
		}

		void reviewDigests();
	}, stallCheckIntervalMs);
	const writer = createChunkWriter({engine, logger});
	let currentWeights: OpenWeights | null = null;
	let transfer: Transfer | null = null;
	let activeFetch: ActiveFetch | null = null;
	/** The weights whose digests are being requested again. */
	let reviewed: OpenWeights | null = null;

	const findCurrent = (model: string, version: number): OpenWeights | null => currentWeights?.weights.model === model && currentWeights.weights.version === version ? currentWeights : null;

	const findDigests = createDigestSource({origin, peers, logger});

	const fetchFromOrigin = (goal: LoadGoal) => async (chunk: number, signal: AbortSignal): Promise<FetchOutcome> => {
		try {
			const data = await origin.chunk(goal.origin.address, {
				model: goal.profile.model, version: goal.version, chunk, chunkBytes: goal.profile.chunkBytes, signal,
			});
			return {type: 'data', data};
		} catch (error) {
			return {
				type: 'failed', reason: 'unreachable', detail: (error as Error).message, retryAfterMs: originBackoffMs,
			};
		}
	};

	/**
	 * After a process stall, all fetches in progress appear as slow as the stall was
	 * long. Treated as link congestion, this would make the host back off for seconds;
	 * if it held the only copy of a chunk, every other host would wait for that long
	 * to complete the version. The time by which the event loop was late is not the
	 * link's either.
	 */
	const recordFetchDuration = (source: ChunkSource, tookMs: number, {profile: {chunkBytes}}: LoadGoal): void => {
		const nowMs = performance.now();
		if (hasStalled(processStall, nowMs - tookMs, nowMs)) {
			return;
		}

		const slowMs = Math.max(minSlowFetchMs, slowFetchFactor * maxFetches * chunkBytes * 1000 / options.linkBytesPerSecond);
		const lateMs = loopDelay.totalSinceMs(nowMs - tookMs);
		if (recordFetch(linkStrain, source.type === 'peer' ? source.hostId : 'origin', tookMs - lateMs > slowMs, nowMs)) {
			logger.event('BP4038', {tookMs: Math.round(tookMs), lateMs: Math.round(lateMs), slowMs: Math.round(slowMs)});
		}
	};

	const stageVersion = async (goal: LoadGoal): Promise<OpenWeights | null> => {
		const digests = await findDigests(goal);
		if (digests === null) {
			return null;
		}

		const staged: StagedWeights = createStagedWeights({
			engine, writer, model: goal.profile.model, version: goal.version, chunkBytes: goal.profile.chunkBytes, digests,
			// A chunk of the previous version that is still queued would replace one of this version.
			isCurrent: () => currentWeights?.weights === staged,
		});
		// The missing chunks are known only after the staged ones are read.
		await staged.readStaged();
		return {weights: staged, digestCheck: createDigestCheck(), progressAtMs: performance.now()};
	};

	const shouldReviewDigests = (opened: OpenWeights): boolean => {
		const {weights, digestCheck, progressAtMs} = opened;
		const nowMs = performance.now();
		return reviewed !== opened && transfer !== null && !weights.isComplete() && strainBackoffMs(linkStrain, nowMs) === 0
			&& digestCheck.isDue({progressAtMs, hasPeers: peers().length > 0, nowMs});
	};

	/** Requests the digests of the version that is being fetched again if they may be the reason why it is not complete. */
	const reviewDigests = async (): Promise<void> => {
		const opened = currentWeights;
		if (opened === null || activeFetch?.opened !== opened || !shouldReviewDigests(opened)) {
			return;
		}

		const {goal} = activeFetch;
		reviewed = opened;
		opened.digestCheck.recordRequest(performance.now());
		try {
			const listed = await findDigests(goal);
			if (listed !== null && opened === currentWeights) {
				replaceDigests(opened, listed);
			}
		} catch (error) {
			logger.event('BP4037', {version: goal.version, source: 'review', reason: (error as Error).message});
		} finally {
			if (reviewed === opened) {
				reviewed = null;
			}
		}
	};

	const replaceDigests = ({weights}: OpenWeights, listed: readonly string[]): void => {
		const {digests, changed} = correctDigests({current: digestsOf(weights), listed, held: weights.heldChunks()});
		if (changed.length === 0) {
			return;
		}

		logger.event('BP4037', {version: weights.version, source: 'earlier list', reason: `it has other digests of the missing chunks ${changed.join(', ')}`});
		weights.replaceDigests(digests);
		restartTransfer();
	};

	/**
	 * During a process stall, peers mark this host as down for up to half a minute,
	 * and with it any chunks that only this host has fetched. A new transfer greets
	 * all peers, so that they use it again.
	 */
	const restartTransfer = (): void => {
		if (activeFetch !== null && transfer !== null) {
			transfer.close();
			transfer = startTransfer(activeFetch);
		}
	};

	const startTransfer = ({goal, opened}: ActiveFetch): Transfer => {
		loopDelay.start();
		opened.digestCheck.recordStart(performance.now());
		return createTransfer(transferOptions({goal, opened}));
	};

	const transferOptions = ({goal, opened}: ActiveFetch): TransferOptions => ({
		store: {
			...opened.weights,
			async put(chunk, data) {
				const isStored = await opened.weights.put(chunk, data);
				if (!isStored) {
					opened.digestCheck.recordMismatch(chunk);
				}

				return isStored;
			},
		},
		self: {hostId: selfAddress, zoneId, regionId}, selfAddress: () => selfAddress,
		sources: {origin: goal.origin.address, store: null}, originCopies: 1, peers: peers(), links, counters, logger, tickMs,
		swarm: {
			takeoverMs, importWaitMs, maxFetches, maxFetchesPerPeer: 1, greetingWaitMs, refetchMs: originRefetchMs(goal), nearOriginFetchers: nearOriginFetchers(goal, options.linkBytesPerSecond),
		},
		fetchFromOrigin: fetchFromOrigin(goal),
		onFetched(source, tookMs) {
			opened.progressAtMs = performance.now();
			if (source.type === 'peer') {
				opened.digestCheck.recordContact(opened.progressAtMs);
			}

			recordFetchDuration(source, tookMs, goal);
		},
		fetchPauseMs: () => strainBackoffMs(linkStrain, performance.now()),
		onComplete() {
			loopDelay.stop();
			logger.event('BP4031', {version: goal.version, originBytes: counters.originBytes, peerBytes: counters.peerBytes});
		},
	});

	return {
		counters,
		async open(goal) {
			// The rest of the previous version is no longer needed, and its chunks would delay the digests of this one on the links of this host and of the origin.
			transfer?.close();
			transfer = null;
			loopDelay.stop();
			const opened = findCurrent(goal.profile.model, goal.version) ?? await stageVersion(goal);
			if (opened === null) {
				return null;
			}

			currentWeights = opened;
			const {weights} = opened;
			logger.event('BP4030', {version: goal.version, heldChunks: weights.heldChunks().length, totalChunks: weights.manifest.chunkDigests.length});
			if (goal.isConfirmed) {
				activeFetch = {goal, opened};
				transfer = startTransfer(activeFetch);
			}

			return weights;
		},
		receiveHave(parameters) {
			if (parameters.manifestId === currentWeights?.weights.manifestId) {
				currentWeights.digestCheck.recordContact(performance.now());
				transfer?.receiveAnnouncement(parameters);
			}
		},
		changePeers() {
			transfer?.changePeers(peers());
		},
		isBackingOff: () => strainBackoffMs(linkStrain, performance.now()) > 0,
		isStrained: () => isStrained(linkStrain, performance.now()),
		missingChunks() {
			if (currentWeights === null) {
				return null;
			}

			const {weights, progressAtMs} = currentWeights;
			const missing = weights.manifest.chunkDigests.length - weights.heldChunks().length;
			const isStalled = performance.now() - progressAtMs > fetchStallMs || transfer?.canComplete() === false;
			return missing > 0 && isStalled ? null : missing;
		},
		readChunk: (manifestId, chunk) => manifestId === currentWeights?.weights.manifestId ? currentWeights.weights.read(chunk) : null,
		writer,
		digests(model, version) {
			const found = findCurrent(model, version);
			return found === null ? null : digestsOf(found.weights);
		},
		close() {
			clearInterval(stallCheckTimer);
			loopDelay.stop();
			transfer?.close();
		},
	};
};
