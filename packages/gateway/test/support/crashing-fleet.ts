import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import type {Route, RoutingConfiguration} from '@bitternpaddle/state';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {
	parseAddress, readBody, sendHttp, silentLogger, type Logger,
} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {
	createCoreNode, createEntryNode, createGatewayMetrics, createLoadReporter, type CoreNode, type EntryNode, type RequestProtocol,
} from '@bitternpaddle/gateway';

const route: Route = {
	name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 15_000, objectiveMs: 400, pauseObjectiveMs: 300, priority: 1,
	targets: [{serviceName: 's', weight: 1}], maxAttempts: 2, isPublic: true, isResumable: true,
};

const configuration: RoutingConfiguration = {
	number: 1,
	routes: [route, {
		...route, name: 'unsafe', prefix: '/unsafe/', isResumable: false,
	}, {
		...route, name: 'keyed', prefix: '/keyed/', isPublic: false,
	}],
	services: [{
		name: 's', maxConnections: 50, origin: null, engine: {
			slots: 16, stepsPerPass: 2, stepMs: 5, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 30_000, usualPromptTokens: 100, usualAnswerTokens: 10,
			kvCapacityTokens: 100_000, model: 'm', chunks: 1, chunkBytes: 1, loadMs: 0,
		},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: [{name: 'marshals', keys: ['marshals-key'], priority: null}, {name: 'vendors', keys: ['vendors-key'], priority: null}],
};

const withColdStart = (perSecond: number | null): RoutingConfiguration => ({
	...configuration, services: configuration.services.map(service => ({...service, coldStart: perSecond === null ? null : {durationMs: 3000, perSecond}})),
});

const protocol: RequestProtocol = {
	headers: {
		requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
		urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
	},
	decodeConfiguration: () => ({type: 'configuration', configuration}),
	readTokens: () => ({prompt: 100, maxAnswer: 10}),
	readPromptParts: ({'x-parts': text}) => text === undefined ? [] : String(text).split(',').slice(0, -1),
	readLoad: () => null,
	isLeaving: headers => headers['x-leaving'] === '1',
	readPause: ({'retry-after': text}) => text === undefined ? {type: 'none'} : {type: 'pause', pauseMs: Number(text) * 1000},
	readLimit: ({'x-limit': limit}) => limit === undefined ? {type: 'unlimited'} : {type: 'limited', perSecond: Number(limit)},
};

/** What tells the end of an answer. */
export type Framing = 'chunks' | 'length' | 'connection';

/** How an engine handles a request. */
export type EngineBehavior
	= | {
		readonly type: 'stream'; /** Delay between the three events. */ readonly pauseMs: number; /** Delay before the answer begins. @default 0 */ readonly delayMs?: number;
		/** @default 'chunks' */
		readonly framing?: Framing;
	}
		/** Like `stream`, with an answer that is not an event stream. */
	| {readonly type: 'plain'; readonly delayMs: number; readonly framing: Framing}
	| {
		readonly type: 'crash'; readonly afterMs: number; /** Sent before the engine crashes. */ readonly events: number;
		/** @default 'chunks' */
		readonly framing?: Framing;
		/** Whether the answer is no event stream. @default false */
		readonly isPlain?: boolean;
		/** Whether its connections are closed instead of reset. @default false */
		readonly closesConnections?: boolean;
	}
		/** The connection is reset; the engine keeps running. */
	| {readonly type: 'loseAnswer'}
		/** No answer is sent and the connection stays open. */
	| {readonly type: 'hang'}
		/** Bytes as they are, after which the connection stays open; `ID` stands for the id of the request. */
	| {readonly type: 'raw'; readonly text: string}
		/** Refused without being run. */
	| {readonly type: 'refuse'; readonly status: number; /** Delay before the refusal. @default 0 */ readonly delayMs?: number};

export type Arrival = {readonly requestId: string; readonly body: string; readonly engine: number; readonly atMs: number};

export type CrashingFleetOptions = {
	/** @default 1 */
	readonly entryCount?: number;
	/** @default 6 */
	readonly engineCount?: number;
	/** How long a crashed engine is down. @default 600 */
	readonly downMs?: number;
	behaviorOf(body: string, headers: http.IncomingHttpHeaders, engine: number): EngineBehavior;
	/** Additional headers of every answer of an engine. @default none */
	answerHeaders?(engine: number): http.OutgoingHttpHeaders;
	readonly logger?: Logger;
	/** Requests per second that each engine accepts while it is cold, which it stays. @default the engines are warm */
	readonly coldPerSecond?: number;
};

export type CallOptions = {
	/** @default 0 */
	readonly entry?: number;
	/** @default '/draft/1' */
	readonly path?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
	readonly headers?: http.OutgoingHttpHeaders;
	readonly signal?: AbortSignal;
};

export type CallAnswer = {readonly status: number; readonly text: string; readonly headers: http.IncomingHttpHeaders};

export type CrashingFleet = {
	readonly arrivals: Arrival[];
	/** Exits of engines. */
	readonly ends: Array<{readonly engine: number; readonly atMs: number}>;
	readonly entries: EntryNode[];
	/** `status` is 0 if the connection closed without a complete answer. */
	call(requestId: string, body: string, options?: CallOptions): Promise<CallAnswer>;
	/** Crashes an engine; it restarts with a new id after `downMs`. */
	crash(engine: number): void;
	/** Replaces an entry by a new one at the same address. */
	restartEntry(entry: number): Promise<void>;
	arrivalsOf(body: string): Arrival[];
};

/** An engine at a fixed address; `id` and `server` change with each start. */
type Engine = {
	id: string;
	sequence: number;
	server: http.Server | null;
	readonly address: string;
};

const reportMs = 50;
const announceMs = 50;
/** Remaining time that each announcement of a cold engine states. */
const coldForMs = 3000;
const firstMs = 20;

const event = (id: number): string => `id: ${id}\ndata: word${id}\n\n`;
const eventIds = [1, 2, 3] as const;
const plainBody = 'a plain answer';
const streamBytes = eventIds.map(id => event(id)).join('').length;

/** Creates engines that crash on some requests, entries and a core host, all in this process. */
export const createCrashingFleet = async (t: Test, options: CrashingFleetOptions): Promise<CrashingFleet> => {
	const {
		entryCount = 1, engineCount = 6, downMs = 600, behaviorOf, answerHeaders = () => ({}), logger = silentLogger, coldPerSecond = null,
	} = options;
	const [core, ...addresses] = await freeAddresses(1 + (3 * entryCount) + engineCount);
	const entryAddresses = addresses.slice(0, entryCount);
	const fronts = addresses.slice(entryCount, 2 * entryCount);
	const readiness = addresses.slice(2 * entryCount, 3 * entryCount);
	const arrivals: Arrival[] = [];
	const ends: Array<{engine: number; atMs: number}> = [];
	const timers = new Set<NodeJS.Timeout>();
	const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});
	let starts = 0;
	let isClosed = false;
	const engines: Engine[] = addresses.slice(3 * entryCount).map(address => ({
		id: '', sequence: 0, server: null, address,
	}));

	const later = (work: () => void, ms: number): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			work();
		}, ms);
		timers.add(timer);
	};

	const crash = (index: number, closesConnections = false): void => {
		const engine = engines[index]!;
		if (engine.server === null) {
			return;
		}

		ends.push({engine: index, atMs: performance.now()});
		engine.server.close();
		for (const socket of sockets.get(engine.server)!) {
			if (closesConnections) {
				socket.destroySoon();
			} else {
				socket.resetAndDestroy();
			}
		}

		engine.server = null;
		report(engine);
		later(() => {
			void start(index);
		}, downMs);
	};

	const stream = (response: ServerResponse, pauseMs: number): void => {
		for (const id of eventIds) {
			later(() => {
				response.write(event(id));
				if (id === 3) {
					response.end();
				}
			}, firstMs + ((id - 1) * pauseMs));
		}
	};

	const begin = (index: number, requestId: string, response: ServerResponse, {framing = 'chunks', isPlain = false}: {readonly framing?: Framing; readonly isPlain?: boolean} = {}): void => {
		if (framing === 'connection') {
			response.removeHeader('transfer-encoding');
		}

		response.writeHead(200, {
			'content-type': isPlain ? 'text/plain' : 'text/event-stream', 'x-id': requestId, 'x-signature': 's', ...answerHeaders(index),
			...(framing === 'length' && {'content-length': isPlain ? plainBody.length : streamBytes}),
		});
	};

	const refuse = (index: number, requestId: string, response: ServerResponse, status: number): void => {
		response.writeHead(status, {
			'x-id': requestId, 'x-not-run': '1', 'content-length': 0, ...answerHeaders(index),
		}).end();
	};

	const run = (index: number, requestId: string, response: ServerResponse, behavior: EngineBehavior): void => {
		switch (behavior.type) {
			case 'stream': {
				later(() => {
					begin(index, requestId, response, behavior);
					stream(response, behavior.pauseMs);
				}, behavior.delayMs ?? 0);
				break;
			}

			case 'plain': {
				later(() => {
					begin(index, requestId, response, {...behavior, isPlain: true});
					response.end(plainBody);
				}, behavior.delayMs);
				break;
			}

			case 'crash': {
				begin(index, requestId, response, behavior);
				response.flushHeaders();
				for (let id = 1; id <= behavior.events; id++) {
					response.write(event(id));
				}

				const {server} = engines[index]!;
				later(() => {
					// Another request may already have crashed this start.
					if (engines[index]!.server === server) {
						crash(index, behavior.closesConnections);
					}
				}, behavior.afterMs);
				break;
			}

			case 'loseAnswer': {
				response.socket?.resetAndDestroy();
				break;
			}

			case 'hang': {
				break;
			}

			case 'raw': {
				response.socket!.write(behavior.text.replaceAll('ID', requestId));
				break;
			}

			case 'refuse': {
				later(() => {
					refuse(index, requestId, response, behavior.status);
				}, behavior.delayMs ?? 0);
				break;
			}
		}
	};

	const serve = async (index: number, id: string, request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const body = (await readBody(request)).toString();
		const requestId = String(request.headers['x-id']);
		arrivals.push({
			requestId, body, engine: index, atMs: performance.now(),
		});
		if (request.headers['x-expect'] === id) {
			run(index, requestId, response, behaviorOf(body, request.headers, index));
			return;
		}

		refuse(index, requestId, response, 421);
	};

	const sockets = new Map<http.Server, Set<Socket>>();
	const start = async (index: number): Promise<void> => {
		const engine = engines[index]!;
		starts++;
		const id = `e${index}-${starts}`;
		const server = http.createServer((request, response) => {
			serve(index, id, request, response).catch(() => {
				response.destroy();
			});
		});
		const open = new Set<Socket>();
		sockets.set(server, open);
		server.on('connection', socket => {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
			});
		});
		const {host, port} = parseAddress(engine.address);
		await new Promise<void>(resolve => {
			server.listen(port, host, resolve);
		});
		if (isClosed) {
			server.close();
			return;
		}

		engine.id = id;
		engine.sequence = 0;
		engine.server = server;
		announce(engine);
		report(engine);
	};

	const coreNode: CoreNode = await createCoreNode({
		selfAddress: core!, zoneId: 'z', regionId: 'r', folder: path.join(testFolder(t), 'core'), isFirstStart: true, seeds: () => [core!], toleratedLosses: 0, clock,
		logger: silentLogger, retryTerms: {share: 0.2, reserve: 100, windowMs: 10_000},
	});
	const createEntry = async (index: number): Promise<EntryNode> => createEntryNode({
		selfAddress: entryAddresses[index]!, zoneId: 'z', regionId: 'r', listen: fronts[index]!, readinessListen: readiness[index]!, seeds: () => [core!], clock, logger,
		protocol: {...protocol, decodeConfiguration: () => ({type: 'configuration', configuration: withColdStart(coldPerSecond)})},
		randomSeed: 7 + index, metrics: createGatewayMetrics(),
		bounds: {
			revocationMs: 5000, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, graceMs: 2000,
		},
	});
	const entries = await Promise.all(fronts.map(async (_, index) => createEntry(index)));
	const zonedEntries = entryAddresses.map(address => ({address, zoneId: 'z'}));
	const reporters = engines.map(({address}) => createLoadReporter({endpointAddress: address, zoneId: 'z', entries: () => zonedEntries}));

	const report = (engine: Engine): void => {
		reporters[engines.indexOf(engine)]!.send(engine.server === null
			? null
			: {
				running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, readyInMs: null, weights: {
					type: 'whole', version: 1, engineId: engine.id, startedAtMs: null,
				},
			}, true);
	};

	const announce = (engine: Engine): void => {
		engine.sequence++;
		coreNode.announce({
			id: engine.id, serviceName: 's', address: engine.address, zoneId: 'z', slots: 16, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence: engine.sequence,
			coldForMs: coldPerSecond === null ? 0 : coldForMs,
		});
	};

	await Promise.all(engines.map(async (_, index) => start(index)));
	const ticks = setInterval(() => {
		for (const engine of engines) {
			report(engine);
			if (engine.server !== null) {
				announce(engine);
			}
		}
	}, Math.min(reportMs, announceMs));
	t.teardown(async () => {
		isClosed = true;
		clearInterval(ticks);
		for (const timer of timers) {
			clearTimeout(timer);
		}

		for (const reporter of reporters) {
			reporter.close();
		}

		for (const entry of entries) {
			entry.close();
		}

		await coreNode.close();
		for (const {server} of engines) {
			server?.closeAllConnections();
			server?.close();
		}
	});

	const call: CrashingFleet['call'] = async (requestId, body, {entry = 0, path: callPath = '/draft/1', key, deadlineMs = 15_000, headers = {}, signal} = {}) => {
		try {
			const response = await sendHttp({
				address: fronts[entry]!, method: 'POST', path: callPath, body, idleTimeoutMs: 5000, signal, agent: false, headers: {
					host: 'a.example', 'x-id': requestId, 'x-deadline': String(deadlineMs), ...(key !== undefined && {authorization: `Bearer ${key}`}), ...headers,
				},
			});
			return {status: response.statusCode!, text: (await readBody(response)).toString(), headers: response.headers};
		} catch {
			return {status: 0, text: '', headers: {}};
		}
	};

	while (await coreNode.submit({kind: 'configuration', number: 1, text: '{}'}) === 'unknown') {
		await delay(30);
	}

	const awaitFirstAnswer = async (entry: number): Promise<void> => {
		while (!entries[entry]!.isReady() || (await call('first', 'first', {entry})).status !== 200) {
			await delay(30);
		}
	};

	await Promise.all(entries.map(async (_, index) => awaitFirstAnswer(index)));
	return {
		arrivals, ends, entries, call, crash,
		async restartEntry(entry) {
			entries[entry]!.close();
			await delay(50);
			entries[entry] = await createEntry(entry);
			await awaitFirstAnswer(entry);
		},
		arrivalsOf: body => arrivals.filter(arrival => arrival.body === body),
	};
};
