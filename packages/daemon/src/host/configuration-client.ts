import {setTimeout as delay} from 'node:timers/promises';
import {
	compareWithPeer, createHostConfiguration, discardCopy, hasConfigurationLease, leaseLeftMs, leaseTimes, applyWatchResult, watchCallTimes,
	type HostConfiguration, type HostTime, type PeerComparison, type WatchCallTimes,
} from '@bitternpaddle/coordination';
import {
	rpcErrorCodes, type HostReport, type InForceResult, type ProposeResult, type QueryResult, type Show, type WatchResult,
} from '@bitternpaddle/protocol';
import type {Catalog, Change, Command} from '@bitternpaddle/state';
import {callRpc, type Logger} from '@bitternpaddle/transport';
import {createControlSelector} from './control-selector.js';

export type ConfigurationClientOptions = {
	/** Addresses of control hosts; read at each call. */
	readonly controls: readonly string[];
	readonly logger: Logger;
	/** The status of this host, sent with each renewal. */
	report(): HostReport;
	/** `changes` are those that led to the catalog; `null` if it was received as a complete snapshot. */
	onChange(catalog: Catalog, changes: readonly Change[] | null): void;
	/** How long control may hold a long poll open. @default 600 */
	readonly waitMs?: number;
};

/** The configuration that a host acts on; without the lease it refuses new requests. */
export type ConfigurationInForce = {readonly revision: number; readonly digest: string; readonly hasLease: boolean};

export type ConfigurationClient = {
	catalog(): Catalog;
	inForce(): ConfigurationInForce;
	/** Whether this host may accept new requests. */
	hasLease(): boolean;
	/** Compares this host's configuration with a peer's. */
	compare(peer: {readonly revision: number; readonly digest: string | null}): PeerComparison;
	/** Polls another control host immediately, because the current one may not respond any more. */
	catchUp(): void;
	/** Discards the configuration copy and fetches a new one; requests are refused until it has arrived. */
	resync(): void;
	/** Resolves to `true` once the host has `revision` or a later one, to `false` after `timeoutMs`. */
	waitForRevision(revision: number, timeoutMs: number): Promise<boolean>;
	propose(command: Command): Promise<ProposeResult>;
	query(show: Show): Promise<QueryResult>;
	/** Reports on how many hosts a revision is in force. */
	queryInForce(revision: number): Promise<InForceResult>;
	/** Reports immediately instead of with the next renewal. */
	reportNow(): Promise<void>;
	close(): void;
};

const hostTime = (): HostTime => ({monotonicMs: performance.now(), wallMs: Date.now()});

/** Longer than a control host takes to receive an update from its leader, which a host without a copy has to wait for. */
const catchUpHoldMs = 600;

/** Keeps a host's configuration up to date with a continuous long poll of a control host. */
export const createConfigurationClient = (options: ConfigurationClientOptions): ConfigurationClient => {
	const {controls, logger, report, onChange, waitMs = leaseTimes.holdMs} = options;
	const configuration: HostConfiguration = createHostConfiguration();
	const revisionChecks = new Set<() => void>();
	const selector = createControlSelector(controls, () => report().hostId);
	let isClosed = false;
	let wasLeaseHeld = false;
	let consecutiveFailures = 0;

	const renewOnce = async ({holdMs, timeoutMs}: WatchCallTimes): Promise<void> => {
		const status = report();
		const requestedAt = hostTime();
		const {address, session, agent, isReportKnown, recordReportKnown} = selector.at(status);
		const result = await callRpc<WatchResult>({
			address, method: 'control.watch', timeoutMs, agent,
			params: {
				systemId: configuration.systemId, hostId: status.hostId, session, revision: configuration.catalog.revision, digest: configuration.catalog.digest,
				report: isReportKnown ? null : status, waitMs: holdMs,
			},
		});
		recordReportKnown(result.type !== 'unknownHost');
		const outcome = applyWatchResult(configuration, result, requestedAt);
		if (outcome === 'diverged') {
			logger.event('BP3006', {revision: result.type === 'unknownHost' ? 0 : result.revision});
		} else if (outcome === 'advanced') {
			onChange(configuration.catalog, result.type === 'changes' ? result.changes.map(({change}) => change) : null);
			for (const check of revisionChecks) {
				check();
			}
		}
	};

	const hasLease = (): boolean => hasConfigurationLease(configuration, hostTime());

	const logLeaseLoss = (): void => {
		const isLeaseHeld = hasLease();
		if (wasLeaseHeld && !isLeaseHeld) {
			logger.event('BP3005', {revision: configuration.catalog.revision});
		}

		wasLeaseHeld = isLeaseHeld;
	};

	const logForeignSystem = (error: unknown): void => {
		if ((error as {code?: number}).code === rpcErrorCodes.foreignSystem) {
			logger.event('BP3008', {message: (error as Error).message});
		}
	};

	const isOpen = (): boolean => !isClosed;

	const watch = async (): Promise<void> => {
		while (isOpen()) {
			try {
				await renewOnce(watchCallTimes({
					hasCopy: configuration.catalog.revision > 0, leaseLeftMs: leaseLeftMs(configuration, hostTime()), failuresInARow: consecutiveFailures, holdMs: waitMs,
				}));
				consecutiveFailures = 0;
			} catch (error) {
				logForeignSystem(error);
				consecutiveFailures++;
				selector.failOver();
				await delay(leaseTimes.retryDelayMs);
			}

			logLeaseLoss();
		}
	};

	let isCatchingUp = false;
	const catchUp = async (): Promise<void> => {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		try {
			selector.failOver();
			await renewOnce({holdMs: catchUpHoldMs, timeoutMs: catchUpHoldMs + leaseTimes.longResponseGraceMs});
		} catch {
			// The watch loop continues and tries the next control host.
		} finally {
			isCatchingUp = false;
		}
	};

	/** Tries each control host once; the error that the leader returns for an invalid call is final. */
	const callAny = async <Result>(method: string, parameters: Record<string, unknown>, timeoutMs: number): Promise<Result> => {
		let lastError: unknown = new Error('no control host is configured');
		for (const address of selector.addresses()) {
			try {
				return await callRpc<Result>({
					address, method, params: {...parameters, systemId: configuration.systemId}, timeoutMs,
				});
			} catch (error) {
				lastError = preferredError(lastError, error);
				if (isFinalError(error)) {
					throw error;
				}
			}
		}

		throw lastError;
	};

	// Deferred until the caller has the client, because its `report` reads the revision from it.
	setImmediate(() => {
		void watch();
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
		async waitForRevision(revision, timeoutMs) {
			if (configuration.catalog.revision >= revision) {
				return true;
			}

			return new Promise(resolve => {
				const finish = (isReached: boolean): void => {
					clearTimeout(timer);
					revisionChecks.delete(check);
					resolve(isReached);
				};

				const check = (): void => {
					if (configuration.catalog.revision >= revision) {
						finish(true);
					}
				};

				const timer = setTimeout(() => {
					finish(false);
				}, timeoutMs);
				revisionChecks.add(check);
			});
		},
		propose: async command => callAny('control.propose', {command}, 9000),
		queryInForce: async revision => callAny('control.inForce', {revision}, 5000),
		query: async show => callAny('control.query', {show}, 5000),
		async reportNow() {
			await renewOnce({holdMs: 0, timeoutMs: leaseTimes.longResponseGraceMs});
		},
		close() {
			isClosed = true;
		},
	};
};

/** Prefers an error returned by a control host over the failure to reach another one. */
const preferredError = (earlier: unknown, later: unknown): unknown => (earlier as {code?: number}).code === undefined ? later : earlier;

const isFinalError = (error: unknown): boolean => (error as {code?: number}).code === rpcErrorCodes.invalid;
