import type {ChunkAnnouncement, TransferStatus} from '@bitternpaddle/protocol';
import {
	adapterIdSchema, requiredAdaptersOf, formatAdapterTag, modelOfVersion, type AdapterId, type AdapterRecord, type Catalog,
} from '@bitternpaddle/state';
import {
	createAdapterTransfers, fleetAdaptersOf, wantedAdaptersOf, type AdapterTransfersOptions,
} from './adapter-transfers.js';
import {
	fetchEngineStatus, sendAdapterOrder, type EngineStatus, type LoadOutcome,
} from './engine-client.js';
import {createSerialExecutor} from './engine-orders.js';
import type {LoadedAdapter} from './run-on-endpoint.js';
import type {LoadedWeights} from './weights.js';

export type AdaptersOptions = Omit<AdapterTransfersOptions, 'onVerified'> & {
	readonly endpointAddress: string;
	/** How often the engine's loaded adapters are checked. @default 1000 */
	readonly engineCheckMs?: number;
	/** The verified base version that is loaded in the engine, or `null`. */
	loaded(): LoadedWeights | null;
	hasLease(): boolean;
	/** The set of ready adapters changed. */
	onReady(): void;
};

/** A request's reference to an adapter, which is not unloaded before `release` is called. */
export type AdapterReference = {readonly adapter: LoadedAdapter; release(): void};

/** Loads and unloads adapters until the engine has those that the configuration assigns in addition to its version. */
export type Adapters = {
	/** Ids of the adapters that are loaded on the engine's current base, sorted. */
	readyIds(): AdapterId[];
	/** `null` unless exactly the adapter and base of this tag are loaded. */
	acquire(tag: string): AdapterReference | null;
	/** Runs `task` once no adapter order is in flight, and sends none until it has finished. */
	runWithoutOrders(task: () => Promise<void>): Promise<void>;
	/** Runs an order that loads a base and leaves no adapter of another base loaded. Call it only within `runWithoutOrders`. */
	runBaseOrder(order: () => Promise<void>): Promise<void>;
	applyCatalog(catalog: Catalog): void;
	handleAnnouncement(parameters: ChunkAnnouncement): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type ConfirmedAdapter = LoadedAdapter & {readonly record: AdapterRecord; readonly baseDigest: string};

/** Adapters by the model name that callers send. */
type WantedAdapters = ReadonlyMap<string, AdapterRecord>;

const nameOf = ({versionId, adapterId}: AdapterRecord): string => `${modelOfVersion(versionId)}/${adapterId}`;

export const createAdapters = (options: AdaptersOptions): Adapters => {
	const {hostId, endpointAddress, engineCheckMs = 1000, loaded, hasLease, onReady, logger} = options;
	const runOrder = createSerialExecutor();
	const referenceCounts = new Map<string, number>();
	let catalog: Catalog | null = null;
	let confirmedAdapters: readonly ConfirmedAdapter[] = [];
	let isClosed = false;

	const transfers = createAdapterTransfers({
		...options,
		onVerified() {
			scheduleReconcile();
		},
	});

	/** Adapters that should be loaded on the engine's current base, which may be older than the assigned version. */
	const wantedAdaptersFor = (base: LoadedWeights): WantedAdapters => new Map(catalog === null
		? []
		: fleetAdaptersOf(catalog, hostId, base.versionId).map(record => [nameOf(record), record]));

	/** A host without an assignment has no fencing number for orders; its engine serves no requests. */
	const canSendOrders = (): boolean => catalog !== null && requiredAdaptersOf(catalog, hostId) !== null;

	const fencingNumber = (): number => (catalog === null ? null : requiredAdaptersOf(catalog, hostId))?.fencingNumber ?? 0;

	const setConfirmedAdapters = (next: readonly ConfirmedAdapter[]): void => {
		const before = confirmedAdapters.map(({tag}) => tag).join(' ');
		for (const adapter of next.filter(({tag}) => !confirmedAdapters.some(earlier => earlier.tag === tag))) {
			logger.event('BP3010', {adapter: adapter.tag});
		}

		confirmedAdapters = next;
		if (confirmedAdapters.map(({tag}) => tag).join(' ') !== before && !isClosed) {
			onReady();
		}
	};

	/** Those of `wanted` that the engine reports as loaded with the digest that was verified on this host. */
	const confirmAdapters = (status: EngineStatus, wanted: WantedAdapters, base: LoadedWeights): ConfirmedAdapter[] => {
		const confirmed: ConfirmedAdapter[] = [];
		for (const [name, record] of [...wanted].toSorted(([a], [b]) => (a < b ? -1 : 1))) {
			const verified = transfers.verified(record.manifestId);
			if (verified !== null && status.adapters.some(adapter => adapter.name === name && adapter.digest === verified.digest)) {
				confirmed.push({
					name, record, digest: verified.digest, baseDigest: base.digest, tag: formatAdapterTag({...record, baseManifestId: verified.baseManifestId}),
				});
			}
		}

		return confirmed;
	};

	const isBaseLoaded = (status: EngineStatus, base: LoadedWeights): boolean => status.versionId === base.versionId && status.digest === base.digest;

	const isBaseUnchanged = (base: LoadedWeights): boolean => {
		const now = loaded();
		return now?.versionId === base.versionId && now.digest === base.digest;
	};

	/** Loads and unloads adapters until the engine has the wanted ones. Call it only as a task of `runOrder`, or within one. */
	const reconcile = async (): Promise<void> => {
		if (isClosed) {
			return;
		}

		const base = loaded();
		if (base === null) {
			setConfirmedAdapters([]);
			return;
		}

		let status = await fetchEngineStatus(endpointAddress);
		if (!isBaseUnchanged(base) || !isBaseLoaded(status, base)) {
			setConfirmedAdapters([]);
			return;
		}

		const before = wantedAdaptersFor(base);
		// Stop new requests to surplus adapters first; each is unloaded once no request uses it.
		setConfirmedAdapters(confirmAdapters(status, before, base));
		const failures = new Map<string, string>();
		let ordered: ReadonlySet<AdapterRecord> = new Set();
		if (hasLease() && canSendOrders()) {
			await unloadSurplus(status, before, failures);
			ordered = await loadMissing(status, before, base, failures);
			status = await fetchEngineStatus(endpointAddress);
		}

		const wanted = wantedAdaptersFor(base);
		const isOnBase = isBaseUnchanged(base) && isBaseLoaded(status, base);
		setConfirmedAdapters(isOnBase ? confirmAdapters(status, wanted, base) : []);
		for (const [name, record] of wanted) {
			const {manifestId} = record;
			const isReady = confirmedAdapters.some(adapter => adapter.name === name);
			transfers.updateState(manifestId, isReady, failures.get(name) ?? '');
			if (isOnBase && !isReady && ordered.has(record)) {
				transfers.verifyAgain(manifestId, failures.get(name) ?? 'the engine does not hold the adapter that was verified');
			}
		}
	};

	const unloadSurplus = async (status: EngineStatus, wanted: WantedAdapters, failures: Map<string, string>): Promise<void> => {
		for (const {name, digest} of status.adapters) {
			const record = wanted.get(name);
			const verified = record === undefined ? null : transfers.verified(record.manifestId);
			// While the right digest is not known here, a wanted adapter may stay loaded, but receives no requests.
			const isSurplus = record === undefined || (verified !== null && verified.digest !== digest);
			if (isSurplus && !referenceCounts.has(name) && hasLease()) {
				await sendOrder({type: 'unload', name, fencingNumber: fencingNumber()}, failures);
			}
		}
	};

	/** Returns the adapters whose orders the engine answered, and did not refuse as outdated. */
	const loadMissing = async (status: EngineStatus, wanted: WantedAdapters, base: LoadedWeights, failures: Map<string, string>): Promise<ReadonlySet<AdapterRecord>> => {
		const ordered = new Set<AdapterRecord>();
		for (const [name, record] of wanted) {
			const verified = transfers.verified(record.manifestId);
			const isAlreadyLoaded = status.adapters.some(adapter => adapter.name === name && adapter.digest === verified?.digest);
			// No order is sent once the lease has expired or the base has changed: engines that ignore fencing numbers accept orders from any agent.
			// Requests that run on an adapter loaded under the same name finish first.
			const isInUse = referenceCounts.has(name) && status.adapters.some(adapter => adapter.name === name);
			if (verified !== null && !isAlreadyLoaded && !isInUse && hasLease() && isBaseUnchanged(base) && wantedAdaptersFor(base).get(name) === record) {
				const outcome = await sendOrder({
					type: 'load', name, versionId: base.versionId, baseDigest: base.digest, filePath: verified.filePath, fencingNumber: fencingNumber(),
				}, failures);
				if (outcome.type !== 'fenced') {
					ordered.add(record);
				}
			}
		}

		return ordered;
	};

	const sendOrder = async (order: Parameters<typeof sendAdapterOrder>[1], failures: Map<string, string>): Promise<LoadOutcome> => {
		const outcome = await sendAdapterOrder(endpointAddress, order);
		if (outcome.type !== 'loaded') {
			const detail = outcome.type === 'fenced' ? 'the engine has received a newer order' : outcome.detail;
			failures.set(order.name, detail);
			logger.event('BP3009', {adapter: order.name, order: order.type, detail});
		}

		return outcome;
	};

	const scheduleReconcile = (): void => {
		// The base's engine watch reports an engine that does not respond; the next check retries.
		runOrder(reconcile).catch(() => undefined);
	};

	/** Unloads all adapters of the current base before another base is loaded. */
	const unloadAll = async (): Promise<void> => {
		const {adapters} = await fetchEngineStatus(endpointAddress);
		for (const {name} of adapters) {
			if (!hasLease()) {
				throw new Error('the lease expired before the adapters of the earlier base were unloaded');
			}

			const outcome = await sendAdapterOrder(endpointAddress, {type: 'unload', name, fencingNumber: fencingNumber()});
			if (outcome.type !== 'loaded') {
				throw new Error(`adapter ${name} could not be unloaded before the base changes: ${outcome.type === 'fenced' ? 'the engine has received a newer order' : outcome.detail}`);
			}
		}
	};

	const isBaseChanging = (status: EngineStatus): boolean => status.versionId !== (catalog?.hosts[hostId]?.assignment?.versionId ?? null);

	const isActive = (): boolean => catalog !== null && (confirmedAdapters.length > 0 || transfers.statuses().length > 0 || referenceCounts.size > 0);

	let isChecking = false;
	const timer = setInterval(() => {
		if (!isActive() || isChecking) {
			return;
		}

		isChecking = true;
		runOrder(reconcile).catch(() => undefined).finally(() => {
			isChecking = false;
		});
	}, engineCheckMs);

	/** Takes effect immediately: requests are no longer accepted for an adapter that the configuration no longer assigns to this host. */
	const removeUnwanted = (): void => {
		const base = loaded();
		const wanted: WantedAdapters = base === null ? new Map() : wantedAdaptersFor(base);
		setConfirmedAdapters(confirmedAdapters.filter(({name, record}) => wanted.get(name)?.manifestId === record.manifestId));
	};

	return {
		readyIds() {
			const base = loaded();
			return confirmedAdapters
				.filter(({record, baseDigest}) => record.versionId === base?.versionId && baseDigest === base.digest)
				.map(({record}) => adapterIdSchema.parse(record.adapterId));
		},
		acquire(tag) {
			const adapter = confirmedAdapters.find(candidate => candidate.tag === tag);
			if (adapter === undefined || adapter.baseDigest !== loaded()?.digest) {
				return null;
			}

			const {name} = adapter;
			referenceCounts.set(name, (referenceCounts.get(name) ?? 0) + 1);
			return {
				adapter,
				release() {
					const remaining = referenceCounts.get(name)! - 1;
					if (remaining > 0) {
						referenceCounts.set(name, remaining);
						return;
					}

					referenceCounts.delete(name);
					if (!confirmedAdapters.includes(adapter)) {
						scheduleReconcile();
					}
				},
			};
		},
		runWithoutOrders: async task => runOrder(task),
		async runBaseOrder(order) {
			if (hasLease() && isBaseChanging(await fetchEngineStatus(endpointAddress))) {
				setConfirmedAdapters([]);
				await unloadAll();
			}

			await order();
			// Within the same task as the base, so that its adapters are loaded before its first request arrives.
			await reconcile();
		},
		applyCatalog(nextCatalog) {
			catalog = nextCatalog;
			const base = loaded();
			const retained = base === null ? [] : fleetAdaptersOf(nextCatalog, hostId, base.versionId);
			transfers.applyCatalog(nextCatalog, wantedAdaptersOf(nextCatalog, hostId), retained);
			if (isActive()) {
				removeUnwanted();
				scheduleReconcile();
			}
		},
		handleAnnouncement: transfers.handleAnnouncement,
		readChunk: transfers.readChunk,
		statuses: transfers.statuses,
		async close() {
			isClosed = true;
			clearInterval(timer);
			await transfers.close();
		},
	};
};
