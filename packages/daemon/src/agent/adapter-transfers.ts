import {
	adapterIdSchema, adapterKeyOf, adapterOrderOf, manifestIdSchema, versionIdSchema, type AdapterRecord, type Catalog, type ManifestId,
} from '@bitternpaddle/state';
import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {createFetchedChunks, type FetchedChunks, type FetchOptions} from './fetched-chunks.js';
import type {TransferPeer} from './transfer.js';

export type AdapterTransfersOptions = FetchOptions & {
	/** Chunks of an adapter that is no longer carried are kept this long. @default 600000 */
	readonly keepMs?: number;
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

	const isLive = ({chunks, isWanted}: Job): boolean => !chunks.isGone() && isWanted;

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

	/** Chunks are verified one by one as they come; the whole once more before the engine is told of the file. */
	const verify = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.chunks.isVerified()) {
			return;
		}

		try {
			job.state = 'verifying';
			if (!await job.chunks.verify()) {
				fail(job, 'the whole digest does not match the manifest');
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

	const want = (record: AdapterRecord): void => {
		const known = jobs.get(record.manifestId);
		if (known !== undefined) {
			known.chunks.keep();
			known.chunks.changePeers();
			if (!known.isWanted) {
				known.isWanted = true;
				known.record = record;
				void start(known);
			}

			return;
		}

		const {versionId, adapterId} = record;
		const labels = {versionId, adapterId};
		const baseManifestId = catalog!.versions[versionId]!.manifestId;
		const job: Job = {
			record, baseManifestId, state: 'fetching', detail: '', isWanted: true, chunks: createFetchedChunks({
				...options, labels, manifestId: manifestIdSchema.parse(record.manifestId), isWanted: () => isLive(job), peers: () => peersOf(job.record),
				checkManifest(manifest) {
					if (manifest.baseManifestId !== baseManifestId) {
						throw new Error(`the manifest belongs to base ${manifest.baseManifestId ?? 'none'}, ${versionId} is ${baseManifestId}`);
					}
				},
				onComplete() {
					void verify(job);
				},
			}),
		};
		jobs.set(record.manifestId, job);
		logger.event('BP3001', labels);
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
					if (!kept.some(adapter => adapter.manifestId === manifestId)) {
						job.chunks.removeAfter(keepMs, () => {
							remove(job);
						});
					}
				}
			}

			for (const record of wanted) {
				want(record);
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
		noteState(manifestId, isReady, failure) {
			const job = jobs.get(manifestId);
			if (job?.chunks.isVerified()) {
				job.state = isReady ? 'ready' : (failure === '' ? 'activating' : 'failed');
				job.detail = failure;
			}
		},
		hear(parameters) {
			jobs.get(parameters.manifestId)?.chunks.hear(parameters);
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

/** Adapters of `versionId` that the host's fleet carries now. */
export const fleetAdaptersOf = (catalog: Catalog, hostId: string, versionId: string): AdapterRecord[] => {
	const fleetId = catalog.hosts[hostId]?.assignment?.fleetId;
	return (fleetId === undefined ? [] : catalog.fleets[fleetId]?.adapters?.keys ?? [])
		.map(key => catalog.adapters[key])
		.filter((adapter): adapter is AdapterRecord => adapter?.versionId === versionId);
};

export const wantedAdaptersOf = (catalog: Catalog, hostId: string): readonly AdapterRecord[] => adapterOrderOf(catalog, hostId)?.adapters ?? [];
