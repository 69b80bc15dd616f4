import type http from 'node:http';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {
	JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer, type JSONRPCParams, type JSONRPCResponse,
} from 'json-rpc-2.0';
import * as z from 'zod';
import {ignore} from '../utils.js';
import {readBody} from '../http/read-body.js';
import {sendJson} from '../http/http-server.js';
import {compressText, acceptsCompressed, decompressText} from './packing.js';

/** An error with the code that the client receives. */
export class RpcError extends JSONRPCErrorException {
	constructor(code: number, message: string) {
		super(message, code);
	}
}

export type RpcServer = {
	/** Adds a method whose parameters are validated before `handle` is called. */
	method<Schema extends z.ZodType>(name: string, schema: Schema, handle: (parameters: z.output<Schema>) => unknown): void;
	/** Handles one HTTP request that carries JSON-RPC. */
	serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
};

export const rpcPath = '/rpc';

/** The response to a batch that contains anything other than calls, on which the library throws. */
const notACallResponse: JSONRPCResponse = {jsonrpc: '2.0', id: null, error: {code: JSONRPCErrorCode.InvalidRequest, message: 'the body is not a JSON-RPC call'}};

export type RpcServerOptions = {
	/** Larger calls are refused. @default 64 MiB, above the largest snapshot that a control host sends */
	readonly bodyLimitBytes?: number;
};

const sendAnswer = (request: http.IncomingMessage, response: http.ServerResponse, answer: JSONRPCResponse | JSONRPCResponse[]): void => {
	if (!acceptsCompressed(request)) {
		sendJson(response, 200, answer);
		return;
	}

	const {body, headers} = compressText(JSON.stringify(answer));
	response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length, ...headers}).end(body);
};

export const createRpcServer = ({bodyLimitBytes = 64 * 1024 * 1024}: RpcServerOptions = {}): RpcServer => {
	const server = new JSONRPCServer({errorListener: ignore});
	const receive = async (text: string): Promise<JSONRPCResponse | JSONRPCResponse[] | null> => {
		try {
			return await server.receiveJSON(text);
		} catch {
			return notACallResponse;
		}
	};

	return {
		method(name, schema, handle) {
			server.addMethod(name, async (parameters: JSONRPCParams | undefined): Promise<unknown> => {
				const parsed = schema.safeParse(parameters);
				if (!parsed.success) {
					throw new RpcError(rpcErrorCodes.invalid, z.prettifyError(parsed.error));
				}

				return handle(parsed.data);
			});
		},
		async serve(request, response) {
			const text = decompressText(await readBody(request, bodyLimitBytes), request, bodyLimitBytes);
			const answer = await receive(text);
			if (answer === null) {
				response.writeHead(204).end();
			} else {
				sendAnswer(request, response, answer);
			}
		},
	};
};
