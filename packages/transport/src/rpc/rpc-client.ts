import type http from 'node:http';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {sendHttp, TransportError} from '../http/http-client.js';
import {readBody} from '../http/read-body.js';
import {readLimits} from '../http/read-limits.js';
import {compressText, acceptCompressedHeaders, decompressText} from './packing.js';
import {rpcPath} from './rpc-server.js';

export type RpcCallOptions = {
	readonly address: string;
	readonly method: string;
	readonly params: object;
	readonly timeoutMs: number;
	/** `false` opens a new connection, for when the pooled ones may no longer respond. */
	readonly agent?: http.Agent | false;
	/** Whether long texts are compressed in both directions, for hosts whose calls cross regions. @default false */
	readonly isCompressed?: boolean;
	/** A larger response is an error. @default readLimits.callResult */
	readonly answerLimitBytes?: number;
	/** @default none */
	readonly signal?: AbortSignal;
};

/** Calls a method; rejects with `TransportError` or with the server's error. */
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
		// The library replaces the transport's error with its own.
		throw failure ?? error;
	}
};

/** Sends a notification, which has no response. */
export const notifyRpc = async (options: RpcCallOptions): Promise<void> => {
	await post(options, {jsonrpc: '2.0', method: options.method, params: options.params});
};

const post = async ({
	address, timeoutMs, agent, signal, answerLimitBytes = readLimits.callResult, isCompressed = false,
}: RpcCallOptions, payload: unknown): Promise<string> => {
	const text = JSON.stringify(payload);
	const {body, headers} = isCompressed ? compressText(text) : {body: text, headers: {}};
	const response = await sendHttp({
		address, method: 'POST', path: rpcPath, headers: {'content-type': 'application/json', ...(isCompressed ? acceptCompressedHeaders : {}), ...headers},
		body, idleTimeoutMs: timeoutMs, agent, signal,
	});
	const answer = decompressText(await readBody(response, answerLimitBytes), response, answerLimitBytes);
	// A server that is overloaded or shutting down responds without a JSON-RPC call id: the library would wait forever.
	if (response.statusCode !== 200 && response.statusCode !== 204) {
		throw new TransportError(`${address} responded with status ${response.statusCode}: ${answer.slice(0, 200)}`, false);
	}

	return answer;
};
