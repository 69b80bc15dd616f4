import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {
	adapterOrderOf, removeOtherStores, versionIdSchema, type Assignment, type Catalog, type ManifestId,
} from '@bitternpaddle/state';
import {activate, watchEngine, type ActivationOrder} from './activation.js';
import {createFetchedChunks, type FetchedChunks, type FetchOptions} from './fetched-chunks.js';
import type {TransferPeer} from './transfer.js';

export type WeightsOptions = FetchOptions & {
	readonly endpointAddress: string;
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
	/** Its whole digest is checked once; the engine's own digest at each order. */
	readonly chunks: FetchedChunks;
	state: TransferStatus['state'];
	detail: string;
};

const retryMs = 500;

export const createWeights = (options: WeightsOptions): Weights => {
	const {
		hostId, folder, endpointAddress, logger, keepMs = 600_000, engineCheckMs = 1000, hasLease, pauseDoor, onReady,
	} = options;
	const jobs = new Map<ManifestId, Job>();
	let catalog: Catalog | null = null;
	let ready: LoadedWeights | null = null;
	let isClosed = false;

	const assigned = (): Assignment | null => catalog?.hosts[hostId]?.assignment ?? null;

	const isWanted = (job: Job): boolean => !job.chunks.isGone() && assigned()?.versionId === job.assignment.versionId;

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

		try {
			job.state = 'verifying';
			if (!await job.chunks.verify()) {
				fail(job, 'the whole digest does not match the manifest');
				return;
			}

			job.state = 'activating';
			await pauseDoor(async () => {
				await order(job);
			});
			if (ready !== null) {
				onReady();
			}
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const order = async (job: Job): Promise<void> => {
		const {versionId, fencingNumber} = job.assignment;
		const {manifest, filePath} = job.chunks.store()!;
		const wanted: ActivationOrder = {
			versionId, versionFencingNumber: fencingNumber, fencingNumber: adapterOrderOf(catalog!, hostId)?.fencingNumber ?? fencingNumber,
			manifestId: job.chunks.manifestId, digest: manifest.wholeDigest, filePath,
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
		jobs.delete(job.chunks.manifestId);
		job.chunks.remove();
	};

	/** A withdrawn version goes at once; one that another has taken the place of is kept a while, for a way back. */
	const dropUnwanted = (followed: Catalog): void => {
		for (const job of jobs.values()) {
			const {versionId} = job.assignment;
			if (followed.versions[versionId]?.isWithdrawn ?? true) {
				remove(job);
			} else if (assigned()?.versionId === versionId) {
				job.chunks.keep();
				job.chunks.changePeers();
			} else {
				stopFetching(job);
				job.chunks.removeAfter(keepMs, () => {
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

	const begin = (assignment: Assignment, manifestId: ManifestId): void => {
		const {versionId} = assignment;
		const job: Job = {
			assignment, state: 'fetching', detail: '', chunks: createFetchedChunks({
				...options, manifestId, labels: {versionId}, isWanted: () => isWanted(job), peers: () => peersOf(versionId),
				onComplete() {
					void bringIntoForce(job);
				},
			}),
		};
		jobs.set(manifestId, job);
		logger.event('BP3001', {versionId});
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
			jobs.get(parameters.manifestId)?.chunks.hear(parameters);
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
