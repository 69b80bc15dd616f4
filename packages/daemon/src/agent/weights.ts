import type {ChunkAnnouncement, TransferStatus} from '@bitternpaddle/protocol';
import {
	requiredAdaptersOf, removeOtherStores, versionIdSchema, type Assignment, type Catalog, type ManifestId,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {activate, watchEngine, type ActivationOrder} from './activation.js';
import {createFetchedChunks, type FetchedChunks, type FetchOptions} from './fetched-chunks.js';
import type {TransferPeer} from './transfer.js';

export type WeightsOptions = FetchOptions & {
	readonly endpointAddress: string;
	/** How long the chunks of a version are retained after it is no longer assigned. @default 600000 */
	readonly keepMs?: number;
	/** How often the engine's loaded weights are checked. @default 1000 */
	readonly engineCheckMs?: number;
	/** Whether this host holds an unexpired configuration lease from control. */
	hasLease(): boolean;
	/** Refuses new requests, waits for the running ones, calls `change`, and accepts requests again. */
	pauseRequests(change: () => Promise<void>): Promise<void>;
	/** The ready version changed. */
	onReady(): void;
};

export type LoadedWeights = {readonly versionId: string; readonly digest: string};

/** Fetches the version that the configuration assigns to this host and loads it into the engine. */
export type Weights = {
	/** The verified version that is loaded in the engine, or `null`. */
	loaded(): LoadedWeights | null;
	applyCatalog(catalog: Catalog): void;
	handleAnnouncement(parameters: ChunkAnnouncement): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type Job = {
	assignment: Assignment;
	/** The digest of the complete file is verified before its first order and again if the engine does not hold it after an order. */
	readonly chunks: FetchedChunks;
	state: TransferStatus['state'];
	detail: string;
};

const retryMs = 500;

export const createWeights = (options: WeightsOptions): Weights => {
	const {
		hostId, folder, endpointAddress, logger, keepMs = 600_000, engineCheckMs = 1000, hasLease, pauseRequests, onReady,
	} = options;
	const jobs = new Map<ManifestId, Job>();
	let catalog: Catalog | null = null;
	let ready: LoadedWeights | null = null;
	let isClosed = false;

	const assigned = (): Assignment | null => catalog?.hosts[hostId]?.assignment ?? null;

	const isWanted = (job: Job): boolean => !job.chunks.isDisposed() && assigned()?.versionId === job.assignment.versionId;

	const peersOf = (versionId: string): TransferPeer[] => Object.values(catalog?.hosts ?? {})
		.filter(host => host.assignment?.versionId === versionId || host.readyVersionId === versionId)
		.map(({announcement}) => ({
			hostId: announcement.hostId, zoneId: announcement.zoneId, regionId: announcement.regionId, address: announcement.address,
		}));

	const fail = (job: Job, detail: string): void => {
		job.state = 'failed';
		job.detail = detail;
		logger.event('BP3003', {versionId: job.assignment.versionId, detail});
		retry(job);
	};

	const retry = (job: Job): void => {
		setTimeout(() => {
			if (isWanted(job)) {
				void start(job);
			}
		}, retryMs);
	};

	const start = async (job: Job): Promise<void> => {
		try {
			job.state = 'fetching';
			if (await job.chunks.fetch()) {
				await activateVersion(job);
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	/**
	 * Loads a version only if it is complete and verified, only for the newest
	 * order, and only while no request runs, so that no answer is generated from
	 * incomplete weights or from two versions.
	 */
	const activateVersion = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.state === 'activating' || !isWanted(job)) {
			return;
		}

		try {
			job.state = 'verifying';
			if (!await job.chunks.verify()) {
				fail(job, 'the digest of the complete file does not match the manifest');
				return;
			}

			job.state = 'activating';
			await pauseRequests(async () => {
				await sendOrder(job);
			});
			if (ready !== null) {
				onReady();
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const sendOrder = async (job: Job): Promise<void> => {
		const {versionId, fencingNumber} = job.assignment;
		const {manifest, filePath} = job.chunks.store()!;
		const wanted: ActivationOrder = {
			versionId, versionFencingNumber: fencingNumber, fencingNumber: requiredAdaptersOf(catalog!, hostId)?.fencingNumber ?? fencingNumber,
			manifestId: job.chunks.manifestId, digest: manifest.wholeDigest, filePath,
		};
		ready = null;
		const outcome = await activate({
			endpointAddress, order: wanted, isInForce: () => isWanted(job) && job.assignment.fencingNumber === fencingNumber && hasLease(),
		});
		match(outcome)
			.with({type: 'failed'}, ({detail}) => {
				fail(job, detail);
			})
			.with({type: 'notLoaded'}, ({detail}) => {
				job.chunks.discardVerification();
				fail(job, detail);
			})
			.with({type: 'superseded'}, () => {
				job.state = 'fetching';
				retry(job);
			})
			.with({type: 'active'}, () => {
				if (!isWanted(job)) {
					// The assignment changed while the engine loaded; the version may be assigned again.
					job.state = 'fetching';
					return;
				}

				job.state = 'ready';
				job.detail = '';
				ready = {versionId, digest: wanted.digest};
				logger.event('BP3002', {versionId});
			})
			.exhaustive();
	};

	const engineWatch = watchEngine({
		endpointAddress, intervalMs: engineCheckMs, expected: () => ready,
		onStateLost(detail) {
			const job = [...jobs.values()].find(({assignment}) => assignment.versionId === ready?.versionId);
			logger.event('BP3007', {versionId: ready?.versionId, detail});
			ready = null;
			onReady();
			if (job !== undefined) {
				fail(job, detail);
			}
		},
	});

	const remove = (job: Job): void => {
		jobs.delete(job.chunks.manifestId);
		job.chunks.remove();
	};

	/** A withdrawn version is removed immediately; a replaced one is retained for a while, so that a rollback is fast. */
	const removeUnwanted = (nextCatalog: Catalog): void => {
		for (const job of jobs.values()) {
			const {versionId} = job.assignment;
			if (nextCatalog.versions[versionId]?.isWithdrawn ?? true) {
				remove(job);
			} else if (assigned()?.versionId === versionId) {
				job.chunks.cancelRemoval();
				job.chunks.changePeers();
			} else {
				stopFetching(job);
				job.chunks.scheduleRemoval(keepMs, () => {
					remove(job);
				});
			}
		}
	};

	const stopFetching = (job: Job): void => {
		job.chunks.stopFetching();
		if (job.chunks.store()?.isComplete() !== true) {
			job.state = 'fetching';
		}
	};

	const startJob = (assignment: Assignment, manifestId: ManifestId): void => {
		const {versionId} = assignment;
		const job: Job = {
			assignment, state: 'fetching', detail: '', chunks: createFetchedChunks({
				...options, manifestId, eventFields: {versionId}, isWanted: () => isWanted(job), peers: () => peersOf(versionId),
				onComplete() {
					void activateVersion(job);
				},
			}),
		};
		jobs.set(manifestId, job);
		logger.event('BP3001', {versionId});
		void start(job);
	};

	return {
		loaded: () => ready,
		applyCatalog(nextCatalog) {
			// A change may arrive while the host stops; a timer set after `close` would keep the process from exiting.
			if (isClosed) {
				return;
			}

			const isFirst = catalog === null;
			catalog = nextCatalog;
			removeUnwanted(nextCatalog);
			const assignment = assigned();
			const version = assignment === null ? undefined : nextCatalog.versions[assignment.versionId];
			if (isFirst) {
				const retainedManifestIds = [...Object.values(nextCatalog.versions), ...Object.values(nextCatalog.adapters)].filter(({isWithdrawn}) => !isWithdrawn).map(({manifestId}) => manifestId);
				removeOtherStores(folder, retainedManifestIds).catch(() => undefined);
			}

			if (assignment === null || version === undefined || version.isWithdrawn) {
				return;
			}

			const existing = jobs.get(version.manifestId);
			if (existing === undefined) {
				startJob(assignment, version.manifestId);
				return;
			}

			const isSameOrder = existing.assignment.fencingNumber === assignment.fencingNumber && ready?.versionId === assignment.versionId;
			existing.assignment = assignment;
			if (!isSameOrder && existing.state !== 'verifying' && existing.state !== 'activating') {
				void start(existing);
			}
		},
		handleAnnouncement(parameters) {
			jobs.get(parameters.manifestId)?.chunks.handleAnnouncement(parameters);
		},
		readChunk: async (manifestId, chunk) => await jobs.get(manifestId as ManifestId)?.chunks.readChunk(chunk) ?? null,
		statuses: () => [...jobs.values()].map(({assignment, chunks, state, detail}) => {
			const {lastFailure, ...progress} = chunks.progress();
			return {
				versionId: versionIdSchema.parse(assignment.versionId), manifestId: chunks.manifestId, ...progress, state,
				detail: state === 'failed' || lastFailure === '' ? detail : lastFailure,
			};
		}),
		async close() {
			isClosed = true;
			engineWatch.close();
			await Promise.all([...jobs.values()].map(async ({chunks}) => chunks.close()));
		},
	};
};
