import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {
	manifestIdSchema, openChunkStore, parseManifest, versionIdSchema, type Assignment, type Catalog, type ChunkStore, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import {readBody, sendHttp, type Logger} from '@bitternpaddle/transport';
import {askEngine, orderLoad} from './engine-client.js';
import {createTransfer, type Transfer, type TransferPeer} from './transfer.js';

export type WeightsOptions = {
	readonly hostId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly folder: string;
	readonly originAddress: string;
	readonly endpointAddress: string;
	readonly selfAddress: () => string;
	readonly logger: Logger;
	/** Stops new work, waits for what runs, calls `change`, and opens again. */
	pauseDoor(change: () => Promise<void>): Promise<void>;
	onReady(): void;
};

/** Brings this host's engine to the version that the configuration assigns to it. */
export type Weights = {
	readyVersionId(): string | null;
	/** Digest of the weights behind `readyVersionId`. */
	readyDigest(): string | null;
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
	transfer: Transfer | null;
};

const retryMs = 500;
const manifestTimeoutMs = 5000;
const manifestLimitBytes = 64 * 1024 * 1024;

export const createWeights = (options: WeightsOptions): Weights => {
	const {hostId, zoneId, regionId, folder, originAddress, endpointAddress, selfAddress, logger, pauseDoor, onReady} = options;
	const jobs = new Map<ManifestId, Job>();
	let catalog: Catalog | null = null;
	let ready: {versionId: string; digest: string} | null = null;
	let isClosed = false;

	const fetchManifest = async (manifestId: ManifestId): Promise<Manifest> => {
		const response = await sendHttp({address: originAddress, path: `/manifests/${manifestId}`, idleTimeoutMs: manifestTimeoutMs});
		const text = (await readBody(response, manifestLimitBytes)).toString();
		if (response.statusCode !== 200) {
			throw new Error(`the origin answered ${response.statusCode} for manifest ${manifestId}`);
		}

		return parseManifest(text, manifestId).mapLeft(message => new Error(message)).unsafeCoerce();
	};

	const isWanted = (job: Job): boolean => !isClosed && catalog?.hosts[hostId]?.assignment?.versionId === job.assignment.versionId;

	const peersOf = (versionId: string): TransferPeer[] => Object.values(catalog?.hosts ?? {})
		.filter(host => host.assignment?.versionId === versionId || host.readyVersionId === versionId)
		.map(({announcement}) => ({
			hostId: announcement.hostId, zoneId: announcement.zoneId, regionId: announcement.regionId, address: announcement.address,
		}));

	const fail = (job: Job, detail: string): void => {
		job.state = 'failed';
		job.detail = detail;
		logger.event('BP3003', {versionId: job.assignment.versionId, detail});
		setTimeout(() => {
			if (isWanted(job)) {
				void start(job);
			}
		}, retryMs);
	};

	const start = async (job: Job): Promise<void> => {
		try {
			job.state = 'fetching';
			const {manifestId} = job;
			job.transfer ??= createTransfer({
				store: await openChunkStore({folder, manifestId, manifest: await fetchManifest(manifestId)}),
				self: {hostId, zoneId, regionId},
				selfAddress,
				originAddress,
				peers: peersOf(job.assignment.versionId),
				logger,
				onComplete() {
					void activate(job);
				},
			});
			if (job.transfer.store.isComplete()) {
				await activate(job);
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
	const activate = async (job: Job): Promise<void> => {
		if (job.state === 'verifying' || job.state === 'activating' || !isWanted(job)) {
			return;
		}

		const {store} = job.transfer!;
		try {
			job.state = 'verifying';
			if (!await store.verifyWhole()) {
				fail(job, 'the whole digest does not match the manifest');
				return;
			}

			job.state = 'activating';
			await pauseDoor(async () => {
				await load(job, store);
			});
		} catch (error) {
			fail(job, (error as Error).message);
		}
	};

	const load = async (job: Job, store: ChunkStore): Promise<void> => {
		if (!isWanted(job)) {
			return;
		}

		const {versionId, fencingNumber} = job.assignment;
		ready = null;
		const outcome = await orderLoad(endpointAddress, {versionId, filePath: store.filePath, fencingNumber});
		if (outcome.type === 'fenced') {
			fail(job, 'the engine has seen a later order');
			return;
		}

		if (outcome.type === 'failed') {
			fail(job, outcome.detail);
			return;
		}

		const status = await askEngine(endpointAddress);
		if (status.versionId !== versionId || status.digest !== store.manifest.wholeDigest) {
			fail(job, `the engine holds ${status.versionId ?? 'nothing'} with digest ${status.digest ?? 'none'}`);
			return;
		}

		job.state = 'ready';
		job.detail = '';
		ready = {versionId, digest: store.manifest.wholeDigest};
		logger.event('BP3002', {versionId});
		onReady();
	};

	return {
		readyVersionId: () => ready?.versionId ?? null,
		readyDigest: () => ready?.digest ?? null,
		follow(followed) {
			catalog = followed;
			for (const job of jobs.values()) {
				job.transfer?.changePeers(peersOf(job.assignment.versionId));
			}

			const assignment = followed.hosts[hostId]?.assignment ?? null;
			if (assignment === null || ready?.versionId === assignment.versionId) {
				return;
			}

			const version = followed.versions[assignment.versionId];
			if (version === undefined) {
				return;
			}

			const known = jobs.get(version.manifestId);
			if (known !== undefined) {
				known.assignment = assignment;
				if (known.state === 'ready' || known.transfer?.store.isComplete()) {
					void activate(known);
				}

				return;
			}

			const job: Job = {
				assignment, manifestId: version.manifestId, state: 'fetching', detail: '', transfer: null,
			};
			jobs.set(version.manifestId, job);
			logger.event('BP3001', {versionId: assignment.versionId});
			void start(job);
		},
		hear(parameters) {
			jobs.get(parameters.manifestId)?.transfer?.hear(parameters);
		},
		async readChunk(manifestId, chunk) {
			const store = jobs.get(manifestId as ManifestId)?.transfer?.store;
			return store?.has(chunk) ? store.read(chunk) : null;
		},
		statuses: () => [...jobs.values()].map(job => ({
			versionId: versionIdSchema.parse(job.assignment.versionId),
			manifestId: manifestIdSchema.parse(job.manifestId),
			heldChunks: job.transfer?.store.heldChunks().length ?? 0,
			totalChunks: job.transfer?.store.manifest.chunkDigests.length ?? 0,
			originBytes: job.transfer?.counters.originBytes ?? 0,
			peerBytes: job.transfer?.counters.peerBytes ?? 0,
			state: job.state,
			detail: job.state === 'failed' ? job.detail : job.transfer?.counters.lastFailure ?? job.detail,
		})),
		async close() {
			isClosed = true;
			for (const {transfer} of jobs.values()) {
				transfer?.close();
				await transfer?.store.close();
			}
		},
	};
};
