import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {
	openChunkStore, type ChunkStore, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {WeightSources} from './fetch-chunk.js';
import {fetchManifest} from './fetch-manifest.js';
import type {TransferLinks} from './transfer-links.js';
import {
	createTransfer, type Transfer, type TransferCounters, type TransferPeer,
} from './transfer.js';

/** What all sets of chunks on a host are fetched with. */
export type FetchOptions = {
	readonly hostId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly folder: string;
	readonly sources: WeightSources;
	readonly originCopies: number;
	readonly selfAddress: () => string;
	readonly links: TransferLinks;
	readonly logger: Logger;
};

export type FetchedChunksOptions = FetchOptions & {
	readonly manifestId: ManifestId;
	/** What log events name the set by. */
	readonly labels: Readonly<Record<string, string>>;
	/** Throws if the manifest is not the one that is meant. By default each is. */
	checkManifest?(manifest: Manifest): void;
	/** Whether the configuration still wants the set here. */
	isWanted(): boolean;
	peers(): TransferPeer[];
	/** The last chunk has come from elsewhere. */
	onComplete(): void;
};

export type FetchedProgress = Pick<TransferStatus, 'heldChunks' | 'totalChunks' | 'originBytes' | 'peerBytes'> & {readonly lastFailure: string};

/** The chunks of one manifest on this host: fetched, verified, served to peers, kept a while, removed. */
export type FetchedChunks = {
	readonly manifestId: ManifestId;
	/** `null` until the store is open. */
	store(): ChunkStore | null;
	/** Removed, or closed with the host. */
	isGone(): boolean;
	/** Opens the store and begins to fetch what is missing; `true` if nothing is. */
	fetch(): Promise<boolean>;
	/** Checks the digest of the whole, once; on `false` the set is to be fetched anew. */
	verify(): Promise<boolean>;
	isVerified(): boolean;
	changePeers(): void;
	/** The links are for what is wanted now; what is here stays and is served on. */
	stopFetching(): void;
	/** Removes the set after a while, unless `keep` is called before. */
	removeAfter(keepMs: number, remove: () => void): void;
	keep(): void;
	remove(): void;
	hear(parameters: HaveParameters): void;
	readChunk(chunk: number): Promise<Uint8Array | null>;
	progress(): FetchedProgress;
	close(): Promise<void>;
};

export const createFetchedChunks = (options: FetchedChunksOptions): FetchedChunks => {
	const {
		hostId, zoneId, regionId, folder, sources, originCopies, selfAddress, links, logger, manifestId, labels, checkManifest, isWanted, peers, onComplete,
	} = options;
	const counters: TransferCounters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
	let store: ChunkStore | null = null;
	let transfer: Transfer | null = null;
	let removal: NodeJS.Timeout | null = null;
	let isOpening = false;
	let isVerified = false;
	let isRemoved = false;
	let isClosed = false;

	const closeTransfer = (): void => {
		transfer?.close();
		transfer = null;
	};

	const open = async (): Promise<void> => {
		isOpening = true;
		try {
			const manifest = await fetchManifest(sources, manifestId);
			checkManifest?.(manifest);
			const opened = await openChunkStore({folder, manifestId, manifest});
			if (isClosed) {
				await opened.close();
			} else if (isRemoved) {
				// Withdrawn while the store was being opened.
				await opened.remove();
			} else {
				store = opened;
			}
		} finally {
			isOpening = false;
		}
	};

	const keep = (): void => {
		clearTimeout(removal ?? undefined);
		removal = null;
	};

	return {
		manifestId,
		store: () => store,
		isGone: () => isRemoved || isClosed,
		async fetch() {
			if (isOpening) {
				return false;
			}

			if (store === null) {
				await open();
			}

			if (store === null || !isWanted()) {
				return false;
			}

			transfer ??= createTransfer({
				store, self: {hostId, zoneId, regionId}, selfAddress, sources, originCopies, links, logger, counters, peers: peers(), onComplete,
			});
			return store.isComplete();
		},
		async verify() {
			isVerified ||= await store!.verifyWhole();
			if (!isVerified) {
				// What was whole a moment ago is damaged on this disk.
				closeTransfer();
				await store!.close();
				store = null;
			}

			return isVerified;
		},
		isVerified: () => isVerified,
		changePeers() {
			transfer?.changePeers(peers());
		},
		stopFetching() {
			if (store?.isComplete() !== true) {
				closeTransfer();
			}
		},
		removeAfter(keepMs, remove) {
			removal ??= setTimeout(remove, keepMs);
		},
		keep,
		remove() {
			isRemoved = true;
			keep();
			closeTransfer();
			store?.remove().catch((error: unknown) => {
				logger.event('BP3003', {...labels, detail: (error as Error).message});
			});
		},
		hear(parameters) {
			transfer?.hear(parameters);
		},
		async readChunk(chunk) {
			return store?.has(chunk) ? store.read(chunk) : null;
		},
		progress: () => ({
			heldChunks: store?.heldChunks().length ?? 0,
			totalChunks: store?.manifest.chunkDigests.length ?? 0,
			originBytes: counters.originBytes,
			peerBytes: counters.peerBytes,
			lastFailure: counters.lastFailure,
		}),
		async close() {
			isClosed = true;
			keep();
			closeTransfer();
			await store?.close();
		},
	};
};
