import {setTimeout as delay} from 'node:timers/promises';
import {
	createHostConfiguration, hasConfigurationLease, takeWatchResult, type HostConfiguration,
} from '@bitternpaddle/coordination';
import type {
	HostReport, ProposeResult, QueryResult, Show, WatchResult,
} from '@bitternpaddle/protocol';
import type {Catalog, Change, Command} from '@bitternpaddle/state';
import {callRpc, type Logger} from '@bitternpaddle/transport';

export type ConfigurationClientOptions = {
	/** Addresses of control hosts; read at each call. */
	readonly controls: readonly string[];
	readonly logger: Logger;
	/** What this host says with each renewal. */
	report(): HostReport;
	/** `changes` led to the catalog; `null` when it came as a whole. */
	onChange(catalog: Catalog, changes: readonly Change[] | null): void;
	/** How long control may hold a call. @default 1000 */
	readonly waitMs?: number;
};

/** What a host acts on; without the lease it refuses new work. */
export type ConfigurationInForce = {readonly revision: number; readonly digest: string; readonly hasLease: boolean};

export type ConfigurationClient = {
	catalog(): Catalog;
	inForce(): ConfigurationInForce;
	/** Whether this host may take new work. */
	hasLease(): boolean;
	/** Resolves once the host is at `revision` or later; `false` after `timeoutMs`. */
	reach(revision: number, timeoutMs: number): Promise<boolean>;
	propose(command: Command): Promise<ProposeResult>;
	query(show: Show): Promise<QueryResult>;
	/** Reports at once instead of with the next renewal. */
	reportNow(): Promise<void>;
	close(): void;
};

const retryMs = 100;
const callMarginMs = 1500;

/** Keeps a host's configuration current: one call waits at a control host all the time. */
export const createConfigurationClient = (options: ConfigurationClientOptions): ConfigurationClient => {
	const {controls, logger, report, onChange, waitMs = 1000} = options;
	const configuration: HostConfiguration = createHostConfiguration();
	const reached = new Set<() => void>();
	let position = Math.floor(Math.random() * controls.length);
	let isClosed = false;
	let hadLease = false;

	const currentControl = (): string => controls[position % controls.length]!;

	const renewOnce = async (holdMs: number): Promise<void> => {
		const sentAtMs = performance.now();
		const result = await callRpc<WatchResult>({
			address: currentControl(), method: 'control.watch', params: {report: report(), waitMs: holdMs}, timeoutMs: holdMs + callMarginMs,
		});
		const outcome = takeWatchResult(configuration, result, sentAtMs);
		if (outcome === 'diverged') {
			logger.event('BP3006', {revision: result.revision});
		} else if (outcome === 'advanced') {
			onChange(configuration.catalog, result.type === 'changes' ? result.changes.map(({change}) => change) : null);
			for (const check of reached) {
				check();
			}
		}
	};

	const noteLease = (): void => {
		const hasLease = hasConfigurationLease(configuration, performance.now());
		if (hadLease && !hasLease) {
			logger.event('BP3005', {revision: configuration.catalog.revision});
		}

		hadLease = hasLease;
	};

	const isOpen = (): boolean => !isClosed;

	const run = async (): Promise<void> => {
		while (isOpen()) {
			try {
				await renewOnce(waitMs);
			} catch {
				position++;
				await delay(retryMs);
			}

			noteLease();
		}
	};

	/** Tries each control host once; an answer with an error code from the leader is final. */
	const callAny = async <Result>(method: string, parameters: Record<string, unknown>, timeoutMs: number): Promise<Result> => {
		let lastError: unknown = new Error('no control host is known');
		for (const offset of controls.keys()) {
			const address = controls[(position + offset) % controls.length]!;
			try {
				return await callRpc<Result>({
					address, method, params: parameters, timeoutMs,
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

	void run();
	return {
		catalog: () => configuration.catalog,
		inForce: () => ({
			revision: configuration.catalog.revision, digest: configuration.catalog.digest, hasLease: hasConfigurationLease(configuration, performance.now()),
		}),
		hasLease: () => hasConfigurationLease(configuration, performance.now()),
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
		query: async show => callAny('control.query', {show}, 5000),
		async reportNow() {
			await renewOnce(0);
		},
		close() {
			isClosed = true;
		},
	};
};

/** What a control host said tells more than that another cannot be reached. */
const moreTelling = (earlier: unknown, later: unknown): unknown => (earlier as {code?: number}).code === undefined ? later : earlier;

const invalidParametersCode = 1003;

const isFinalError = (error: unknown): boolean => (error as {code?: number}).code === invalidParametersCode;
