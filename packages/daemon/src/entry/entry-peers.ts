import {
	exportCounts, type BurnCounter, type ShareAnswer, type ShareRequest,
} from '@bitternpaddle/coordination';
import {
	burnAnswerSchema, entryBurnParametersSchema, entryCrashesParametersSchema, entryRequestsParametersSchema, entrySharesParametersSchema, requestsAnswerSchema, rpcErrorCodes,
	type BurnAnswer, type RequestsAnswer, type RequestSelection,
} from '@bitternpaddle/protocol';
import {
	callRpc, createRpcServer, RpcError, type RpcServer,
} from '@bitternpaddle/transport';
import type {z} from 'zod';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {isExchangeToken, roleOfToken, type AdminToken} from './admin-tokens.js';
import type {RequestLog} from './request-log.js';
import type {CrashNews} from './request-quarantine.js';

export type EntryRpcOptions = {
	readonly entryId: string;
	readonly tokens: readonly AdminToken[];
	readonly counter: BurnCounter;
	readonly requests: RequestLog;
	answerShares(request: ShareRequest): ShareAnswer;
	/** Takes what another entry saw of requests that end endpoints. */
	hearCrashes(news: CrashNews): void;
};

const parameterLimitBytes = 16_384;

/** What one entry answers to the others. */
export const createEntryRpc = ({entryId, tokens, counter, requests, answerShares, hearCrashes}: EntryRpcOptions): RpcServer => {
	// Callers reach this port too: without the operator's token, anybody could read who calls what.
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
	rpc.method('entry.crashes', entryCrashesParametersSchema, ({token, ...news}) => {
		if (!isExchangeToken(tokens, token)) {
			throw new RpcError(rpcErrorCodes.unauthorized, 'this entry does not know the token');
		}

		hearCrashes(news);
		return {};
	});
	return rpc;
};

/** The answers of all entries that gave one. */
export type Gathered<Answer> = {readonly answers: Answer[]; readonly missingEntries: string[]};

export type EntryPeers = {
	/** Hands over each answer as it comes, and the next one of the same lane only when it was taken; resolves with the entries that gave none. */
	burn(token: string, nowMs: number, take: (answer: BurnAnswer) => Promise<void>): Promise<string[]>;
	requests(token: string, selection: RequestSelection): Promise<Gathered<RequestsAnswer>>;
};

export type EntryPeersOptions = {
	/** How long an entry may be silent. @default 3000 */
	readonly silentMs?: number;
	/** How long an entry's whole answer may take. @default 8000 */
	readonly answerMs?: number;
	/** After this no further entry is asked; an operator's program waits for 30 s. @default 20000 */
	readonly totalMs?: number;
	/** Entries that are asked side by side. @default 8 */
	readonly lanes?: number;
};

/** Above what an entry with the most pairs of service and team sends. */
const answerLimitBytes = 32 * 1024 * 1024;

/**
 * Asks every entry that control has heard of lately, this one included. All
 * at once, hundreds of answers would lie in memory together. An entry that
 * sends a byte now and then is no more use to the report than a silent one.
 */
export const createEntryPeers = (configuration: Pick<ConfigurationClient, 'query'>, options: EntryPeersOptions = {}): EntryPeers => {
	const {
		silentMs = 3000, answerMs = 8000, totalMs = 20_000, lanes = 8,
	} = options;

	const gather = async <Schema extends z.ZodType>(method: string, schema: Schema, parameters: object, take: (answer: z.output<Schema>) => Promise<void>): Promise<string[]> => {
		const {rows} = await configuration.query({type: 'show', subject: 'hosts', where: [{field: 'role', operator: '=', value: 'entry'}]});
		const untilMs = performance.now() + totalMs;
		const missingEntries: string[] = [];
		const waiting = rows.values();

		const ask = async (address: string): Promise<z.output<Schema> | null> => {
			const leftMs = Math.ceil(Math.min(answerMs, untilMs - performance.now()));
			if (leftMs <= 0) {
				return null;
			}

			try {
				return schema.parse(await callRpc<unknown>({
					address, method, params: parameters, timeoutMs: silentMs, signal: AbortSignal.timeout(leftMs), answerLimitBytes,
				}));
			} catch {
				return null;
			}
		};

		await Promise.all(Array.from({length: lanes}, async () => {
			for (const {host, address} of waiting) {
				const answer = await ask(String(address));
				if (answer === null) {
					missingEntries.push(String(host));
				} else {
					await take(answer);
				}
			}
		}));
		return missingEntries.toSorted();
	};

	return {
		burn: async (token, nowMs, take) => gather('entry.burn', burnAnswerSchema, {token, nowMs}, take),
		async requests(token, selection) {
			const answers: RequestsAnswer[] = [];
			const missingEntries = await gather('entry.requests', requestsAnswerSchema, {token, selection}, async answer => {
				answers.push(answer);
			});
			return {answers, missingEntries};
		},
	};
};
