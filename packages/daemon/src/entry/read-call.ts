import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import {idempotencyKeyHeader} from '@bitternpaddle/protocol';
import {idempotencyKeySchema, sha256} from '@bitternpaddle/state';
import {readBody} from '@bitternpaddle/transport';
import {z} from 'zod';
import {bearerOf} from './admin-api.js';
import {RefusedError, type Call} from './call.js';

export type ReadCallOptions = {
	/** Teams by the digest of their key. */
	readonly teams: ReadonlyMap<string, string>;
	readonly defaultDeadlineMs: number;
};

const bodyLimitBytes = 1024 * 1024;

const chatBodySchema = z.looseObject({model: z.string().min(1), stream: z.boolean().default(false)});

/** Reads and checks a caller's request; throws `RefusedError` for one that is wrong in itself. */
export const readCall = async (request: http.IncomingMessage, response: http.ServerResponse, {teams, defaultDeadlineMs}: ReadCallOptions): Promise<Call> => {
	const teamId = identifyTeam(request, teams);
	const body = await readBody(request, bodyLimitBytes);
	const url = request.url!;
	const key = request.headers[idempotencyKeyHeader];
	const abort = new AbortController();
	response.once('close', () => {
		abort.abort();
	});
	const shared = {
		requestId: randomUUID(), teamId, method: request.method!, contentType: request.headers['content-type'] ?? 'application/json', body,
		idempotencyKey: typeof key === 'string' ? idempotencyKeySchema.parse(key) : null, response, abort, deadlineAtMs: performance.now() + defaultDeadlineMs,
	};
	const service = /^\/services\/([^\/]+)(\/.*)$/v.exec(url);
	if (service !== null) {
		return {
			...shared, target: {type: 'service', serviceId: service[1]!}, path: service[2]!, isStream: false,
		};
	}

	const parsed = chatBodySchema.safeParse(parseJson(body));
	if (!parsed.success) {
		throw new RefusedError({status: 400, type: 'invalid_request', message: z.prettifyError(parsed.error)});
	}

	return {
		...shared, target: {type: 'model', modelId: parsed.data.model}, path: url, isStream: parsed.data.stream,
	};
};

const identifyTeam = (request: http.IncomingMessage, teams: ReadonlyMap<string, string>): string => {
	const key = bearerOf(request);
	const teamId = key === null ? undefined : teams.get(sha256(key));
	if (teamId === undefined) {
		throw new RefusedError({status: 401, type: 'unauthorized', message: 'no team has this key'});
	}

	return teamId;
};

const parseJson = (body: Buffer): unknown => {
	try {
		return JSON.parse(body.toString());
	} catch {
		throw new RefusedError({status: 400, type: 'invalid_request', message: 'the body is not JSON'});
	}
};
