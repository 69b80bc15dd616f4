import {setTimeout as delay} from 'node:timers/promises';
import {
	compareWithPeer, createHostConfiguration, discardCopy, hasConfigurationLease, leaseLeftMs, leaseTimes, takeWatchResult, watchCallTimes,
	type HostConfiguration, type HostTime, type PeerComparison, type WatchCallTimes,
} from '@bitternpaddle/coordination';
import {
	rpcErrorCodes, type HostReport, type InForceResult, type ProposeResult, type QueryResult, type Show, type WatchResult,
} from '@bitternpaddle/protocol';
import type {Catalog, Change, Command} from '@bitternpaddle/state';
import {callRpc, type Logger} from '@bitternpaddle/transport';
import {createWatchPlace} from './watch-place.js';

export type ConfigurationClientOptions = {
	/** Addresses of control hosts; read at each call. */
	readonly controls: readonly string[];
	readonly logger: Logger;
	/** What this host says with each renewal. */
	report(): HostReport;
	/** `changes` led to the catalog; `null` when it came as a whole. */
	onChange(catalog: Catalog, changes: readonly Change[] | null): void;
	/** How long control may hold a call. @default 600 */
	readonly waitMs?: number;
};

/** What a host acts on; without the lease it refuses new work. */
export type ConfigurationInForce = {readonly revision: number; readonly digest: string; readonly hasLease: boolean};

export type ConfigurationClient = {
	catalog(): Catalog;
	inForce(): ConfigurationInForce;
	/** Whether this host may take new work. */
	hasLease(): boolean;
	/** How this host's configuration stands to another's. */
	compare(peer: {readonly revision: number; readonly digest: string | null}): PeerComparison;
	/** Asks another control host at once, since the present one may have gone silent. */
	catchUp(): void;
	/** Drops the copy and fetches another; no work is taken until it is here. */
	resync(): void;
	/** Resolves once the host is at `revision` or later; `false` after `timeoutMs`. */
	reach(revision: number, timeoutMs: number): Promise<boolean>;
	propose(command: Command): Promise<ProposeResult>;
	query(show: Show): Promise<QueryResult>;
	/** On how many hosts a revision is in force. */
	spread(revision: number): Promise<InForceResult>;
	/** Reports at once instead of with the next renewal. */
	reportNow(): Promise<void>;
	close(): void;
};

const hostTime = (): HostTime => ({monotonicMs: performance.now(), wallMs: Date.now()});

/** Longer than a control host takes to hear its leader, which a host without a copy has to wait for. */
const catchUpHoldMs = 600;

/** Keeps a host's configuration current: one call waits at a control host all the time. */
export const createConfigurationClient = (options: ConfigurationClientOptions): ConfigurationClient => {
	const {controls, logger, report, onChange, waitMs = leaseTimes.holdMs} = options;
	const configuration: HostConfiguration = createHostConfiguration();
	const reached = new Set<() => void>();
	const place = createWatchPlace(controls, () => report().hostId);
	let isClosed = false;
	let hadLease = false;
	let failuresInARow = 0;

	const renewOnce = async ({holdMs, timeoutMs}: WatchCallTimes): Promise<void> => {
		const said = report();
		const sentAt = hostTime();
		const {address, session, agent, isTold, tell} = place.at(said);
		const result = await callRpc<WatchResult>({
			address, method: 'control.watch', timeoutMs, agent,
			params: {
				systemId: configuration.systemId, hostId: said.hostId, session, revision: configuration.catalog.revision, digest: configuration.catalog.digest,
				report: isTold ? null : said, waitMs: holdMs,
			},
		});
		tell(result.type !== 'unknownHost');
		const outcome = takeWatchResult(configuration, result, sentAt);
		if (outcome === 'diverged') {
			logger.event('BP3006', {revision: result.type === 'unknownHost' ? 0 : result.revision});
		} else if (outcome === 'advanced') {
			onChange(configuration.catalog, result.type === 'changes' ? result.changes.map(({change}) => change) : null);
			for (const check of reached) {
				check();
			}
		}
	};

	const hasLease = (): boolean => hasConfigurationLease(configuration, hostTime());

	const noteLease = (): void => {
		const holdsLease = hasLease();
		if (hadLease && !holdsLease) {
			logger.event('BP3005', {revision: configuration.catalog.revision});
		}

		hadLease = holdsLease;
	};

	const noteForeign = (error: unknown): void => {
		if ((error as {code?: number}).code === rpcErrorCodes.foreignSystem) {
			logger.event('BP3008', {message: (error as Error).message});
		}
	};

	const isOpen = (): boolean => !isClosed;

	const run = async (): Promise<void> => {
		while (isOpen()) {
			try {
				await renewOnce(watchCallTimes({
					hasCopy: configuration.catalog.revision > 0, leaseLeftMs: leaseLeftMs(configuration, hostTime()), failuresInARow, holdMs: waitMs,
				}));
				failuresInARow = 0;
			} catch (error) {
				noteForeign(error);
				failuresInARow++;
				place.leave();
				await delay(leaseTimes.retryMs);
			}

			noteLease();
		}
	};

	let isCatchingUp = false;
	const catchUp = async (): Promise<void> => {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		try {
			place.leave();
			await renewOnce({holdMs: catchUpHoldMs, timeoutMs: catchUpHoldMs + leaseTimes.patientAnswerMs});
		} catch {
			// The watch goes on and tries the next control host.
		} finally {
			isCatchingUp = false;
		}
	};

	/** Tries each control host once; an answer with an error code from the leader is final. */
	const callAny = async <Result>(method: string, parameters: Record<string, unknown>, timeoutMs: number): Promise<Result> => {
		let lastError: unknown = new Error('no control host is known');
		for (const address of place.all()) {
			try {
				return await callRpc<Result>({
					address, method, params: {...parameters, systemId: configuration.systemId}, timeoutMs,
				});
			} catch (error) {
				lastError = moreTelling(lastError, error);
				if (isFinalError(error)) {
					throw error;
				}
			}
		}

		throw lastError;
	};

	// Not before the caller holds this client: its report asks for the revision.
	setImmediate(() => {
		void run();
	});
	return {
		catalog: () => configuration.catalog,
		inForce: () => ({
			revision: configuration.catalog.revision, digest: configuration.catalog.digest, hasLease: hasLease(),
		}),
		hasLease,
		compare: peer => compareWithPeer(configuration, peer),
		catchUp() {
			void catchUp();
		},
		resync() {
			if (configuration.catalog.revision > 0) {
				logger.event('BP3006', {revision: configuration.catalog.revision});
				discardCopy(configuration);
				void catchUp();
			}
		},
		async reach(revision, timeoutMs) {
			if (configuration.catalog.revision >= revision) {
				return true;
			}

			return new Promise(resolve => {
				const finish = (hasReached: boolean): void => {
					clearTimeout(timer);
					reached.delete(check);
					resolve(hasReached);
				};

				const check = (): void => {
					if (configuration.catalog.revision >= revision) {
						finish(true);
					}
				};

				const timer = setTimeout(() => {
					finish(false);
				}, timeoutMs);
				reached.add(check);
			});
		},
		propose: async command => callAny('control.propose', {command}, 9000),
		spread: async revision => callAny('control.inForce', {revision}, 5000),
		query: async show => callAny('control.query', {show}, 5000),
		async reportNow() {
			await renewOnce({holdMs: 0, timeoutMs: leaseTimes.patientAnswerMs});
		},
		close() {
			isClosed = true;
		},
	};
};

/** What a control host said tells more than that another cannot be reached. */
const moreTelling = (earlier: unknown, later: unknown): unknown => (earlier as {code?: number}).code === undefined ? later : earlier;

const isFinalError = (error: unknown): boolean => (error as {code?: number}).code === rpcErrorCodes.invalid;
