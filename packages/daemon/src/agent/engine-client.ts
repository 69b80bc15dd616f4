import {fetchHttp, readLimits} from '@bitternpaddle/transport';
import * as z from 'zod';

const statusSchema = z.object({
	versionId: z.string().nullable(), digest: z.string().nullable(), fencingNumber: z.number(), running: z.number(),
	/** `name` is the model name that callers send; an engine without adapters may omit the list. */
	adapters: z.array(z.object({name: z.string(), digest: z.string()})).default([]),
});

/** The status that an engine reports. Its load figure may be out of date. */
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
		/** The base version that the adapter was made for; an engine that checks it refuses the adapter on any other base. */
		readonly versionId: string;
		readonly baseDigest: string;
		readonly filePath: string;
		readonly fencingNumber: number;
	}
	| {readonly type: 'unload'; readonly name: string; readonly fencingNumber: number};

const statusTimeoutMs = 2000;
/** Engines read many gigabytes before they respond. */
const loadTimeoutMs = 600_000;

export const fetchEngineStatus = async (address: string): Promise<EngineStatus> => {
	const {body} = await fetchHttp({
		address, path: '/engine/status', idleTimeoutMs: statusTimeoutMs, totalTimeoutMs: 2 * statusTimeoutMs, limitBytes: readLimits.report,
	});
	return statusSchema.parse(JSON.parse(body.toString()));
};

/** Orders the engine to load a version; status 409 means that it has received an order with a higher fencing number. */
export const sendLoadOrder = async (address: string, order: LoadOrder): Promise<LoadOutcome> => postOrder(address, '/engine/load', order);

/** Orders the engine to load an adapter onto its base, or to unload one. */
export const sendAdapterOrder = async (address: string, order: AdapterEngineOrder): Promise<LoadOutcome> => postOrder(address, '/engine/adapters', order);

const postOrder = async (address: string, path: string, order: LoadOrder | AdapterEngineOrder): Promise<LoadOutcome> => {
	const {status, body} = await fetchHttp({
		address, method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(order),
		idleTimeoutMs: loadTimeoutMs, totalTimeoutMs: loadTimeoutMs, limitBytes: readLimits.report,
	});
	const text = body.toString();
	if (status === 409) {
		return {type: 'fenced'};
	}

	return status === 200
		? {type: 'loaded', status: statusSchema.parse(JSON.parse(text))}
		: {type: 'failed', detail: `the engine responded with status ${status}: ${text.slice(0, 200)}`};
};
