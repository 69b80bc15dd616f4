import {
	adapterIdSchema, adapterKeyOf, requiredAdaptersOf, manifestIdSchema, versionIdSchema, type AdapterRecord, type Catalog, type ManifestId,
} from '@bitternpaddle/state';
import type {ChunkAnnouncement, TransferStatus} from '@bitternpaddle/protocol';
import {createFetchedChunks, type FetchedChunks, type FetchOptions} from './fetched-chunks.js';
import type {TransferPeer} from './transfer.js';

export type AdapterTransfersOptions = FetchOptions & {
	/** How long the chunks of an adapter are retained after the fleet stops serving it. @default 600000 */
	readonly keepMs?: number;
	/** An adapter is complete and verified on this host. */
	onVerified(): void;
};

/** An adapter's verified bytes. */
export type VerifiedAdapter = {readonly record: AdapterRecord; readonly baseManifestId: ManifestId; readonly digest: string; readonly filePath: string};

/** Fetches the adapters assigned to this host, with the same peer-to-peer exchange as versions. */
export type AdapterTransfers = {
	/** Fetches `wanted`; retains the chunks already stored of `retained`, and those of other adapters for `keepMs`. */
	applyCatalog(catalog: Catalog, wanted: readonly AdapterRecord[], retained: readonly AdapterRecord[]): void;
	verified(manifestId: string): VerifiedAdapter | null;
	updateState(manifestId: string, isReady: boolean, failure: string): void;
	/** Verifies the adapter's file again, after the engine answered an order but does not hold what was verified. */
	verifyAgain(manifestId: string, detail: string): void;
	handleAnnouncement(parameters: ChunkAnnouncement): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type Job = {
	record: AdapterRecord;
	readonly baseManifestId: ManifestId;
	readonly chunks: FetchedChunks;
	state: TransferStatus['state'];
	detail: string;
	isWanted: boolean;
};

const retryMs = 500;

export const createAdapterTransfers = (options: AdapterTransfersOptions): AdapterTransfers => {
	const {logger, keepMs = 600_000, onVerified} = options;
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

	const isActive = ({chunks, isWanted}: Job): boolean => !chunks.isDisposed() && isWanted;

	const fail = (job: Job, detail: string): void => {
		const {versionId, adapterId} = job.record;
		job.state = 'failed';
		job.detail = detail;
		logger.event('BP3003', {versionId, adapterId, detail});
		setTimeout(() => {
			if (isActive(job)) {
				void start(job);
			}
		}, retryMs);
	};

	const start = async (job: Job): Promise<void> => {
		if (job.chunks.isVerified()) {
			return;
		}

		try {
			job.state = 'fetching';
			if (await job.chunks.fetch()) {
				await verify(job);
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	/** Each chunk is verified when it arrives; the complete file is verified once more before the engine is ordered to load it. */
	const verify = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.chunks.isVerified()) {
			return;
		}

		try {
			job.state = 'verifying';
			if (!await job.chunks.verify()) {
				fail(job, 'the digest of the complete file does not match the manifest');
				return;
			}

			job.state = 'activating';
			onVerified();
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const remove = (job: Job): void => {
		jobs.delete(job.record.manifestId);
		job.chunks.remove();
	};

	const stopFetching = (job: Job): void => {
		job.isWanted = false;
		job.chunks.stopFetching();
		if (job.chunks.store()?.isComplete() !== true) {
			job.state = 'fetching';
		}
	};

	const ensureFetching = (record: AdapterRecord): void => {
		const existing = jobs.get(record.manifestId);
		if (existing !== undefined) {
			existing.chunks.cancelRemoval();
			existing.chunks.changePeers();
			if (!existing.isWanted) {
				existing.isWanted = true;
				existing.record = record;
				void start(existing);
			}

			return;
		}

		const {versionId, adapterId} = record;
		const eventFields = {versionId, adapterId};
		const baseManifestId = catalog!.versions[versionId]!.manifestId;
		const job: Job = {
			record, baseManifestId, state: 'fetching', detail: '', isWanted: true, chunks: createFetchedChunks({
				...options, eventFields, manifestId: manifestIdSchema.parse(record.manifestId), isWanted: () => isActive(job), peers: () => peersOf(job.record),
				checkManifest(manifest) {
					if (manifest.baseManifestId !== baseManifestId) {
						throw new Error(`the adapter's manifest was built for base manifest ${manifest.baseManifestId ?? 'none'}, but the manifest of ${versionId} is ${baseManifestId}`);
					}
				},
				onComplete() {
					void verify(job);
				},
			}),
		};
		jobs.set(record.manifestId, job);
		logger.event('BP3001', eventFields);
		void start(job);
	};

	return {
		applyCatalog(nextCatalog, wanted, retained) {
			if (isClosed) {
				return;
			}

			catalog = nextCatalog;
			for (const job of jobs.values()) {
				const {versionId, adapterId, manifestId} = job.record;
				const record = nextCatalog.adapters[adapterKeyOf(versionId, adapterId)];
				if (record === undefined || record.isWithdrawn || record.manifestId !== manifestId) {
					remove(job);
				} else if (!wanted.some(adapter => adapter.manifestId === manifestId)) {
					stopFetching(job);
					if (!retained.some(adapter => adapter.manifestId === manifestId)) {
						job.chunks.scheduleRemoval(keepMs, () => {
							remove(job);
						});
					}
				}
			}

			for (const record of wanted) {
				ensureFetching(record);
			}
		},
		verified(manifestId) {
			const job = jobs.get(manifestId);
			const store = job?.chunks.store() ?? null;
			return job?.chunks.isVerified() && store !== null
				? {
					record: job.record, baseManifestId: job.baseManifestId, digest: store.manifest.wholeDigest, filePath: store.filePath,
				}
				: null;
		},
		updateState(manifestId, isReady, failure) {
			const job = jobs.get(manifestId);
			if (job?.chunks.isVerified()) {
				job.state = isReady ? 'ready' : (failure === '' ? 'activating' : 'failed');
				job.detail = failure;
			}
		},
		verifyAgain(manifestId, detail) {
			const job = jobs.get(manifestId);
			if (job?.chunks.isVerified()) {
				job.chunks.discardVerification();
				fail(job, detail);
			}
		},
		handleAnnouncement(parameters) {
			jobs.get(parameters.manifestId)?.chunks.handleAnnouncement(parameters);
		},
		readChunk: async (manifestId, chunk) => await jobs.get(manifestId)?.chunks.readChunk(chunk) ?? null,
		statuses: () => [...jobs.values()].map(({record, chunks, state, detail}) => {
			const {lastFailure, ...progress} = chunks.progress();
			return {
				versionId: versionIdSchema.parse(record.versionId), adapterId: adapterIdSchema.parse(record.adapterId), manifestId: chunks.manifestId, ...progress, state,
				detail: state === 'failed' || lastFailure === '' ? detail : lastFailure,
			};
		}),
		async close() {
			isClosed = true;
			await Promise.all([...jobs.values()].map(async ({chunks}) => chunks.close()));
		},
	};
};

/** Adapters of `versionId` that the host's fleet is configured to serve. */
export const fleetAdaptersOf = (catalog: Catalog, hostId: string, versionId: string): AdapterRecord[] => {
	const fleetId = catalog.hosts[hostId]?.assignment?.fleetId;
	return (fleetId === undefined ? [] : catalog.fleets[fleetId]?.adapters?.keys ?? [])
		.map(key => catalog.adapters[key])
		.filter((adapter): adapter is AdapterRecord => adapter?.versionId === versionId);
};

export const wantedAdaptersOf = (catalog: Catalog, hostId: string): readonly AdapterRecord[] => requiredAdaptersOf(catalog, hostId)?.adapters ?? [];
