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
	adapterOrderSchema, fingerprintOf, isAdapterName, type ExecutedAdapterOrder, type LoadedAdapters,
} from './engine-adapters.js';

/** Faults that the engine simulates while they are set. */
export type EngineFaults = {
	/** Additional delay before each token. */
	stallMs?: number;
	/** Crash on a request with this text, after this many tokens, and restart without weights after `downMs`. */
	crashesOn?: {readonly content: string; readonly afterTokens: number; readonly downMs: number};
	/** Like `crashesOn`, before the first token, if any message has this content; counts the crashes. */
	crashesOnMessage?: {readonly content: string; readonly downMs: number; crashes: number};
	/** Close the connection after this many tokens. */
	cutAfterTokens?: number;
	/** Hold all answers until this resolves. */
	heldUntil?: Promise<void>;
	/** Accept the request and never respond. */
	isSilent?: boolean;
	/** Send no more data after this many tokens, and keep the connection open. */
	silentAfterTokens?: number;
	/** Hold other weights from this token on, as if a third party had sent a load command. */
	swapAfterTokens?: number;
	/** Send the previous request's answer, including its request id, as a connection that mixes up its requests does. */
	sendsPreviousAnswer?: boolean;
	/** Answer from the base alone if a request names an adapter that is not loaded, instead of refusing it. */
	fallsBackToBase?: boolean;
	/** Keep the adapters when another base is loaded. */
	keepsAdapters?: boolean;
	/** Delay before an adapter command is executed. */
	adapterOrderMs?: number;
	/** Delay between the acceptance of a load command, with the check of its fencing number, and the reading of its file. */
	loadMs?: number;
	/** Delay before the status is reported. */
	statusMs?: number;
	/** Execute load and adapter commands, and close the connection without an answer. */
	losesOrderAnswers?: boolean;
};

export type FakeEngineOptions = {
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Whether load commands with an old fencing number are refused. @default true */
	readonly checksFencing?: boolean;
	/** @default 1 */
	readonly tokenMs?: number;
	/** Maximum age of the reported load. @default 200 */
	readonly loadLagMs?: number;
	/** The history in which runs are recorded, and the host id in these records. */
	readonly recordTo?: {readonly history: History; readonly hostId: string};
};

/** One run of a request, as recorded by the engine. */
export type EngineRun = {readonly requestId: string; readonly digest: string; readonly adapterDigest: string | null; readonly startedAtMs: number};

export type FakeEngine = {
	readonly address: string;
	readonly faults: EngineFaults;
	readonly runs: readonly EngineRun[];
	/** Files of the executed load commands, in order. */
	readonly loadedFiles: readonly string[];
	/** Number of load commands that are accepted and not yet executed. */
	readonly pendingLoads: () => number;
	/** Digest of the bytes that the engine actually holds. */
	readonly heldDigest: () => string | null;
	/** Adapters that the engine actually holds, by the name that callers use, with the digest of their bytes. */
	readonly heldAdapters: () => ReadonlyMap<string, {readonly digest: string}>;
	/** Executed adapter commands, in order. */
	readonly adapterOrders: readonly ExecutedAdapterOrder[];
	/** Drops the weights and adapters, as a restart does. */
	restart(): void;
	/** Drops one adapter. */
	dropAdapter(name: string): void;
	/** Number of requests that are running. */
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
 * Creates a small model engine: it reads the weights that it is ordered to load, and
 * puts the digest of what it read into its answers, so that a test sees which
 * weights an answer came from.
 */
export const createFakeEngine = async (options: FakeEngineOptions = {}): Promise<FakeEngine> => {
	const {listen = '127.0.0.1:0', checksFencing = true, tokenMs = 1, loadLagMs = 200, recordTo} = options;
	const faults: EngineFaults = {};
	const runs: EngineRun[] = [];
	const loadedFiles: string[] = [];
	let loaded: Loaded | null = null;
	const adapters: LoadedAdapters = new Map();
	const adapterOrders: ExecutedAdapterOrder[] = [];
	let running = 0;
	let pendingLoads = 0;
	let reportedLoad = {running: 0, atMs: 0};
	let previous = {requestId: '', text: ''};

	const load = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const order = loadSchema.parse(JSON.parse((await readBody(request)).toString()));
		if (checksFencing && loaded !== null && order.fencingNumber < loaded.fencingNumber) {
			sendJson(response, 409, {error: 'old fencing number', fencingNumber: loaded.fencingNumber});
			return;
		}

		pendingLoads++;
		let digest: string;
		try {
			await delay(faults.loadMs ?? 0);
			digest = await digestFile(order.filePath);
		} finally {
			pendingLoads--;
		}

		loadedFiles.push(order.filePath);
		loaded = {versionId: order.versionId, digest, fencingNumber: order.fencingNumber};
		if (!faults.keepsAdapters) {
			adapters.clear();
		}

		answerOrder(response);
	};

	const answerOrder = (response: http.ServerResponse): void => {
		if (faults.losesOrderAnswers) {
			response.destroy();
			return;
		}

		sendJson(response, 200, status());
	};

	/** With `checksFencing`, the engine accepts an adapter only with the base that it was made for. */
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
		answerOrder(response);
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
		const {crashesOnMessage} = faults;
		if (crashesOnMessage !== undefined && messages.some(({content}) => content === crashesOnMessage.content)) {
			crashesOnMessage.crashes++;
			crash(crashesOnMessage.downMs);
			return;
		}

		const ownAnswer = {requestId, text: ownText};
		const {requestId: answeredId, text} = faults.sendsPreviousAnswer ? previous : ownAnswer;
		previous = ownAnswer;
		const answer = {
			id: answeredId, model, system_fingerprint: fingerprint, created: 0,
		};
		response.setHeader('x-request-id', answeredId);
		response.setHeader('x-engine-digest', digest);
		if (adapterDigest !== null) {
			response.setHeader('x-engine-adapter-digest', adapterDigest);
		}

		await (stream ? streamAnswer(response, answer, text, maxTokens) : sendAnswer(response, answer, text, maxTokens));
	};

	const swapWeights = (): void => {
		if (loaded !== null) {
			loaded = {...loaded, digest: `sha256:${'0'.repeat(64)}`};
		}
	};

	const sendAnswer = async (response: http.ServerResponse, answer: Record<string, unknown>, text: string, maxTokens: number): Promise<void> => {
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

	/** Simulates a crash of the process: closes all connections and restarts without weights. */
	const crash = (downMs: number): void => {
		server.destroy();
		loaded = null;
		adapters.clear();
		setTimeout(() => {
			void start(address);
		}, downMs).unref();
	};

	const streamAnswer = async (response: http.ServerResponse, answer: Record<string, unknown>, text: string, maxTokens: number): Promise<void> => {
		response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		const {crashesOn: endsUnder} = faults;
		for (let index = 0; index < maxTokens; index++) {
			if (text === `echo ${endsUnder?.content}` && index === endsUnder?.afterTokens) {
				crash(endsUnder.downMs);
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

	const serve = async (listenAddress: string): Promise<HttpServer> => createHttpServer({
		listen: listenAddress,
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
					await delay(faults.statusMs ?? 0);
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
	const start = async (listenAddress: string): Promise<void> => {
		if (!isClosed) {
			server = await serve(listenAddress);
		}
	};

	return {
		address,
		faults,
		runs,
		loadedFiles,
		pendingLoads: () => pendingLoads,
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
