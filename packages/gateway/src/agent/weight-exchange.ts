import {
	createTransfer, type FetchOutcome, type Transfer, type TransferCounters, type TransferLinks, type TransferPeer,
} from '@bitternpaddle/daemon/transfer';
import {
	createLinkStrain, createStandstill, hasStoodStill, isStrained, lookAtClock, noteFetch, standstillLookMs, strainRestMs, type ChunkSource, type NearDrawers,
} from '@bitternpaddle/coordination';
import type {HaveParameters} from '@bitternpaddle/protocol';
import type {Logger} from '@bitternpaddle/transport';
import {createDigestSource} from './digest-source.js';
import type {EngineClient, OriginClient} from './engine-client.js';
import {createStagedWeights, type StagedWeights} from './staged-weights.js';
import type {LoadGoal} from './version-loader.js';

export type WeightExchangeOptions = {
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly engine: EngineClient;
	readonly origin: OriginClient;
	readonly links: TransferLinks;
	/** What the host's link should carry. */
	readonly linkBytesPerSecond: number;
	readonly logger: Logger;
	/** Agents beside other engines of the same model. */
	peers(): readonly TransferPeer[];
};

/** `progressAtMs`: when a chunk came, or the exchange began. */
type Opened = {readonly weights: StagedWeights; progressAtMs: number};

type Fetching = {readonly goal: LoadGoal; readonly opened: Opened};

/** The weights of one version at a time on this host, exchanged with the hosts beside it. */
export type WeightExchange = {
	/** Begins with a version, and leaves the one before; `null` while its digests cannot be had. One that is not surely wanted is not fetched, only read back. */
	open(goal: LoadGoal): Promise<StagedWeights | null>;
	hear(parameters: HaveParameters): void;
	changePeers(): void;
	/** The host's link is too narrow now for chunks beside what its engine sends. */
	isResting(): boolean;
	/** It was lately. */
	isStrained(): boolean;
	/** Chunks that are still to come; `null` while nothing is fetched, or nothing has come for long. */
	missingChunks(): number | null;
	/** A chunk for another host. */
	readChunk(manifestId: string, chunk: number): Uint8Array | null;
	/** Digests for another host that cannot reach the origin. */
	digests(model: string, version: number): readonly string[] | null;
	readonly counters: TransferCounters;
	close(): void;
};

/** A drawer of the origin that is silent for this long is dead or cut off: a whole copy takes little more. */
const takeoverMs = 900;
/** The next host of a zone brings a chunk in if the one before has not: six chunks' time on a host's link. */
const importWaitMs = 350;
/** More fetches side by side only lie in the queue of the same link, before what its engine is sent. */
const maxFetches = 3;
/** Hosts begin with a version within a few crossings of each other; those that do not answer are not waited for. */
const greetingWaitMs = 80;
/** A whole copy leaves the origin in this many times what its link needs at least: drawers share it, and each has a slower link. */
const drawFactor = 1.2;
const leastRedrawMs = 400;
const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
/** A fetch is slow behind this many times what the link needs for all that run at once. */
const slowFactor = 3;
const tickMs = 60;
/** Without a chunk for this long, ten times what one takes on a host's link, nobody can tell when the last one comes. */
const stalledMs = 1000;

const redrawMs = ({profile: {chunks, chunkBytes}, origin: {linkMbps}}: LoadGoal): number => Math.max(leastRedrawMs, drawFactor * chunks * chunkBytes * bitsPerByte / (linkMbps * 1000));

/** The hosts of the origin's zone draw, if their links carry what it sends. */
const nearDrawers = ({origin: {zoneId, linkMbps}}: LoadGoal, linkBytesPerSecond: number): NearDrawers | null => zoneId === null
	? null
	: {zoneId, least: Math.ceil(linkMbps * bitsPerMegabit / (linkBytesPerSecond * bitsPerByte))};

const originRestMs = 150;
export const createWeightExchange = (options: WeightExchangeOptions): WeightExchange => {
	const {selfAddress, zoneId, regionId, engine, origin, links, logger, peers} = options;
	const counters: TransferCounters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
	const strain = createLinkStrain();
	const standstill = createStandstill(performance.now());
	const looking = setInterval(() => {
		if (lookAtClock(standstill, performance.now())) {
			resume();
		}
	}, standstillLookMs);
	let current: Opened | null = null;
	let transfer: Transfer | null = null;
	let fetching: Fetching | null = null;

	const currentOf = (model: string, version: number): Opened | null => current?.weights.model === model && current.weights.version === version ? current : null;

	const findDigests = createDigestSource({origin, peers, logger});

	const fetchFromOrigin = (goal: LoadGoal) => async (chunk: number, signal: AbortSignal): Promise<FetchOutcome> => {
		try {
			const data = await origin.chunk(goal.origin.address, {
				model: goal.profile.model, version: goal.version, chunk, signal,
			});
			return {type: 'data', data};
		} catch (error) {
			return {
				type: 'failed', reason: 'unreachable', detail: (error as Error).message, retryAfterMs: originRestMs,
			};
		}
	};

	/**
	 * A host that was frozen finds that all its fetches took as long. Taken for a
	 * narrow link, it would rest for seconds; where the only copy of a chunk lies
	 * there, the version is whole everywhere only after that.
	 */
	const noteTook = (source: ChunkSource, tookMs: number, {profile: {chunkBytes}}: LoadGoal): void => {
		const nowMs = performance.now();
		if (hasStoodStill(standstill, nowMs - tookMs, nowMs)) {
			return;
		}

		const slowMs = slowFactor * maxFetches * chunkBytes * 1000 / options.linkBytesPerSecond;
		if (noteFetch(strain, source.type === 'peer' ? source.hostId : 'origin', tookMs > slowMs, nowMs)) {
			logger.event('BP4038', {tookMs: Math.round(tookMs), slowMs: Math.round(slowMs)});
		}
	};

	const begin = async (goal: LoadGoal): Promise<Opened | null> => {
		const digests = await findDigests(goal);
		if (digests === null) {
			return null;
		}

		const begun = createStagedWeights({
			engine, model: goal.profile.model, version: goal.version, chunkBytes: goal.profile.chunkBytes, digests,
		});
		// Only then is it known what is missing.
		await begun.adopt();
		return {weights: begun, progressAtMs: performance.now()};
	};

	/**
	 * The others have given this host up while it stood still, for up to half a minute,
	 * and with it chunks that it alone had drawn. A new exchange greets them all.
	 */
	const resume = (): void => {
		if (fetching !== null && transfer !== null) {
			transfer.close();
			transfer = startTransfer(fetching);
		}
	};

	const startTransfer = ({goal, opened}: Fetching): Transfer => createTransfer({
		store: opened.weights, self: {hostId: selfAddress, zoneId, regionId}, selfAddress: () => selfAddress,
		sources: {origin: goal.origin.address, store: null}, originCopies: 1, peers: peers(), links, counters, logger, tickMs,
		swarm: {
			takeoverMs, importWaitMs, maxFetches, maxFetchesPerPeer: 1, greetingWaitMs, redrawMs: redrawMs(goal), nearDrawers: nearDrawers(goal, options.linkBytesPerSecond),
		},
		fetchFromOrigin: fetchFromOrigin(goal),
		onFetched(source, tookMs) {
			opened.progressAtMs = performance.now();
			noteTook(source, tookMs, goal);
		},
		restMs: () => strainRestMs(strain, performance.now()),
		onComplete() {
			logger.event('BP4031', {version: goal.version, originBytes: counters.originBytes, peerBytes: counters.peerBytes});
		},
	});

	return {
		counters,
		async open(goal) {
			// Nobody wants the rest of the version before; its chunks would hold up the digests of this one on the links of this host and of the origin.
			transfer?.close();
			transfer = null;
			const opened = currentOf(goal.profile.model, goal.version) ?? await begin(goal);
			if (opened === null) {
				return null;
			}

			current = opened;
			const {weights} = opened;
			logger.event('BP4030', {version: goal.version, heldChunks: weights.heldChunks().length, totalChunks: weights.manifest.chunkDigests.length});
			if (goal.isSure) {
				fetching = {goal, opened};
				transfer = startTransfer(fetching);
			}

			return weights;
		},
		hear(parameters) {
			if (parameters.manifestId === current?.weights.manifestId) {
				transfer?.hear(parameters);
			}
		},
		changePeers() {
			transfer?.changePeers(peers());
		},
		isResting: () => strainRestMs(strain, performance.now()) > 0,
		isStrained: () => isStrained(strain, performance.now()),
		missingChunks() {
			if (current === null) {
				return null;
			}

			const {weights, progressAtMs} = current;
			const missing = weights.manifest.chunkDigests.length - weights.heldChunks().length;
			const isStalled = performance.now() - progressAtMs > stalledMs || transfer?.isRestInReach() === false;
			return missing > 0 && isStalled ? null : missing;
		},
		readChunk: (manifestId, chunk) => manifestId === current?.weights.manifestId ? current.weights.read(chunk) : null,
		digests: (model, version) => currentOf(model, version)?.weights.manifest.chunkDigests.map(digest => digest.slice('sha256:'.length)) ?? null,
		close() {
			clearInterval(looking);
			transfer?.close();
		},
	};
};
