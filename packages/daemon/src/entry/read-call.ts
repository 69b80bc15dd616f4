import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import {promptPart, type PromptPart, type RouteTarget} from '@bitternpaddle/coordination';
import {deadlineHeader, idempotencyKeyHeader, priorityHeader} from '@bitternpaddle/protocol';
import {idempotencyKeySchema, sha256} from '@bitternpaddle/state';
import {readBody} from '@bitternpaddle/transport';
import * as z from 'zod';
import {bearerOf} from './admin-api.js';
import {RefusedError, type Call} from './call.js';

export type ReadCallOptions = {
	/** Team ids by the digest of their API key. */
	readonly teams: ReadonlyMap<string, string>;
	readonly defaultDeadlineMs: number;
	isOnce(target: RouteTarget): boolean;
};

/** Upper bound on the duration of an answer, also if the caller gives no deadline. */
const maxDeadlineMs = 600_000;
const bodyLimitBytes = 1024 * 1024;

const chatBodySchema = z.looseObject({model: z.string().min(1), stream: z.boolean().default(false), max_tokens: z.number().int().positive().nullish()});

const defaultAnswerTokens = 256;
const bytesPerToken = 4;
/** Prefill of a prompt token costs an engine about this many times less than decoding a token. */
const prefillDiscount = 10;
const defaultPriority = 1;
/** Prefix affinity is not used for shorter prompts: recomputing them costs less than not using the best endpoint. */
const prefixCharacters = 1024;

/** Reads and validates a caller's request; throws `RefusedError` if it is invalid. */
export const readCall = async (request: http.IncomingMessage, response: http.ServerResponse, {teams, defaultDeadlineMs, isOnce}: ReadCallOptions): Promise<Omit<Call, 'trace'>> => {
	const startedAtMs = performance.now();
	const teamId = identifyTeam(request, teams);
	const deadlineMs = readDeadline(request);
	const body = await readBody(request, bodyLimitBytes);
	const url = request.url!;
	const shared = {
		requestId: randomUUID(), teamId, method: request.method!, contentType: request.headers['content-type'] ?? 'application/json', body,
		idempotencyKey: readIdempotencyKey(request), priority: readPriority(request), response, abort: new AbortController(),
		deadlineAtMs: startedAtMs + (deadlineMs ?? defaultDeadlineMs), endAtMs: startedAtMs + (deadlineMs ?? maxDeadlineMs),
	};
	const service = /^\/services\/([^\/]+)(\/.*)$/v.exec(url);
	if (service !== null) {
		const target: RouteTarget = {type: 'service', serviceId: service[1]!};
		return {
			...shared, target, path: service[2]!, isStream: false, isOnce: isOnce(target), cost: 1, prefixKey: null, promptParts: () => [],
		};
	}

	const parsed = chatBodySchema.safeParse(parseJson(body));
	if (!parsed.success) {
		throw new RefusedError({status: 400, type: 'invalid_request', message: z.prettifyError(parsed.error)});
	}

	return {
		...shared, target: targetOf(parsed.data.model), path: url, isStream: parsed.data.stream, isOnce: false,
		cost: (parsed.data.max_tokens ?? defaultAnswerTokens) + Math.ceil(body.length / bytesPerToken / prefillDiscount), prefixKey: prefixOf(parsed.data),
		promptParts: memoize(() => promptPartsOf(parsed.data)),
	};
};

/** `model/adapter` requests an adapter on top of whichever version of the model is in force. */
const targetOf = (model: string): RouteTarget => {
	const slash = model.indexOf('/');
	return slash === -1 ? {type: 'model', modelId: model} : {type: 'model', modelId: model.slice(0, slash), adapterId: model.slice(slash + 1)};
};

const prefixOf = ({messages, prompt}: z.output<typeof chatBodySchema>): string | null => {
	const text = typeof prompt === 'string' ? prompt : JSON.stringify(messages ?? null);
	return text.length < prefixCharacters ? null : text.slice(0, prefixCharacters);
};

/** Further messages are not told apart from the request itself. */
const maxPromptParts = 16;
const partDigestLength = 16;

/** All messages but the last, which belongs to the request alone. */
const promptPartsOf = ({model, messages}: z.output<typeof chatBodySchema>): PromptPart[] => {
	const shared = Array.isArray(messages) ? messages.slice(0, -1).slice(0, maxPromptParts) : [];
	return [...new Set(shared.map(message => promptPart(model, sha256(JSON.stringify(message)).slice(-partDigestLength))))];
};

const memoize = <Value>(compute: () => Value): () => Value => {
	let value: Value | undefined;
	return () => {
		value ??= compute();
		return value;
	};
};

const readPriority = (request: http.IncomingMessage): number => {
	const text = request.headers[priorityHeader] ?? String(defaultPriority);
	if (!/^[0-3]$/v.test(String(text))) {
		throw new RefusedError({status: 400, type: 'invalid_request', message: `${priorityHeader} is "${String(text)}": expected 0 to 3`});
	}

	return Number(text);
};

/** The caller's own deadline in milliseconds from now, or `null`. */
const readDeadline = (request: http.IncomingMessage): number | null => {
	const text = request.headers[deadlineHeader];
	if (text === undefined) {
		return null;
	}

	const deadlineMs = Number(text);
	if (!Number.isInteger(deadlineMs) || deadlineMs < 1) {
		throw new RefusedError({status: 400, type: 'invalid_request', message: `${deadlineHeader} is "${String(text)}": expected a whole number of milliseconds`});
	}

	return Math.min(deadlineMs, maxDeadlineMs);
};

const readIdempotencyKey = (request: http.IncomingMessage): string | null => {
	const key = request.headers[idempotencyKeyHeader];
	if (key === undefined) {
		return null;
	}

	const parsed = idempotencyKeySchema.safeParse(key);
	if (!parsed.success) {
		throw new RefusedError({status: 400, type: 'invalid_request', message: `${idempotencyKeyHeader}: ${z.prettifyError(parsed.error)}`});
	}

	return parsed.data;
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
