import type {ChunkAnnouncement, TransferStatus} from '@bitternpaddle/protocol';
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

/** Options shared by all chunk sets that a host fetches. */
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
	/** Fields that identify the set in log events. */
	readonly eventFields: Readonly<Record<string, string>>;
	/** Throws if the manifest is not the expected one. Accepts any manifest by default. */
	checkManifest?(manifest: Manifest): void;
	/** Whether the configuration still assigns the set to this host. */
	isWanted(): boolean;
	peers(): TransferPeer[];
	/** Called when the last missing chunk has been stored. */
	onComplete(): void;
};

export type FetchedProgress = Pick<TransferStatus, 'heldChunks' | 'totalChunks' | 'originBytes' | 'peerBytes'> & {readonly lastFailure: string};

/** The chunks of one manifest on this host: fetched, verified, served to peers, retained for a while and removed. */
export type FetchedChunks = {
	readonly manifestId: ManifestId;
	/** `null` until the store is open. */
	store(): ChunkStore | null;
	/** Whether the set has been removed, or closed because the host shuts down. */
	isDisposed(): boolean;
	/** Opens the store and starts to fetch the missing chunks; `true` if none is missing. */
	fetch(): Promise<boolean>;
	/** Verifies the digest of the complete file, unless that has been done; on `false` the set has to be fetched again. */
	verify(): Promise<boolean>;
	/** Makes the next `verify` read the file again, which may have changed since it was verified. */
	discardVerification(): void;
	isVerified(): boolean;
	changePeers(): void;
	/** Leaves the bandwidth to the sets that are wanted now; a complete set stays and is still served. */
	stopFetching(): void;
	/** Schedules the removal of the set, unless `cancelRemoval` is called before. */
	scheduleRemoval(keepMs: number, remove: () => void): void;
	cancelRemoval(): void;
	remove(): void;
	handleAnnouncement(parameters: ChunkAnnouncement): void;
	readChunk(chunk: number): Promise<Uint8Array | null>;
	progress(): FetchedProgress;
	close(): Promise<void>;
};

export const createFetchedChunks = (options: FetchedChunksOptions): FetchedChunks => {
	const {
		hostId, zoneId, regionId, folder, sources, originCopies, selfAddress, links, logger, manifestId, eventFields, checkManifest, isWanted, peers, onComplete,
	} = options;
	const counters: TransferCounters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
	let store: ChunkStore | null = null;
	let transfer: Transfer | null = null;
	let removalTimer: NodeJS.Timeout | null = null;
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
				// The set was withdrawn while the store was being opened.
				await opened.remove();
			} else {
				store = opened;
			}
		} finally {
			isOpening = false;
		}
	};

	const cancelRemoval = (): void => {
		clearTimeout(removalTimer ?? undefined);
		removalTimer = null;
	};

	return {
		manifestId,
		store: () => store,
		isDisposed: () => isRemoved || isClosed,
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
			isVerified ||= await store!.verifyComplete();
			if (!isVerified) {
				// The chunks were verified when they were stored, so the file has since been corrupted on disk.
				closeTransfer();
				await store!.close();
				store = null;
			}

			return isVerified;
		},
		discardVerification() {
			isVerified = false;
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
		scheduleRemoval(keepMs, remove) {
			removalTimer ??= setTimeout(remove, keepMs);
		},
		cancelRemoval,
		remove() {
			isRemoved = true;
			cancelRemoval();
			closeTransfer();
			store?.remove().catch((error: unknown) => {
				logger.event('BP3003', {...eventFields, detail: (error as Error).message});
			});
		},
		handleAnnouncement(parameters) {
			transfer?.receiveAnnouncement(parameters);
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
			cancelRemoval();
			closeTransfer();
			await store?.close();
		},
	};
};
