import type http from 'node:http';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {readBody, sendHttp, TransportError} from '../http/http-client.js';
import {packText, packedHeaders, unpackText} from './packing.js';
import {rpcPath} from './rpc-server.js';

export type RpcCallOptions = {
	readonly address: string;
	readonly method: string;
	readonly params: object;
	readonly timeoutMs: number;
	/** `false` opens a new connection, for when the old ones may have gone silent. */
	readonly agent?: http.Agent | false;
	/** Whether long texts are packed, both ways: for hosts whose calls cross regions. @default false */
	readonly isPacked?: boolean;
	/** A longer answer is an error. @default none */
	readonly answerLimitBytes?: number;
	/** @default none */
	readonly signal?: AbortSignal;
};

/** Calls a method; rejects with `TransportError` or with the other side's error. */
export const callRpc = async <Result>(options: RpcCallOptions): Promise<Result> => {
	let failure: unknown;
	const client: JSONRPCClient = new JSONRPCClient(async (payload: unknown) => {
		const answer = await post(options, payload).catch((error: unknown) => {
			failure = error;
			throw error;
		});
		client.receive(JSON.parse(answer) as JSONRPCResponse);
	});
	try {
		const result: unknown = await client.request(options.method, options.params);
		return result as Result;
	} catch (error) {
		// The library puts an error of its own in the place of the transport's.
		throw failure ?? error;
	}
};

/** Sends a message that has no answer. */
export const notifyRpc = async (options: RpcCallOptions): Promise<void> => {
	await post(options, {jsonrpc: '2.0', method: options.method, params: options.params});
};

const post = async ({
	address, timeoutMs, agent, signal, answerLimitBytes, isPacked = false,
}: RpcCallOptions, payload: unknown): Promise<string> => {
	const text = JSON.stringify(payload);
	const {body, headers} = isPacked ? packText(text) : {body: text, headers: {}};
	const response = await sendHttp({
		address, method: 'POST', path: rpcPath, headers: {'content-type': 'application/json', ...(isPacked ? packedHeaders : {}), ...headers},
		body, idleTimeoutMs: timeoutMs, agent, signal,
	});
	const answer = unpackText(await readBody(response, answerLimitBytes), response, answerLimitBytes);
	// A server that is full or stopping answers in another shape, which has no call's id in it: the library would wait for ever.
	if (response.statusCode !== 200 && response.statusCode !== 204) {
		throw new TransportError(`${address} answered ${response.statusCode}: ${answer.slice(0, 200)}`, false);
	}

	return answer;
};
