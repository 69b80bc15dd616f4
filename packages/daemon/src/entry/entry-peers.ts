import {
	exportCounts, type BurnCounter, type ShareAnswer, type ShareRequest,
} from '@bitternpaddle/coordination';
import {
	burnAnswerSchema, entryBurnParametersSchema, entryCrashesParametersSchema, entryRequestsParametersSchema, entrySharesParametersSchema, requestsAnswerSchema, rpcErrorCodes,
	type BurnAnswer, type RequestsAnswer, type RequestSelection,
} from '@bitternpaddle/protocol';
import {
	callRpc, createRpcServer, RpcError, timeoutSignal, type RpcServer,
} from '@bitternpaddle/transport';
import type {z} from 'zod';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {isExchangeToken, roleOfToken, type AdminToken} from './admin-tokens.js';
import type {RequestLog} from './request-log.js';
import type {CrashUpdate} from './request-quarantine.js';

export type EntryRpcOptions = {
	readonly entryId: string;
	readonly tokens: readonly AdminToken[];
	readonly counter: BurnCounter;
	readonly requests: RequestLog;
	answerShares(request: ShareRequest): ShareAnswer;
	/** Processes another entry's update on requests that crash endpoints. */
	receiveCrashUpdate(update: CrashUpdate): void;
};

const parameterLimitBytes = 16_384;

/** The RPC methods that an entry offers to other entries. */
export const createEntryRpc = ({entryId, tokens, counter, requests, answerShares, receiveCrashUpdate}: EntryRpcOptions): RpcServer => {
	// Callers can reach this port too: without the token check, anybody could read who calls what.
	const assertOperator = (token: string): void => {
		if (roleOfToken(tokens, token) === null) {
			throw new RpcError(rpcErrorCodes.unauthorized, 'this entry does not know the administration token');
		}
	};

	const rpc = createRpcServer({bodyLimitBytes: parameterLimitBytes});
	rpc.method('entry.burn', entryBurnParametersSchema, ({token, nowMs}): BurnAnswer => {
		assertOperator(token);
		return {entryId, ...exportCounts(counter, nowMs)};
	});
	rpc.method('entry.requests', entryRequestsParametersSchema, ({token, selection}): RequestsAnswer => {
		assertOperator(token);
		return {entryId, records: requests.select(selection)};
	});
	rpc.method('entry.shares', entrySharesParametersSchema, ({token, request}): ShareAnswer => {
		if (!isExchangeToken(tokens, token)) {
			throw new RpcError(rpcErrorCodes.unauthorized, 'this entry does not know the token');
		}

		return answerShares(request);
	});
	rpc.method('entry.crashes', entryCrashesParametersSchema, ({token, ...update}) => {
		if (!isExchangeToken(tokens, token)) {
			throw new RpcError(rpcErrorCodes.unauthorized, 'this entry does not know the token');
		}

		receiveCrashUpdate(update);
		return {};
	});
	return rpc;
};

/** The answers of all entries that responded, and the entries that did not. */
export type GatheredAnswers<Answer> = {readonly answers: Answer[]; readonly missingEntries: string[]};

export type EntryPeers = {
	/** Forwards each answer as it arrives, and sends the next request only once `onAnswer` has resolved. Resolves with the entries that did not answer. */
	burn(token: string, nowMs: number, onAnswer: (answer: BurnAnswer) => Promise<void>): Promise<string[]>;
	requests(token: string, selection: RequestSelection): Promise<GatheredAnswers<RequestsAnswer>>;
};

export type EntryPeersOptions = {
	/** How long an entry may send no data. @default 3000 */
	readonly silentMs?: number;
	/** How long an entry's complete answer may take. @default 8000 */
	readonly answerTimeoutMs?: number;
	/** Time after which no further entry is requested; an operator's program waits for 30 s. @default 20000 */
	readonly totalTimeoutMs?: number;
	/** Entries that are requested concurrently. @default 8 */
	readonly concurrency?: number;
};

/** More than an entry with the maximum number of service and team pairs sends. */
const answerLimitBytes = 32 * 1024 * 1024;

/**
 * Sends a request to every entry that control lists as live, including this one.
 * Concurrency is limited because hundreds of answers would otherwise be held
 * in memory at once. The time for a complete answer is limited too, because an
 * entry that sends single bytes at long intervals is as useless to the report as one that
 * does not respond.
 */
export const createEntryPeers = (configuration: Pick<ConfigurationClient, 'query'>, options: EntryPeersOptions = {}): EntryPeers => {
	const {
		silentMs = 3000, answerTimeoutMs = 8000, totalTimeoutMs = 20_000, concurrency = 8,
	} = options;

	const gather = async <Schema extends z.ZodType>(method: string, schema: Schema, parameters: object, onAnswer: (answer: z.output<Schema>) => Promise<void>): Promise<string[]> => {
		const {rows} = await configuration.query({type: 'show', subject: 'hosts', where: [{field: 'role', operator: '=', value: 'entry'}]});
		const untilMs = performance.now() + totalTimeoutMs;
		const missingEntries: string[] = [];
		const remainingRows = rows.values();

		const requestFrom = async (address: string): Promise<z.output<Schema> | null> => {
			const callTimeoutMs = Math.ceil(Math.min(answerTimeoutMs, untilMs - performance.now()));
			if (callTimeoutMs <= 0) {
				return null;
			}

			try {
				return schema.parse(await callRpc<unknown>({
					address, method, params: parameters, timeoutMs: silentMs, signal: timeoutSignal(callTimeoutMs), answerLimitBytes,
				}));
			} catch {
				return null;
			}
		};

		await Promise.all(Array.from({length: concurrency}, async () => {
			for (const {host, address} of remainingRows) {
				const answer = await requestFrom(String(address));
				if (answer === null) {
					missingEntries.push(String(host));
				} else {
					await onAnswer(answer);
				}
			}
		}));
		return missingEntries.toSorted();
	};

	return {
		burn: async (token, nowMs, onAnswer) => gather('entry.burn', burnAnswerSchema, {token, nowMs}, onAnswer),
		async requests(token, selection) {
			const answers: RequestsAnswer[] = [];
			const missingEntries = await gather('entry.requests', requestsAnswerSchema, {token, selection}, async answer => {
				answers.push(answer);
			});
			return {answers, missingEntries};
		},
	};
};
