import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {
	adapterOrderOf, manifestIdSchema, openChunkStore, removeOtherStores, versionIdSchema, type Assignment, type Catalog, type ChunkStore, type ManifestId,
} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {activate, watchEngine, type ActivationOrder} from './activation.js';
import type {WeightSources} from './fetch-chunk.js';
import {fetchManifest} from './fetch-manifest.js';
import type {TransferLinks} from './transfer-links.js';
import {
	createTransfer, type Transfer, type TransferCounters, type TransferPeer,
} from './transfer.js';

export type WeightsOptions = {
	readonly hostId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly folder: string;
	readonly sources: WeightSources;
	readonly originCopies: number;
	readonly endpointAddress: string;
	readonly selfAddress: () => string;
	readonly links: TransferLinks;
	readonly logger: Logger;
	/** Chunks of a version that is no longer assigned are kept this long. @default 600000 */
	readonly keepMs?: number;
	/** How often the engine is asked what it holds. @default 1000 */
	readonly engineCheckMs?: number;
	/** Whether control has confirmed this host's configuration lately. */
	hasLease(): boolean;
	/** Stops new work, waits for what runs, calls `change`, and opens again. */
	pauseDoor(change: () => Promise<void>): Promise<void>;
	/** The ready version changed. */
	onReady(): void;
};

export type LoadedWeights = {readonly versionId: string; readonly digest: string};

/** Brings this host's engine to the version that the configuration assigns to it. */
export type Weights = {
	/** What the engine holds as far as verified, or `null`. */
	loaded(): LoadedWeights | null;
	follow(catalog: Catalog): void;
	hear(parameters: HaveParameters): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type Job = {
	assignment: Assignment;
	readonly manifestId: ManifestId;
	state: TransferStatus['state'];
	detail: string;
	store: ChunkStore | null;
	transfer: Transfer | null;
	readonly counters: TransferCounters;
	isOpening: boolean;
	/** The whole digest was right once; the engine's own digest is checked at each order. */
	isVerified: boolean;
	isRemoved: boolean;
	removal: NodeJS.Timeout | null;
};

const retryMs = 500;

export const createWeights = (options: WeightsOptions): Weights => {
	const {
		hostId, zoneId, regionId, folder, sources, originCopies, endpointAddress, selfAddress, links, logger,
		keepMs = 600_000, engineCheckMs = 1000, hasLease, pauseDoor, onReady,
	} = options;
	const jobs = new Map<ManifestId, Job>();
	let catalog: Catalog | null = null;
	let ready: LoadedWeights | null = null;
	let isClosed = false;

	const assigned = (): Assignment | null => catalog?.hosts[hostId]?.assignment ?? null;

	const isWanted = (job: Job): boolean => !isClosed && !job.isRemoved && assigned()?.versionId === job.assignment.versionId;

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

	const open = async (job: Job): Promise<void> => {
		const {manifestId} = job;
		job.isOpening = true;
		try {
			const store = await openChunkStore({folder, manifestId, manifest: await fetchManifest(sources, manifestId)});
			if (isClosed) {
				await store.close();
			} else if (job.isRemoved) {
				// Withdrawn while the store was being opened.
				await store.remove();
			} else {
				job.store = store;
			}
		} finally {
			job.isOpening = false;
		}
	};

	const start = async (job: Job): Promise<void> => {
		if (job.isOpening) {
			return;
		}

		try {
			job.state = 'fetching';
			if (job.store === null) {
				await open(job);
			}

			const {store} = job;
			if (store === null || !isWanted(job)) {
				return;
			}

			job.transfer ??= createTransfer({
				store, self: {hostId, zoneId, regionId}, selfAddress, sources, originCopies, links, logger,
				counters: job.counters, peers: peersOf(job.assignment.versionId),
				onComplete() {
					void bringIntoForce(job);
				},
			});
			if (store.isComplete()) {
				await bringIntoForce(job);
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	/**
	 * The gate before the engine: only a set that is whole and verified, only
	 * the newest order, and only while no request runs, so that no answer comes
	 * from partial or from two sets of weights.
	 */
	const bringIntoForce = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.state === 'activating' || !isWanted(job)) {
			return;
		}

		const store = job.store!;
		try {
			job.state = 'verifying';
			job.isVerified ||= await store.verifyWhole();
			if (!job.isVerified) {
				// What was whole a moment ago is damaged on this disk: fetch it anew.
				job.transfer?.close();
				job.transfer = null;
				await store.close();
				job.store = null;
				fail(job, 'the whole digest does not match the manifest');
				return;
			}

			job.state = 'activating';
			await pauseDoor(async () => {
				await order(job, store);
			});
			if (ready !== null) {
				onReady();
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const order = async (job: Job, store: ChunkStore): Promise<void> => {
		const {versionId, fencingNumber} = job.assignment;
		const wanted: ActivationOrder = {
			versionId, versionFencingNumber: fencingNumber, fencingNumber: adapterOrderOf(catalog!, hostId)?.fencingNumber ?? fencingNumber,
			manifestId: job.manifestId, digest: store.manifest.wholeDigest, filePath: store.filePath,
		};
		ready = null;
		const outcome = await activate({
			endpointAddress, order: wanted, isInForce: () => isWanted(job) && job.assignment.fencingNumber === fencingNumber && hasLease(),
		});
		if (outcome.type === 'failed') {
			fail(job, outcome.detail);
		} else if (outcome.type === 'superseded') {
			job.state = 'fetching';
			retry(job);
		} else if (isWanted(job)) {
			job.state = 'ready';
			job.detail = '';
			ready = {versionId, digest: wanted.digest};
			logger.event('BP3002', {versionId});
		}
	};

	const engineWatch = watchEngine({
		endpointAddress, everyMs: engineCheckMs, expected: () => ready,
		onLost(detail) {
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
		job.isRemoved = true;
		clearTimeout(job.removal ?? undefined);
		jobs.delete(job.manifestId);
		job.transfer?.close();
		job.store?.remove().catch((error: unknown) => {
			logger.event('BP3003', {versionId: job.assignment.versionId, detail: (error as Error).message});
		});
	};

	/** A withdrawn version goes at once; one that another has taken the place of is kept a while, for a way back. */
	const dropUnwanted = (followed: Catalog): void => {
		for (const job of jobs.values()) {
			const {versionId} = job.assignment;
			if (followed.versions[versionId]?.isWithdrawn ?? true) {
				remove(job);
			} else if (assigned()?.versionId === versionId) {
				clearTimeout(job.removal ?? undefined);
				job.removal = null;
				job.transfer?.changePeers(peersOf(versionId));
			} else if (job.removal === null) {
				stopFetching(job);
				job.removal = setTimeout(() => {
					remove(job);
				}, keepMs);
			}
		}
	};

	/** The link is for the version in force now; what is there of the other one stays and is served on. */
	const stopFetching = (job: Job): void => {
		if (job.store?.isComplete() !== true) {
			job.transfer?.close();
			job.transfer = null;
			job.state = 'fetching';
		}
	};

	const begin = (assignment: Assignment, manifestId: ManifestId): void => {
		const job: Job = {
			assignment, manifestId, state: 'fetching', detail: '', store: null, transfer: null,
			counters: {originBytes: 0, peerBytes: 0, lastFailure: ''}, isOpening: false, isVerified: false, isRemoved: false, removal: null,
		};
		jobs.set(manifestId, job);
		logger.event('BP3001', {versionId: assignment.versionId});
		void start(job);
	};

	return {
		loaded: () => ready,
		follow(followed) {
			// A change may arrive while the host stops; a timer set after the closing would keep the process from ending.
			if (isClosed) {
				return;
			}

			const isFirst = catalog === null;
			catalog = followed;
			dropUnwanted(followed);
			const assignment = assigned();
			const version = assignment === null ? undefined : followed.versions[assignment.versionId];
			if (isFirst) {
				const kept = [...Object.values(followed.versions), ...Object.values(followed.adapters)].filter(({isWithdrawn}) => !isWithdrawn).map(({manifestId}) => manifestId);
				removeOtherStores(folder, kept).catch(() => undefined);
			}

			if (assignment === null || version === undefined || version.isWithdrawn) {
				return;
			}

			const known = jobs.get(version.manifestId);
			if (known === undefined) {
				begin(assignment, version.manifestId);
				return;
			}

			const isSameOrder = known.assignment.fencingNumber === assignment.fencingNumber && ready?.versionId === assignment.versionId;
			known.assignment = assignment;
			if (!isSameOrder && known.state !== 'verifying' && known.state !== 'activating') {
				void start(known);
			}
		},
		hear(parameters) {
			jobs.get(parameters.manifestId)?.transfer?.hear(parameters);
		},
		async readChunk(manifestId, chunk) {
			const store = jobs.get(manifestId as ManifestId)?.store;
			return store?.has(chunk) ? store.read(chunk) : null;
		},
		statuses: () => [...jobs.values()].map(job => ({
			versionId: versionIdSchema.parse(job.assignment.versionId),
			manifestId: manifestIdSchema.parse(job.manifestId),
			heldChunks: job.store?.heldChunks().length ?? 0,
			totalChunks: job.store?.manifest.chunkDigests.length ?? 0,
			originBytes: job.counters.originBytes,
			peerBytes: job.counters.peerBytes,
			state: job.state,
			detail: job.state === 'failed' || job.counters.lastFailure === '' ? job.detail : job.counters.lastFailure,
		})),
		async close() {
			isClosed = true;
			engineWatch.close();
			for (const {transfer, store, removal} of jobs.values()) {
				clearTimeout(removal ?? undefined);
				transfer?.close();
				await store?.close();
			}
		},
	};
};
