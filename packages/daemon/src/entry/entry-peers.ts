import {
	exportCounts, type BurnCounter, type ShareAnswer, type ShareRequest,
} from '@bitternpaddle/coordination';
import {
	burnAnswerSchema, entryBurnParametersSchema, entryRequestsParametersSchema, entrySharesParametersSchema, requestsAnswerSchema, rpcErrorCodes, type BurnAnswer, type RequestsAnswer,
	type RequestSelection,
} from '@bitternpaddle/protocol';
import {
	callRpc, createRpcServer, RpcError, type RpcServer,
} from '@bitternpaddle/transport';
import type {z} from 'zod';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {isExchangeToken, roleOfToken, type AdminToken} from './admin-tokens.js';
import type {RequestLog} from './request-log.js';

export type EntryRpcOptions = {
	readonly entryId: string;
	readonly tokens: readonly AdminToken[];
	readonly counter: BurnCounter;
	readonly requests: RequestLog;
	answerShares(request: ShareRequest): ShareAnswer;
};

const parameterLimitBytes = 16_384;

/** What one entry answers to the others. */
export const createEntryRpc = ({entryId, tokens, counter, requests, answerShares}: EntryRpcOptions): RpcServer => {
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
	return rpc;
};

/** The answers of all entries that gave one. */
export type Gathered<Answer> = {readonly answers: Answer[]; readonly missingEntries: string[]};

export type EntryPeers = {
	burn(token: string, nowMs: number): Promise<Gathered<BurnAnswer>>;
	requests(token: string, selection: RequestSelection): Promise<Gathered<RequestsAnswer>>;
};

const peerTimeoutMs = 3000;

/** Asks every entry that control has heard of lately, this one included. */
export const createEntryPeers = (configuration: ConfigurationClient): EntryPeers => {
	const gather = async <Schema extends z.ZodType>(method: string, schema: Schema, parameters: object): Promise<Gathered<z.output<Schema>>> => {
		const {rows} = await configuration.query({type: 'show', subject: 'hosts', where: [{field: 'role', operator: '=', value: 'entry'}]});
		const answers: Array<z.output<Schema>> = [];
		const missingEntries: string[] = [];
		await Promise.all(rows.map(async ({host, address}) => {
			try {
				const answer = await callRpc<unknown>({
					address: String(address), method, params: parameters, timeoutMs: peerTimeoutMs,
				});
				answers.push(schema.parse(answer));
			} catch {
				missingEntries.push(String(host));
			}
		}));
		return {answers, missingEntries: missingEntries.toSorted()};
	};

	return {
		burn: async (token, nowMs) => gather('entry.burn', burnAnswerSchema, {token, nowMs}),
		requests: async (token, selection) => gather('entry.requests', requestsAnswerSchema, {token, selection}),
	};
};
