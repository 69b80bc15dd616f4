import {createHash} from 'node:crypto';
import {createReadStream} from 'node:fs';
import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createHttpServer, readBody, sendJson, type HttpServer,
} from '@bitternpaddle/transport';
import * as z from 'zod';
import type {History} from '../history/events.js';
import {
	adapterOrderSchema, fingerprintOf, isAdapterName, type DoneAdapterOrder, type HeldAdapters,
} from './engine-adapters.js';

/** What the engine does wrong until told otherwise. */
export type EngineFaults = {
	/** Wait before each token. */
	stallMs?: number;
	/** End the process under a request with this text, behind so many tokens, and be back empty after `downMs`. */
	endsUnder?: {readonly content: string; readonly afterTokens: number; readonly downMs: number};
	/** Cut the connection after this many tokens. */
	cutAfterTokens?: number;
	/** Answer nothing until this resolves. */
	heldUntil?: Promise<void>;
	/** Take the request and never answer. */
	isSilent?: boolean;
	/** Say nothing more after this many tokens, and keep the connection. */
	silentAfterTokens?: number;
	/** Hold other weights from this token on, as if somebody else had ordered a load. */
	swapAfterTokens?: number;
	/** Answer with the previous request's answer, its request id included, as a connection that mixes up its requests does. */
	isCrossed?: boolean;
	/** Answer from the base alone when an adapter is asked for that it does not hold, instead of refusing. */
	fallsBackToBase?: boolean;
	/** Keep adapters when another base is loaded. */
	keepsAdapters?: boolean;
	/** Wait this long before an order about an adapter is carried out. */
	adapterOrderMs?: number;
};

export type FakeEngineOptions = {
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Whether load orders with an old fencing number are refused. @default true */
	readonly checksFencing?: boolean;
	/** @default 1 */
	readonly tokenMs?: number;
	/** How late the reported load is. @default 200 */
	readonly loadLagMs?: number;
	/** Where runs are recorded, and under which host. */
	readonly recordTo?: {readonly history: History; readonly hostId: string};
};

/** One run of a request, as the engine saw it. */
export type EngineRun = {readonly requestId: string; readonly digest: string; readonly adapterDigest: string | null; readonly startedAtMs: number};

export type FakeEngine = {
	readonly address: string;
	readonly faults: EngineFaults;
	readonly runs: readonly EngineRun[];
	/** Files that it was ordered to load, first to last. */
	readonly loadedFiles: readonly string[];
	/** Digest over the bytes that it really holds. */
	readonly heldDigest: () => string | null;
	/** Adapters that it really holds, by the name that callers give, with the digest over their bytes. */
	readonly heldAdapters: () => ReadonlyMap<string, {readonly digest: string}>;
	/** Orders about adapters that it carried out, first to last. */
	readonly adapterOrders: readonly DoneAdapterOrder[];
	/** Forgets everything, as a restart does. */
	restart(): void;
	/** Loses one adapter. */
	dropAdapter(name: string): void;
	/** Requests that it works on now. */
	readonly running: () => number;
	close(): Promise<void>;
};

const loadSchema = z.object({versionId: z.string(), filePath: z.string(), fencingNumber: z.number().int()});

const chatSchema = z.object({
	model: z.string(),
	messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().max(100_000).default(8),
});

type Loaded = {readonly versionId: string; readonly digest: string; readonly fencingNumber: number};

/**
 * A small model engine: it reads the weights that it is told to load, and
 * answers with the digest of what it read, so that a test sees which bytes
 * gave an answer.
 */
export const createFakeEngine = async (options: FakeEngineOptions = {}): Promise<FakeEngine> => {
	const {listen = '127.0.0.1:0', checksFencing = true, tokenMs = 1, loadLagMs = 200, recordTo} = options;
	const faults: EngineFaults = {};
	const runs: EngineRun[] = [];
	const loadedFiles: string[] = [];
	let loaded: Loaded | null = null;
	const adapters: HeldAdapters = new Map();
	const adapterOrders: DoneAdapterOrder[] = [];
	let running = 0;
	let reportedLoad = {running: 0, atMs: 0};
	let previous = {requestId: '', text: ''};

	const load = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const order = loadSchema.parse(JSON.parse((await readBody(request)).toString()));
		if (checksFencing && loaded !== null && order.fencingNumber < loaded.fencingNumber) {
			sendJson(response, 409, {error: 'old fencing number', fencingNumber: loaded.fencingNumber});
			return;
		}

		const digest = await digestFile(order.filePath);
		loadedFiles.push(order.filePath);
		loaded = {versionId: order.versionId, digest, fencingNumber: order.fencingNumber};
		if (!faults.keepsAdapters) {
			adapters.clear();
		}

		sendJson(response, 200, status());
	};

	/** A checking engine takes an adapter only onto the base that it was made for. */
	const changeAdapters = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const order = adapterOrderSchema.parse(JSON.parse((await readBody(request)).toString()));
		await delay(faults.adapterOrderMs ?? 0);
		if (loaded === null || (checksFencing && order.fencingNumber < loaded.fencingNumber)) {
			sendJson(response, 409, {error: 'old fencing number', fencingNumber: loaded?.fencingNumber ?? 0});
			return;
		}

		if (checksFencing && order.type === 'load' && (order.versionId !== loaded.versionId || order.baseDigest !== loaded.digest)) {
			sendJson(response, 422, {error: `the base is ${loaded.versionId}`});
			return;
		}

		loaded = {...loaded, fencingNumber: Math.max(loaded.fencingNumber, order.fencingNumber)};
		if (order.type === 'load') {
			adapters.set(order.name, {digest: await digestFile(order.filePath)});
		} else {
			adapters.delete(order.name);
		}

		adapterOrders.push({...order, onVersionId: loaded.versionId});
		sendJson(response, 200, status());
	};

	const status = () => {
		if (Date.now() - reportedLoad.atMs > loadLagMs) {
			reportedLoad = {running, atMs: Date.now()};
		}

		return {
			versionId: loaded?.versionId ?? null, digest: loaded?.digest ?? null, fencingNumber: loaded?.fencingNumber ?? 0, running: reportedLoad.running,
			adapters: [...adapters].map(([name, {digest}]) => ({name, digest})),
		};
	};

	const chat = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const parsed = chatSchema.safeParse(JSON.parse((await readBody(request)).toString()));
		if (!parsed.success) {
			sendJson(response, 400, {error: {type: 'invalid_request', message: z.prettifyError(parsed.error)}});
			return;
		}

		if (loaded === null) {
			sendJson(response, 503, {error: {type: 'not_loaded', message: 'no weights are loaded'}});
			return;
		}

		const requestId = String(request.headers['x-request-id'] ?? '');
		const {digest} = loaded;
		const {messages, max_tokens: maxTokens, stream, model} = parsed.data;
		const adapterDigest = adapters.get(model)?.digest ?? null;
		if (adapterDigest === null && isAdapterName(model) && !faults.fallsBackToBase) {
			sendJson(response, 404, {error: {type: 'not_found', message: `no adapter ${model}`}});
			return;
		}

		const ownText = `echo ${messages.at(-1)!.content}`;
		const fingerprint = fingerprintOf(digest, adapterDigest);
		runs.push({
			requestId, digest, adapterDigest, startedAtMs: Date.now(),
		});
		recordTo?.history.record({
			type: 'runStarted', hostId: recordTo.hostId, requestId, echo: ownText, key: null, digest: fingerprint,
		});
		running++;
		response.once('close', () => {
			running--;
		});
		if (faults.isSilent) {
			return;
		}

		await faults.heldUntil;
		const own = {requestId, text: ownText};
		const {requestId: answeredId, text} = faults.isCrossed ? previous : own;
		previous = own;
		const answer = {
			id: answeredId, model, system_fingerprint: fingerprint, created: 0,
		};
		response.setHeader('x-request-id', answeredId);
		response.setHeader('x-engine-digest', digest);
		if (adapterDigest !== null) {
			response.setHeader('x-engine-adapter-digest', adapterDigest);
		}

		await (stream ? streamAnswer(response, answer, text, maxTokens) : wholeAnswer(response, answer, text, maxTokens));
	};

	const swapWeights = (): void => {
		if (loaded !== null) {
			loaded = {...loaded, digest: `sha256:${'0'.repeat(64)}`};
		}
	};

	const wholeAnswer = async (response: http.ServerResponse, answer: Record<string, unknown>, text: string, maxTokens: number): Promise<void> => {
		await delay((tokenMs * maxTokens) + (faults.stallMs ?? 0));
		if (faults.cutAfterTokens !== undefined) {
			response.destroy();
			return;
		}

		if (faults.swapAfterTokens !== undefined) {
			swapWeights();
		}

		sendJson(response, 200, {
			...answer, object: 'chat.completion', choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: 'stop'}],
			usage: {completion_tokens: maxTokens},
		});
	};

	/** The process ends, with all its connections, and starts again without weights. */
	const end = (downMs: number): void => {
		server.destroy();
		loaded = null;
		adapters.clear();
		setTimeout(() => {
			void start(address);
		}, downMs).unref();
	};

	const streamAnswer = async (response: http.ServerResponse, answer: Record<string, unknown>, text: string, maxTokens: number): Promise<void> => {
		response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		const {endsUnder} = faults;
		for (let index = 0; index < maxTokens; index++) {
			if (text === `echo ${endsUnder?.content}` && index === endsUnder?.afterTokens) {
				end(endsUnder.downMs);
				return;
			}

			await delay(tokenMs + (faults.stallMs ?? 0));
			if (index === faults.cutAfterTokens || response.destroyed) {
				response.destroy();
				return;
			}

			if (index === faults.silentAfterTokens) {
				return;
			}

			if (index === faults.swapAfterTokens) {
				swapWeights();
			}

			const content = index === 0 ? text : ` t${index}`;
			response.write(`data: ${JSON.stringify({...answer, object: 'chat.completion.chunk', choices: [{index: 0, delta: {content}, finish_reason: null}]})}\n\n`);
		}

		response.end('data: [DONE]\n\n');
	};

	const serve = async (at: string): Promise<HttpServer> => createHttpServer({
		listen: at,
		async handler(request, response) {
			const route = `${request.method} ${request.url}`;
			switch (route) {
				case 'POST /engine/load': {
					await load(request, response);

					break;
				}

				case 'POST /engine/adapters': {
					await changeAdapters(request, response);

					break;
				}

				case 'GET /engine/status': {
					sendJson(response, 200, status());

					break;
				}

				case 'POST /v1/chat/completions': {
					await chat(request, response);

					break;
				}

				default: {
					sendJson(response, 404, {error: {type: 'not_found', message: route}});
				}
			}
		},
	});
	let server = await serve(listen);
	let isClosed = false;
	const {address} = server;
	const start = async (at: string): Promise<void> => {
		if (!isClosed) {
			server = await serve(at);
		}
	};

	return {
		address,
		faults,
		runs,
		loadedFiles,
		heldDigest: () => loaded?.digest ?? null,
		heldAdapters: () => adapters,
		adapterOrders,
		restart() {
			loaded = null;
			adapters.clear();
		},
		dropAdapter(name) {
			adapters.delete(name);
		},
		running: () => running,
		async close() {
			isClosed = true;
			server.destroy();
		},
	};
};

const digestFile = async (filePath: string): Promise<string> => {
	const hash = createHash('sha256');
	for await (const part of createReadStream(filePath)) {
		hash.update(part as Uint8Array);
	}

	return `sha256:${hash.digest('hex')}`;
};
