import {readBody, sendHttp} from '@bitternpaddle/transport';
import * as z from 'zod';

const statusSchema = z.object({
	versionId: z.string().nullable(), digest: z.string().nullable(), fencingNumber: z.number(), running: z.number(),
	/** By the model name that callers give; an engine without adapters may leave it out. */
	adapters: z.array(z.object({name: z.string(), digest: z.string()})).default([]),
});

/** What an engine says of itself. Its load figure lags. */
export type EngineStatus = z.infer<typeof statusSchema>;

export type LoadOrder = {readonly versionId: string; readonly filePath: string; readonly fencingNumber: number};

export type LoadOutcome
	= | {readonly type: 'loaded'; readonly status: EngineStatus}
		| {readonly type: 'fenced'}
		| {readonly type: 'failed'; readonly detail: string};

export type AdapterEngineOrder
	= | {
		readonly type: 'load';
		readonly name: string;
		/** The base that it belongs to; an engine that checks refuses it on any other. */
		readonly versionId: string;
		readonly baseDigest: string;
		readonly filePath: string;
		readonly fencingNumber: number;
	}
	| {readonly type: 'unload'; readonly name: string; readonly fencingNumber: number};

const statusTimeoutMs = 2000;
/** Engines read many gigabytes before they answer. */
const loadTimeoutMs = 600_000;

export const askEngine = async (address: string): Promise<EngineStatus> => {
	const response = await sendHttp({address, path: '/engine/status', idleTimeoutMs: statusTimeoutMs});
	return statusSchema.parse(JSON.parse((await readBody(response)).toString()));
};

/** Orders the engine to load; 409 means that it has seen a later order. */
export const orderLoad = async (address: string, order: LoadOrder): Promise<LoadOutcome> => sendOrder(address, '/engine/load', order);

/** Orders the engine to load an adapter onto its base, or to drop one. */
export const orderAdapter = async (address: string, order: AdapterEngineOrder): Promise<LoadOutcome> => sendOrder(address, '/engine/adapters', order);

const sendOrder = async (address: string, path: string, order: LoadOrder | AdapterEngineOrder): Promise<LoadOutcome> => {
	const response = await sendHttp({
		address, method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(order), idleTimeoutMs: loadTimeoutMs,
	});
	const text = (await readBody(response)).toString();
	if (response.statusCode === 409) {
		return {type: 'fenced'};
	}

	return response.statusCode === 200
		? {type: 'loaded', status: statusSchema.parse(JSON.parse(text))}
		: {type: 'failed', detail: `the engine answered ${response.statusCode}: ${text.slice(0, 200)}`};
};
