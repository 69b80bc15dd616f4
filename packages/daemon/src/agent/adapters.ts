import type {HaveParameters, TransferStatus} from '@bitternpaddle/protocol';
import {
	adapterIdSchema, adapterOrderOf, formatAdapterTag, modelOfVersion, type AdapterId, type AdapterRecord, type Catalog,
} from '@bitternpaddle/state';
import {
	createAdapterTransfers, fleetAdaptersOf, wantedAdaptersOf, type AdapterTransfersOptions,
} from './adapter-transfers.js';
import {askEngine, orderAdapter, type EngineStatus} from './engine-client.js';
import {createSerial} from './engine-orders.js';
import type {LoadedAdapter} from './run-on-endpoint.js';
import type {LoadedWeights} from './weights.js';

export type AdaptersOptions = Omit<AdapterTransfersOptions, 'onVerified'> & {
	readonly endpointAddress: string;
	/** How often the engine is asked what it holds. @default 1000 */
	readonly engineCheckMs?: number;
	/** What the engine holds as its base, as far as verified. */
	loaded(): LoadedWeights | null;
	hasLease(): boolean;
	/** The adapters that are ready changed. */
	onReady(): void;
};

/** A request's hold on an adapter: it is not unloaded before `leave`. */
export type AdapterUse = {readonly adapter: LoadedAdapter; leave(): void};

/** Brings this host's engine to the adapters that the configuration wants beside its version. */
export type Adapters = {
	/** Names of those that the engine holds beside its present base, sorted. */
	readyIds(): AdapterId[];
	/** `null` unless exactly the adapter and base of this tag are held. */
	enter(tag: string): AdapterUse | null;
	/** Runs `task` once no order about adapters is on its way, and gives none until it is over. */
	holdOrders(task: () => Promise<void>): Promise<void>;
	/** Runs an order about the base so that no adapter of another base is left; only within `holdOrders`. */
	aroundBaseOrder(order: () => Promise<void>): Promise<void>;
	follow(catalog: Catalog): void;
	hear(parameters: HaveParameters): void;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
	statuses(): TransferStatus[];
	close(): Promise<void>;
};

type HeldAdapter = LoadedAdapter & {readonly record: AdapterRecord; readonly baseDigest: string};

/** Adapters by the name that callers give. */
type Wanted = ReadonlyMap<string, AdapterRecord>;

const nameOf = ({versionId, adapterId}: AdapterRecord): string => `${modelOfVersion(versionId)}/${adapterId}`;

export const createAdapters = (options: AdaptersOptions): Adapters => {
	const {hostId, endpointAddress, engineCheckMs = 1000, loaded, hasLease, onReady, logger} = options;
	const runOrder = createSerial();
	const uses = new Map<string, number>();
	let catalog: Catalog | null = null;
	let held: readonly HeldAdapter[] = [];
	let isClosed = false;

	const transfers = createAdapterTransfers({
		...options,
		onVerified() {
			reconcileSoon();
		},
	});

	/** What the engine should hold beside the base that it has, which may be an earlier one than the assigned. */
	const wantedFor = (base: LoadedWeights): Wanted => new Map(catalog === null
		? []
		: fleetAdaptersOf(catalog, hostId, base.versionId).map(record => [nameOf(record), record]));

	/** A host without an assignment has no number to order under; its engine serves nobody. */
	const mayOrder = (): boolean => catalog !== null && adapterOrderOf(catalog, hostId) !== null;

	const fencingNumber = (): number => (catalog === null ? null : adapterOrderOf(catalog, hostId))?.fencingNumber ?? 0;

	const setHeld = (next: readonly HeldAdapter[]): void => {
		const before = held.map(({tag}) => tag).join(' ');
		for (const adapter of next.filter(({tag}) => !held.some(earlier => earlier.tag === tag))) {
			logger.event('BP3010', {adapter: adapter.tag});
		}

		held = next;
		if (held.map(({tag}) => tag).join(' ') !== before && !isClosed) {
			onReady();
		}
	};

	/** Those of `wanted` that the engine says it holds, with the digest of what was verified here. */
	const confirmedIn = (status: EngineStatus, wanted: Wanted, base: LoadedWeights): HeldAdapter[] => {
		const confirmed: HeldAdapter[] = [];
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

	const isOnBase = (status: EngineStatus, base: LoadedWeights): boolean => status.versionId === base.versionId && status.digest === base.digest;

	const isBaseStill = (base: LoadedWeights): boolean => {
		const now = loaded();
		return now?.versionId === base.versionId && now.digest === base.digest;
	};

	/** Brings the engine to the wanted adapters. Call it only as an order of its own, or within one. */
	const reconcile = async (): Promise<void> => {
		if (isClosed) {
			return;
		}

		const base = loaded();
		if (base === null) {
			setHeld([]);
			return;
		}

		let status = await askEngine(endpointAddress);
		if (!isBaseStill(base) || !isOnBase(status, base)) {
			setHeld([]);
			return;
		}

		const before = wantedFor(base);
		// First no new request enters what is to go; then, once none runs on it, it goes.
		setHeld(confirmedIn(status, before, base));
		const failures = new Map<string, string>();
		if (hasLease() && mayOrder()) {
			await unloadSurplus(status, before, failures);
			await loadMissing(status, before, base, failures);
			status = await askEngine(endpointAddress);
		}

		const wanted = wantedFor(base);
		setHeld(isBaseStill(base) && isOnBase(status, base) ? confirmedIn(status, wanted, base) : []);
		for (const [name, {manifestId}] of wanted) {
			transfers.noteState(manifestId, held.some(adapter => adapter.name === name), failures.get(name) ?? '');
		}
	};

	const unloadSurplus = async (status: EngineStatus, wanted: Wanted, failures: Map<string, string>): Promise<void> => {
		for (const {name, digest} of status.adapters) {
			const record = wanted.get(name);
			const verified = record === undefined ? null : transfers.verified(record.manifestId);
			// While this agent does not know the right digest yet, a wanted one may stay; no request enters it.
			const isSurplus = record === undefined || (verified !== null && verified.digest !== digest);
			if (isSurplus && !uses.has(name)) {
				await give({type: 'unload', name, fencingNumber: fencingNumber()}, failures);
			}
		}
	};

	const loadMissing = async (status: EngineStatus, wanted: Wanted, base: LoadedWeights, failures: Map<string, string>): Promise<void> => {
		for (const [name, record] of wanted) {
			const verified = transfers.verified(record.manifestId);
			const isThere = status.adapters.some(adapter => adapter.name === name && adapter.digest === verified?.digest);
			// A lease or a base that ended meanwhile ends the orders too: engines that ignore fencing numbers obey everybody.
			// Runs on what the engine holds under the same name end first.
			const isInUse = uses.has(name) && status.adapters.some(adapter => adapter.name === name);
			if (verified !== null && !isThere && !isInUse && hasLease() && isBaseStill(base) && wantedFor(base).get(name) === record) {
				await give({
					type: 'load', name, versionId: base.versionId, baseDigest: base.digest, filePath: verified.filePath, fencingNumber: fencingNumber(),
				}, failures);
			}
		}
	};

	const give = async (order: Parameters<typeof orderAdapter>[1], failures: Map<string, string>): Promise<void> => {
		const outcome = await orderAdapter(endpointAddress, order);
		if (outcome.type !== 'loaded') {
			const detail = outcome.type === 'fenced' ? 'the engine has seen a later order' : outcome.detail;
			failures.set(order.name, detail);
			logger.event('BP3009', {adapter: order.name, order: order.type, detail});
		}
	};

	const reconcileSoon = (): void => {
		// An engine that does not answer is the base's matter; the next look tries again.
		runOrder(reconcile).catch(() => undefined);
	};

	/** Before another base comes, the engine gives up what stands on the present one. */
	const unloadAll = async (): Promise<void> => {
		const {adapters} = await askEngine(endpointAddress);
		for (const {name} of adapters) {
			const outcome = await orderAdapter(endpointAddress, {type: 'unload', name, fencingNumber: fencingNumber()});
			if (outcome.type !== 'loaded') {
				throw new Error(`adapter ${name} could not be unloaded before the base changes: ${outcome.type === 'fenced' ? 'the engine has seen a later order' : outcome.detail}`);
			}
		}
	};

	const isBaseChanging = (status: EngineStatus): boolean => status.versionId !== (catalog?.hosts[hostId]?.assignment?.versionId ?? null);

	const isActive = (): boolean => catalog !== null && (held.length > 0 || transfers.statuses().length > 0 || uses.size > 0);

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

	/** At once: no request enters an adapter that the configuration no longer wants here. */
	const dropUnwanted = (): void => {
		const base = loaded();
		const wanted: Wanted = base === null ? new Map() : wantedFor(base);
		setHeld(held.filter(({name, record}) => wanted.get(name)?.manifestId === record.manifestId));
	};

	return {
		readyIds() {
			const base = loaded();
			return held
				.filter(({record, baseDigest}) => record.versionId === base?.versionId && baseDigest === base.digest)
				.map(({record}) => adapterIdSchema.parse(record.adapterId));
		},
		enter(tag) {
			const adapter = held.find(candidate => candidate.tag === tag);
			if (adapter === undefined || adapter.baseDigest !== loaded()?.digest) {
				return null;
			}

			const {name} = adapter;
			uses.set(name, (uses.get(name) ?? 0) + 1);
			return {
				adapter,
				leave() {
					const left = uses.get(name)! - 1;
					if (left > 0) {
						uses.set(name, left);
						return;
					}

					uses.delete(name);
					if (!held.includes(adapter)) {
						reconcileSoon();
					}
				},
			};
		},
		holdOrders: async task => runOrder(task),
		async aroundBaseOrder(order) {
			if (hasLease() && isBaseChanging(await askEngine(endpointAddress))) {
				setHeld([]);
				await unloadAll();
			}

			await order();
			// Together with the base, so that its adapters are there when its first request comes.
			await reconcile();
		},
		follow(followed) {
			catalog = followed;
			const base = loaded();
			const kept = base === null ? [] : fleetAdaptersOf(followed, hostId, base.versionId);
			transfers.follow(followed, wantedAdaptersOf(followed, hostId), kept);
			if (isActive()) {
				dropUnwanted();
				reconcileSoon();
			}
		},
		hear: transfers.hear,
		readChunk: transfers.readChunk,
		statuses: transfers.statuses,
		async close() {
			isClosed = true;
			clearInterval(timer);
			await transfers.close();
		},
	};
};
