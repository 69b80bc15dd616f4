import type {Clock} from '@bitternpaddle/coordination';
import {callRpc, type Logger} from '@bitternpaddle/transport';
import {createHeldRoster} from './held-roster.js';
import {
	configurationResultSchema, watchResultSchema, type ConfigurationDocument, type Follower, type RequestReport, type WatchResult,
} from './methods.js';

export type CoreClientOptions = {
	readonly self: Follower;
	/** Initial core hosts; read at each synchronization, since the settings may change. */
	seeds(): readonly string[];
	readonly clock: Clock;
	readonly logger: Logger;
	/** Maximum duration of a long poll without updates. @default 700 */
	readonly waitMs?: number;
	/** Number of the configuration that this process holds; -1 for none. */
	configurationNumber(): number;
	/** Revision of the evacuations that this process holds; -1 for none. @default the process does not use them */
	evacuationRevision?(): number;
	/** Requests that this entry has received. @default the process is no entry */
	requestReport?(): RequestReport;
	/** Whether the results list announcements of endpoints. @default true */
	readonly wantsAnnouncements?: boolean;
	/** Whether to fetch a newer configuration that a core host announced. */
	wantsConfiguration(): boolean;
	onConfiguration(document: ConfigurationDocument): void;
	/** `requestedAtMs`: when the poll was sent, by `clock`. */
	onResult(result: WatchResult, requestedAtMs: number): void;
};

export type CoreClient = {
	/** Core hosts that are currently polled. */
	addresses(): string[];
	/** Core hosts that answered recently, the latest first. */
	liveAddresses(): string[];
	/** Availability zone of a core host; empty while it has not answered. */
	zoneOf(address: string): string;
	/** Polls all core hosts again at once, without waiting for updates. */
	refresh(): void;
	close(): void;
};

type CoreConnection = {
	epoch: string;
	position: number;
	rosterHash: string;
	versionsHash: string;
	zoneId: string;
	/** Number of the newest configuration that this core host announced. */
	announcedNumber: number;
	answeredAtMs: number;
	isConnected: boolean;
	/** Start of the current uninterrupted connection. */
	connectedAtMs: number;
	failures: number;
	/** The open poll was aborted so that a new one can start. */
	isRefreshing: boolean;
	abort: AbortController;
};

/** Allowance beyond the long-poll duration: an inter-region round trip and a busy core host. */
const answerSlackMs = 500;
const initialRetryMs = 100;
const maxRetryMs = 800;
/** A core host that is in neither the seeds nor the roster and has not answered for this long is no longer polled. */
const forgetAfterMs = 15_000;
/** Time beyond the long-poll duration within which a core host counts as live after its last answer. */
const liveSlackMs = 1800;
/** Time in which a core host that has just started learns of all its followers; entries poll every second and retry within one. */
const rosterWarmupMs = 3000;
const syncIntervalMs = 200;
/** Maximum lag of the core host in this process's zone behind the first one to announce a change; traffic within the zone is free. */
const sameZoneWaitMs = 20;
const fetchTimeoutMs = 800;

const pause = async (waitMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, waitMs);
});

const createConnection = (nowMs: number): CoreConnection => ({
	epoch: '', position: 0, rosterHash: '', versionsHash: '', zoneId: '', announcedNumber: -1, answeredAtMs: nowMs, isConnected: false, connectedAtMs: nowMs, failures: 0, isRefreshing: false,
	abort: new AbortController(),
});

/**
 * Follows all core hosts concurrently, each by a long poll that is answered when there
 * is an update. An update at any of them thus arrives here after one network latency,
 * and the loss of any of them causes no delay. Configurations are large, so they are
 * fetched from a single core host, the nearest.
 */
export const createCoreClient = (options: CoreClientOptions): CoreClient => {
	const {
		self, seeds, clock, logger, waitMs = 700, wantsAnnouncements = true, configurationNumber, evacuationRevision, requestReport, wantsConfiguration, onConfiguration, onResult,
	} = options;
	const connections = new Map<string, CoreConnection>();
	let rosterAddresses: readonly string[] = [];
	let isClosed = false;
	let isFetching = false;
	/** The core host that sent the current roster. */
	let heldRosterAddress = '';
	const heldRoster = createHeldRoster();

	const poll = async (address: string, connection: CoreConnection): Promise<void> => {
		const requestedAtMs = clock.nowMs();
		const isFirst = connection.epoch === '';
		const pollWaitMs = isFirst || connection.isRefreshing ? 0 : waitMs;
		connection.isRefreshing = false;
		const response = await callRpc<unknown>({
			isCompressed: true, address, method: 'gateway.watch', timeoutMs: pollWaitMs + answerSlackMs, signal: connection.abort.signal,
			params: {
				follower: self, epoch: connection.epoch, position: wantsAnnouncements ? connection.position : Number.MAX_SAFE_INTEGER,
				rosterHash: !isFirst && address === rosterSource() ? heldRosterHash(address, connection) : null,
				versionsHash: connection.versionsHash, waitMs: pollWaitMs,
				configurationNumber: Math.max(connection.announcedNumber, configurationNumber()),
				evacuationRevision: evacuationRevision?.() ?? null,
				requestReport: requestReport?.() ?? null,
			},
		});
		const result = watchResultSchema.parse(response);
		connection.epoch = result.epoch;
		connection.position = result.position;
		connection.rosterHash = result.roster?.hash ?? connection.rosterHash;
		connection.versionsHash = result.versionsHash;
		connection.zoneId = result.zoneId;
		connection.announcedNumber = result.configurationNumber;
		connection.answeredAtMs = clock.nowMs();
		if (result.roster !== null) {
			rosterAddresses = result.roster.coreAddresses;
			heldRosterAddress = address;
		}

		const isWarmedUp = connection.isConnected && hasWarmedUp(connection);
		onResult({...result, roster: heldRoster.receive({address, roster: result.roster, isWarmedUp})}, requestedAtMs);
		if (result.configurationNumber > configurationNumber() && wantsConfiguration()) {
			void fetchConfiguration(address);
		}
	};

	const nearestOf = (announcer: string): string => {
		const wanted = connections.get(announcer)?.announcedNumber ?? 0;
		const sameZoneCore = [...connections].find(([, connection]) => connection.isConnected && connection.zoneId === self.zoneId && connection.announcedNumber >= wanted);
		return sameZoneCore?.[0] ?? announcer;
	};

	const fetchConfiguration = async (announcer: string): Promise<void> => {
		if (isFetching) {
			return;
		}

		isFetching = true;
		try {
			if (connections.get(announcer)?.zoneId !== self.zoneId && configurationNumber() !== -1) {
				await pause(sameZoneWaitMs);
			}

			const response = await callRpc<unknown>({
				address: nearestOf(announcer), method: 'gateway.configuration', params: {}, isCompressed: true, timeoutMs: fetchTimeoutMs,
			});
			const document = configurationResultSchema.parse(response);
			if (document !== null && !isClosed) {
				onConfiguration(document);
			}
		} catch (error) {
			logger.event('BP4002', {core: announcer, reason: (error as Error).message});
		} finally {
			isFetching = false;
		}

		const newest = [...connections].find(([, connection]) => connection.isConnected && connection.announcedNumber > configurationNumber());
		if (newest !== undefined && !isClosed && wantsConfiguration()) {
			await pause(sameZoneWaitMs);
			void fetchConfiguration(newest[0]);
		}
	};

	const hasWarmedUp = ({connectedAtMs}: CoreConnection): boolean => clock.nowMs() - connectedAtMs >= rosterWarmupMs;

	/**
	 * The single core host, the nearest, whose rosters are used. Each core host builds its
	 * own roster, and with five sources a fleet of hundreds would read five long rosters
	 * for each host that joins or leaves. A core host that has just started knows hardly
	 * any followers yet: an agent that used its roster would send its reports to no entry
	 * for a second. Other core hosts are therefore preferred, if there are any.
	 */
	const rosterSource = (): string | undefined => {
		const connected = [...connections].filter(([, connection]) => connection.isConnected);
		const warmedUp = connected.filter(([, connection]) => hasWarmedUp(connection));
		const usable = warmedUp.length > 0 ? warmedUp : connected;
		const sameZoneSource = usable.find(([, connection]) => connection.zoneId === self.zoneId);
		return (sameZoneSource ?? usable[0])?.[0];
	};

	/** Empty if the current roster is from another core host: this one's roster may differ even if it has not changed. */
	const heldRosterHash = (address: string, connection: CoreConnection): string => address === heldRosterAddress ? connection.rosterHash : '';

	const isFollowed = (address: string, connection: CoreConnection): boolean => !isClosed && connections.get(address) === connection;

	const follow = async (address: string, connection: CoreConnection): Promise<void> => {
		while (isFollowed(address, connection)) {
			try {
				await poll(address, connection);
				recordConnected(address, connection);
			} catch (error) {
				if (connection.isRefreshing) {
					continue;
				}

				recordFailure(address, connection, error as Error);
				await pause(Math.min(maxRetryMs, initialRetryMs * (2 ** Math.min(connection.failures - 1, 4))));
			}
		}
	};

	const recordConnected = (address: string, connection: CoreConnection): void => {
		if (!connection.isConnected) {
			logger.event('BP4001', {core: address});
			connection.connectedAtMs = clock.nowMs();
		}

		connection.isConnected = true;
		connection.failures = 0;
	};

	const recordFailure = (address: string, connection: CoreConnection, error: Error): void => {
		if (isClosed) {
			return;
		}

		connection.failures++;
		const wasSource = address === rosterSource();
		if (connection.isConnected) {
			logger.event('BP4002', {core: address, reason: error.message});
		}

		connection.isConnected = false;
		const next = rosterSource();
		if (wasSource && next !== undefined) {
			// The open poll of the new source did not request rosters.
			restartPoll(connections.get(next)!);
		}
	};

	const restartPoll = (connection: CoreConnection): void => {
		if (!connection.isRefreshing) {
			connection.isRefreshing = true;
			connection.abort.abort();
			connection.abort = new AbortController();
		}
	};

	const syncConnections = (): void => {
		const nowMs = clock.nowMs();
		const wanted = new Set([...seeds(), ...rosterAddresses].filter(address => address !== self.address));
		for (const address of wanted) {
			if (!connections.has(address)) {
				const connection = createConnection(nowMs);
				connections.set(address, connection);
				void follow(address, connection);
			}
		}

		for (const [address, connection] of connections) {
			if (!wanted.has(address) && nowMs - connection.answeredAtMs > forgetAfterMs) {
				connections.delete(address);
			}
		}
	};

	syncConnections();
	const timer = setInterval(syncConnections, syncIntervalMs);
	return {
		addresses: () => [...connections.keys()],
		liveAddresses() {
			const nowMs = clock.nowMs();
			return [...connections]
				.filter(([, connection]) => connection.isConnected && nowMs - connection.answeredAtMs < waitMs + liveSlackMs)
				.toSorted(([, a], [, b]) => b.answeredAtMs - a.answeredAtMs)
				.map(([address]) => address);
		},
		zoneOf: address => connections.get(address)?.zoneId ?? '',
		refresh() {
			for (const connection of connections.values()) {
				restartPoll(connection);
			}
		},
		close() {
			isClosed = true;
			clearInterval(timer);
			for (const connection of connections.values()) {
				connection.abort.abort();
			}
		},
	};
};
