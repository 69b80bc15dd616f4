import type {Clock} from '@bitternpaddle/coordination';
import {callRpc, type Logger} from '@bitternpaddle/transport';
import {
	configurationResultSchema, watchResultSchema, type ConfigurationDocument, type Follower, type WatchResult,
} from './methods.js';

export type CoreClientOptions = {
	readonly self: Follower;
	/** Core hosts to begin with; read at each round, since the settings may change. */
	seeds(): readonly string[];
	readonly clock: Clock;
	readonly logger: Logger;
	/** How long a core host may keep a question open without news. @default 700 */
	readonly waitMs?: number;
	/** Number of the configuration that is held; -1 for none. */
	configurationNumber(): number;
	/** Whether a newer configuration, of which a core host told, is to be fetched now. */
	wantsConfiguration(): boolean;
	onConfiguration(document: ConfigurationDocument): void;
	/** `askedAtMs`: when the question left, by the clock. */
	onResult(result: WatchResult, askedAtMs: number): void;
};

export type CoreClient = {
	/** Core hosts that are asked at present. */
	addresses(): string[];
	/** Those that answered within the last moments, the latest first. */
	liveAddresses(): string[];
	/** Asks all again at once, without waiting for news. */
	refresh(): void;
	close(): void;
};

type Lane = {
	epoch: string;
	position: number;
	rosterHash: string;
	versionsHash: string;
	zoneId: string;
	/** Number of the newest configuration that this core host told of. */
	toldNumber: number;
	answeredAtMs: number;
	isConnected: boolean;
	/** Since when it has been connected without a break. */
	connectedAtMs: number;
	failures: number;
	/** The question that is open was cut short to ask anew. */
	isRefreshing: boolean;
	abort: AbortController;
};

/** Behind the time that the other side may wait: two crossings between regions, and a busy core host. */
const answerSlackMs = 500;
const retryMs = 100;
const longestRetryMs = 800;
/** A core host that is in no list any more and has not answered for this long is asked no more. */
const forgetAfterMs = 15_000;
/** Behind the time that a question may stay open. */
const liveSlackMs = 1800;
/** A core host that has just started hears of all who follow it within this; entries ask every second, and retry within one. */
const settleMs = 3000;
const lookMs = 200;
/** A core host of the own zone hears of a change this much later than the first at most; its bytes cost nothing. */
const nearWaitMs = 20;
const fetchTimeoutMs = 800;

const pause = async (waitMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, waitMs);
});

const createLane = (nowMs: number): Lane => ({
	epoch: '', position: 0, rosterHash: '', versionsHash: '', zoneId: '', toldNumber: -1, answeredAtMs: nowMs, isConnected: false, connectedAtMs: nowMs, failures: 0, isRefreshing: false,
	abort: new AbortController(),
});

/**
 * Follows every core host at once, each by a question that it keeps open until
 * there is news. So what one of them hears, or decides, is known here after one
 * crossing, and the loss of any of them delays nothing. A configuration, which
 * is large, is fetched from one of them, the nearest.
 */
export const createCoreClient = (options: CoreClientOptions): CoreClient => {
	const {self, seeds, clock, logger, waitMs = 700, configurationNumber, wantsConfiguration, onConfiguration, onResult} = options;
	const lanes = new Map<string, Lane>();
	let named: readonly string[] = [];
	let isClosed = false;
	let isFetching = false;
	/** The core host whose roster is held. */
	let rosterFrom = '';

	const ask = async (address: string, lane: Lane): Promise<void> => {
		const askedAtMs = clock.nowMs();
		const isFirst = lane.epoch === '';
		const askedMs = isFirst || lane.isRefreshing ? 0 : waitMs;
		lane.isRefreshing = false;
		const answer = await callRpc<unknown>({
			isPacked: true, address, method: 'gateway.watch', timeoutMs: askedMs + answerSlackMs, signal: lane.abort.signal,
			params: {
				follower: self, epoch: lane.epoch, position: lane.position, rosterHash: !isFirst && address === rosterSource() ? heldRosterHash(address, lane) : null,
				versionsHash: lane.versionsHash, waitMs: askedMs,
				configurationNumber: Math.max(lane.toldNumber, configurationNumber()),
			},
		});
		const result = watchResultSchema.parse(answer);
		lane.epoch = result.epoch;
		lane.position = result.position;
		lane.rosterHash = result.roster?.hash ?? lane.rosterHash;
		lane.versionsHash = result.versionsHash;
		lane.zoneId = result.zoneId;
		lane.toldNumber = result.configurationNumber;
		lane.answeredAtMs = clock.nowMs();
		if (result.roster !== null) {
			named = result.roster.coreAddresses;
			rosterFrom = address;
		}

		onResult(result, askedAtMs);
		if (result.configurationNumber > configurationNumber() && wantsConfiguration()) {
			void fetchConfiguration(address);
		}
	};

	const nearestOf = (told: string): string => {
		const wanted = lanes.get(told)?.toldNumber ?? 0;
		const near = [...lanes].find(([, lane]) => lane.isConnected && lane.zoneId === self.zoneId && lane.toldNumber >= wanted);
		return near?.[0] ?? told;
	};

	const fetchConfiguration = async (told: string): Promise<void> => {
		if (isFetching) {
			return;
		}

		isFetching = true;
		try {
			if (lanes.get(told)?.zoneId !== self.zoneId && configurationNumber() !== -1) {
				await pause(nearWaitMs);
			}

			const answer = await callRpc<unknown>({
				address: nearestOf(told), method: 'gateway.configuration', params: {}, isPacked: true, timeoutMs: fetchTimeoutMs,
			});
			const document = configurationResultSchema.parse(answer);
			if (document !== null && !isClosed) {
				onConfiguration(document);
			}
		} catch (error) {
			logger.event('BP4002', {core: told, reason: (error as Error).message});
		} finally {
			isFetching = false;
		}

		const newest = [...lanes].find(([, lane]) => lane.isConnected && lane.toldNumber > configurationNumber());
		if (newest !== undefined && !isClosed && wantsConfiguration()) {
			await pause(nearWaitMs);
			void fetchConfiguration(newest[0]);
		}
	};

	/**
	 * The one core host that rosters are taken from, the nearest: each of them makes a
	 * roster of its own, and taken from five a fleet of hundreds would read five long ones
	 * at each host that comes or goes. One that has just started knows hardly anybody yet:
	 * an agent that believed it would send its reports to no entry for a second. So others
	 * go before it, if there are any.
	 */
	const rosterSource = (): string | undefined => {
		const nowMs = clock.nowMs();
		const connected = [...lanes].filter(([, lane]) => lane.isConnected);
		const settled = connected.filter(([, lane]) => nowMs - lane.connectedAtMs >= settleMs);
		const usable = settled.length > 0 ? settled : connected;
		const near = usable.find(([, lane]) => lane.zoneId === self.zoneId);
		return (near ?? usable[0])?.[0];
	};

	/** Empty where the roster of another core host is held: this one's may differ, though it has not changed. */
	const heldRosterHash = (address: string, lane: Lane): string => address === rosterFrom ? lane.rosterHash : '';

	const isFollowed = (address: string, lane: Lane): boolean => !isClosed && lanes.get(address) === lane;

	const follow = async (address: string, lane: Lane): Promise<void> => {
		while (isFollowed(address, lane)) {
			try {
				await ask(address, lane);
				noteConnected(address, lane);
			} catch (error) {
				if (lane.isRefreshing) {
					continue;
				}

				noteFailed(address, lane, error as Error);
				await pause(Math.min(longestRetryMs, retryMs * (2 ** Math.min(lane.failures - 1, 4))));
			}
		}
	};

	const noteConnected = (address: string, lane: Lane): void => {
		if (!lane.isConnected) {
			logger.event('BP4001', {core: address});
			lane.connectedAtMs = clock.nowMs();
		}

		lane.isConnected = true;
		lane.failures = 0;
	};

	const noteFailed = (address: string, lane: Lane, error: Error): void => {
		if (isClosed) {
			return;
		}

		lane.failures++;
		const wasSource = address === rosterSource();
		if (lane.isConnected) {
			logger.event('BP4002', {core: address, reason: error.message});
		}

		lane.isConnected = false;
		const next = rosterSource();
		if (wasSource && next !== undefined) {
			// Its question is open without a wish for rosters.
			askAnew(lanes.get(next)!);
		}
	};

	const askAnew = (lane: Lane): void => {
		if (!lane.isRefreshing) {
			lane.isRefreshing = true;
			lane.abort.abort();
			lane.abort = new AbortController();
		}
	};

	const look = (): void => {
		const nowMs = clock.nowMs();
		const wanted = new Set([...seeds(), ...named].filter(address => address !== self.address));
		for (const address of wanted) {
			if (!lanes.has(address)) {
				const lane = createLane(nowMs);
				lanes.set(address, lane);
				void follow(address, lane);
			}
		}

		for (const [address, lane] of lanes) {
			if (!wanted.has(address) && nowMs - lane.answeredAtMs > forgetAfterMs) {
				lanes.delete(address);
			}
		}
	};

	look();
	const timer = setInterval(look, lookMs);
	return {
		addresses: () => [...lanes.keys()],
		liveAddresses() {
			const nowMs = clock.nowMs();
			return [...lanes]
				.filter(([, lane]) => lane.isConnected && nowMs - lane.answeredAtMs < waitMs + liveSlackMs)
				.toSorted(([, a], [, b]) => b.answeredAtMs - a.answeredAtMs)
				.map(([address]) => address);
		},
		refresh() {
			for (const lane of lanes.values()) {
				askAnew(lane);
			}
		},
		close() {
			isClosed = true;
			clearInterval(timer);
			for (const lane of lanes.values()) {
				lane.abort.abort();
			}
		},
	};
};
