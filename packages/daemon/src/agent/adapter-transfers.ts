import {
	adapterIdSchema, adapterKeyOf, adapterOrderOf, manifestIdSchema, openChunkStore, versionIdSchema, type AdapterRecord, type Catalog, type ChunkStore, type ManifestId,
} from '@bitternpaddle/state';
import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {fetchManifest} from './fetch-manifest.js';
import {
	createTransfer, type Transfer, type TransferCounters, type TransferPeer,
} from './transfer.js';
import type {WeightsOptions} from './weights.js';

export type AdapterTransfersOptions = Pick<WeightsOptions, 'hostId' | 'zoneId' | 'regionId' | 'folder' | 'sources' | 'originCopies' | 'links' | 'selfAddress' | 'logger' | 'keepMs'> & {
	/** An adapter is whole and verified on this host. */
	onVerified(): void;
};

/** An adapter's verified bytes. */
export type VerifiedAdapter = {readonly record: AdapterRecord; readonly baseManifestId: ManifestId; readonly digest: string; readonly filePath: string};

/** Fetches the adapters that this host is to hold, by the same exchange as versions. */
export type AdapterTransfers = {
	/** Fetches `wanted`; keeps what is there of `kept`, and the rest for a while. */
	follow(catalog: Catalog, wanted: readonly AdapterRecord[], kept: readonly AdapterRecord[]): void;
	verified(manifestId: string): VerifiedAdapter | null;
	noteState(manifestId: string, isReady: boolean, failure: string): void;
	hear(parameters: HaveParameters): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type Job = {
	record: AdapterRecord;
	readonly baseManifestId: ManifestId;
	state: TransferStatus['state'];
	detail: string;
	store: ChunkStore | null;
	transfer: Transfer | null;
	readonly counters: TransferCounters;
	isStarting: boolean;
	isVerified: boolean;
	isWanted: boolean;
	isRemoved: boolean;
	removal: NodeJS.Timeout | null;
};

const retryMs = 500;

export const createAdapterTransfers = (options: AdapterTransfersOptions): AdapterTransfers => {
	const {
		hostId, zoneId, regionId, folder, sources, originCopies, links, selfAddress, logger, keepMs = 600_000, onVerified,
	} = options;
	const jobs = new Map<string, Job>();
	let catalog: Catalog | null = null;
	let isClosed = false;

	const peersOf = ({adapterId, versionId}: AdapterRecord): TransferPeer[] => {
		const key = adapterKeyOf(versionId, adapterId);
		return Object.values(catalog?.hosts ?? {})
			.filter(({assignment, readyVersionId, readyAdapterIds}) => (readyVersionId === versionId && readyAdapterIds?.includes(adapterId) === true)
				|| (assignment?.versionId === versionId && catalog!.fleets[assignment.fleetId]?.adapters?.keys.includes(key) === true))
			.map(({announcement}) => ({
				hostId: announcement.hostId, zoneId: announcement.zoneId, regionId: announcement.regionId, address: announcement.address,
			}));
	};

	const isLive = (job: Job): boolean => !isClosed && !job.isRemoved && job.isWanted;

	const fail = (job: Job, detail: string): void => {
		const {versionId, adapterId} = job.record;
		job.state = 'failed';
		job.detail = detail;
		logger.event('BP3003', {versionId, adapterId, detail});
		setTimeout(() => {
			if (isLive(job)) {
				void start(job);
			}
		}, retryMs);
	};

	const open = async (job: Job): Promise<void> => {
		const manifestId = manifestIdSchema.parse(job.record.manifestId);
		const manifest = await fetchManifest(sources, manifestId);
		if (manifest.baseManifestId !== job.baseManifestId) {
			throw new Error(`the manifest belongs to base ${manifest.baseManifestId ?? 'none'}, ${job.record.versionId} is ${job.baseManifestId}`);
		}

		const store = await openChunkStore({folder, manifestId, manifest});
		if (isClosed) {
			await store.close();
		} else if (job.isRemoved) {
			await store.remove();
		} else {
			job.store = store;
		}
	};

	const start = async (job: Job): Promise<void> => {
		if (job.isStarting || job.isVerified) {
			return;
		}

		job.isStarting = true;
		try {
			job.state = 'fetching';
			if (job.store === null) {
				await open(job);
			}

			const {store} = job;
			if (store === null || !isLive(job)) {
				return;
			}

			job.transfer ??= createTransfer({
				store, self: {hostId, zoneId, regionId}, selfAddress, sources, originCopies, links, logger, counters: job.counters, peers: peersOf(job.record),
				onComplete() {
					void verify(job);
				},
			});
		} catch (error) {
			fail(job, (error as Error).message);
		} finally {
			job.isStarting = false;
		}

		if (job.store?.isComplete()) {
			await verify(job);
		}
	};

	/** Chunks are verified one by one as they come; the whole once more before the engine is told of the file. */
	const verify = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.isVerified) {
			return;
		}

		try {
			job.state = 'verifying';
			job.isVerified = await job.store!.verifyWhole();
			if (job.isVerified) {
				job.state = 'activating';
				onVerified();
				return;
			}

			job.transfer?.close();
			job.transfer = null;
			await job.store!.close();
			job.store = null;
			fail(job, 'the whole digest does not match the manifest');
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const remove = (job: Job): void => {
		job.isRemoved = true;
		clearTimeout(job.removal ?? undefined);
		jobs.delete(job.record.manifestId);
		job.transfer?.close();
		job.store?.remove().catch((error: unknown) => {
			logger.event('BP3003', {versionId: job.record.versionId, adapterId: job.record.adapterId, detail: (error as Error).message});
		});
	};

	const stopFetching = (job: Job): void => {
		job.isWanted = false;
		if (job.store?.isComplete() !== true) {
			job.transfer?.close();
			job.transfer = null;
			job.state = 'fetching';
		}
	};

	const want = (record: AdapterRecord): void => {
		const known = jobs.get(record.manifestId);
		if (known !== undefined) {
			clearTimeout(known.removal ?? undefined);
			known.removal = null;
			known.transfer?.changePeers(peersOf(record));
			if (!known.isWanted) {
				known.isWanted = true;
				known.record = record;
				void start(known);
			}

			return;
		}

		const job: Job = {
			record, baseManifestId: catalog!.versions[record.versionId]!.manifestId, state: 'fetching', detail: '', store: null, transfer: null,
			counters: {originBytes: 0, peerBytes: 0, lastFailure: ''}, isStarting: false, isVerified: false, isWanted: true, isRemoved: false, removal: null,
		};
		jobs.set(record.manifestId, job);
		logger.event('BP3001', {versionId: record.versionId, adapterId: record.adapterId});
		void start(job);
	};

	return {
		follow(followed, wanted, kept) {
			if (isClosed) {
				return;
			}

			catalog = followed;
			for (const job of jobs.values()) {
				const {versionId, adapterId, manifestId} = job.record;
				const record = followed.adapters[adapterKeyOf(versionId, adapterId)];
				if (record === undefined || record.isWithdrawn || record.manifestId !== manifestId) {
					remove(job);
				} else if (!wanted.some(adapter => adapter.manifestId === manifestId)) {
					stopFetching(job);
					if (job.removal === null && !kept.some(adapter => adapter.manifestId === manifestId)) {
						job.removal = setTimeout(() => {
							remove(job);
						}, keepMs);
					}
				}
			}

			for (const record of wanted) {
				want(record);
			}
		},
		verified(manifestId) {
			const job = jobs.get(manifestId);
			return job?.isVerified && job.store !== null
				? {
					record: job.record, baseManifestId: job.baseManifestId, digest: job.store.manifest.wholeDigest, filePath: job.store.filePath,
				}
				: null;
		},
		noteState(manifestId, isReady, failure) {
			const job = jobs.get(manifestId);
			if (job?.isVerified) {
				job.state = isReady ? 'ready' : (failure === '' ? 'activating' : 'failed');
				job.detail = failure;
			}
		},
		hear(parameters) {
			jobs.get(parameters.manifestId)?.transfer?.hear(parameters);
		},
		async readChunk(manifestId, chunk) {
			const store = jobs.get(manifestId)?.store;
			return store?.has(chunk) ? store.read(chunk) : null;
		},
		statuses: () => [...jobs.values()].map(({record, store, counters, state, detail}) => ({
			versionId: versionIdSchema.parse(record.versionId),
			adapterId: adapterIdSchema.parse(record.adapterId),
			manifestId: manifestIdSchema.parse(record.manifestId),
			heldChunks: store?.heldChunks().length ?? 0,
			totalChunks: store?.manifest.chunkDigests.length ?? 0,
			originBytes: counters.originBytes,
			peerBytes: counters.peerBytes,
			state,
			detail: state === 'failed' || counters.lastFailure === '' ? detail : counters.lastFailure,
		})),
		async close() {
			isClosed = true;
			for (const {transfer, store, removal} of jobs.values()) {
				clearTimeout(removal ?? undefined);
				transfer?.close();
				await store?.close();
			}
		},
	};
};

/** Adapters of `versionId` that the host's fleet carries now. */
export const fleetAdaptersOf = (catalog: Catalog, hostId: string, versionId: string): AdapterRecord[] => {
	const fleetId = catalog.hosts[hostId]?.assignment?.fleetId;
	return (fleetId === undefined ? [] : catalog.fleets[fleetId]?.adapters?.keys ?? [])
		.map(key => catalog.adapters[key])
		.filter((adapter): adapter is AdapterRecord => adapter?.versionId === versionId);
};

export const wantedAdaptersOf = (catalog: Catalog, hostId: string): readonly AdapterRecord[] => adapterOrderOf(catalog, hostId)?.adapters ?? [];
