import type http from 'node:http';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {readBody, sendHttp} from '../http/http-client.js';
import {rpcPath} from './rpc-server.js';

export type RpcCallOptions = {
	readonly address: string;
	readonly method: string;
	readonly params: object;
	readonly timeoutMs: number;
	/** `false` opens a new connection, for when the old ones may have gone silent. */
	readonly agent?: http.Agent | false;
};

/** Calls a method; rejects with `TransportError` or with the other side's error. */
export const callRpc = async <Result>(options: RpcCallOptions): Promise<Result> => {
	const client: JSONRPCClient = new JSONRPCClient(async (payload: unknown) => {
		const answer = await post(options, payload);
		client.receive(JSON.parse(answer) as JSONRPCResponse);
	});
	const result: unknown = await client.request(options.method, options.params);
	return result as Result;
};

/** Sends a message that has no answer. */
export const notifyRpc = async (options: RpcCallOptions): Promise<void> => {
	await post(options, {jsonrpc: '2.0', method: options.method, params: options.params});
};

const post = async ({address, timeoutMs, agent}: RpcCallOptions, payload: unknown): Promise<string> => {
	const response = await sendHttp({
		address, method: 'POST', path: rpcPath, headers: {'content-type': 'application/json'},
		body: JSON.stringify(payload), idleTimeoutMs: timeoutMs, agent,
	});
	return (await readBody(response)).toString();
};
