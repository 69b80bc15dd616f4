import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import http, {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {gunzipSync} from 'node:zlib';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import type {Route, RoutingConfiguration} from '@bitternpaddle/state';
import {freeAddresses} from '@bitternpaddle/test-support';
import {
	createHttpServer, createRpcServer, parseAddress, readBody, sendHttp, type HttpServer, type Logger,
} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {
	createEntryNode, createGatewayMetrics, readParametersSchema, watchParametersSchema, type Follower, type RequestProtocol, type Roster,
} from '@bitternpaddle/gateway';

const route: Route = {
	name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 4000, objectiveMs: 100, pauseObjectiveMs: 100, priority: 1,
	targets: [{serviceName: 's', weight: 1}], maxAttempts: 3, isPublic: true, isResumable: true,
};

type ConfigurationLists = {readonly routeRegions?: readonly string[]; readonly teamRegions?: readonly string[]};

/** A configuration with a route without a list, one whose list is `routeRegions`, and one whose callers need a key. */
export const configurationWith = (number: number, {routeRegions = [], teamRegions = []}: ConfigurationLists = {}): RoutingConfiguration => ({
	number,
	routes: [
		route,
		{
			...route, name: 'listed', prefix: '/listed/', allowedRegionIds: routeRegions,
		},
		{
			...route, name: 'keyed', prefix: '/keyed/', isPublic: false,
		},
	],
	services: [{
		name: 's', maxConnections: 50, origin: null, engine: null,
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: [{
		name: 'marshals', keys: ['k'], priority: null, allowedRegionIds: teamRegions,
	}],
});

const protocol: RequestProtocol = {
	headers: {
		requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
		urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
	},
	decodeConfiguration: text => ({type: 'configuration', configuration: JSON.parse(text) as RoutingConfiguration}),
	readTokens: () => ({prompt: 100, maxAnswer: 10}),
	readLoad: () => null,
	readLimit: () => ({type: 'unlimited'}),
	readPause: ({'retry-after': text}) => text === undefined ? {type: 'none'} : {type: 'pause', pauseMs: Number(text) * 1000},
	isLeaving: () => false,
};

const eventOf = (id: number): string => `id: ${id}\ndata: word${id}\n\n`;
export const completeStream = [1, 2, 3].map(id => eventOf(id)).join('');

/** What an endpoint does with a request. */
export type EndpointBehavior = 'stream' | 'refuse' | 'pause' | 'hang' | 'cut' | 'stall' | 'slow';

const begin = (request: IncomingMessage, response: ServerResponse): void => {
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': request.headers['x-id'], 'x-signature': 's'});
};

const behave = async (behavior: EndpointBehavior, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const firstId = 1 + Number(request.headers['last-event-id'] ?? 0);
	switch (behavior) {
		case 'stream': {
			begin(request, response);
			response.end([1, 2, 3].filter(id => id >= firstId).map(id => eventOf(id)).join(''));
			break;
		}

		case 'refuse':
		case 'pause': {
			response.writeHead(503, {
				'x-id': request.headers['x-id'], 'x-not-run': '1', 'content-length': 0, ...(behavior === 'pause' && {'retry-after': '0.3'}),
			}).end();
			break;
		}

		case 'hang': {
			break;
		}

		case 'cut':
		case 'stall':
		case 'slow': {
			begin(request, response);
			response.write(eventOf(1));
			await delay(behavior === 'stall' ? 3000 : 250);
			if (behavior === 'cut') {
				response.socket?.resetAndDestroy();
			} else {
				response.end(eventOf(2) + eventOf(3));
			}
		}
	}
};

export type Arrival = {readonly zoneId: string; readonly body: string; readonly atMs: number};
export type Answer = {readonly status: number; readonly text: string; readonly headers: IncomingHttpHeaders};
export type LoggedEvent = {readonly event: string; readonly fields: Readonly<Record<string, unknown>>};

/** What the core host says; tests change it while requests run. */
export type CoreState = {
	configuration: RoutingConfiguration;
	/** `null`: a core host of a version without evacuations. */
	evacuations: {revision: number; zoneIds: string[]} | null;
	isConfirmed: boolean;
};

export type ZonedFleetOptions = {
	/** The zone of each endpoint. */
	readonly zoneIds: readonly string[];
	readonly configuration?: RoutingConfiguration;
	readonly evacuationMs?: number | null;
	/** @default 5000 */
	readonly revocationMs?: number;
	/** Whether a confirmed answer of the core is awaited before the test begins. @default true */
	readonly awaitsReadiness?: boolean;
	readonly initial?: Partial<CoreState>;
	/** @default zone `zN` is in region `rN` */
	readonly regionsByZone?: ReadonlyMap<string, string>;
};

/**
 * Starts an entry, endpoints of a plain service in zones, a stand-in for a core host and one for
 * another entry; both record what they receive.
 */
export const createZonedFleet = async (t: Test, options: ZonedFleetOptions) => {
	const {
		zoneIds, configuration = configurationWith(1), evacuationMs = null, revocationMs = 5000, awaitsReadiness = true, initial = {},
		regionsByZone = new Map([1, 2, 3].map(number => [`z${number}`, `r${number}`])),
	} = options;
	const [core, entry, front, readiness, peer, ...addresses] = await freeAddresses(5 + zoneIds.length);
	const state: CoreState = {
		configuration, evacuations: {revision: 0, zoneIds: []}, isConfirmed: true, ...initial,
	};
	/** Texts and datagrams that other hosts received from the entry. */
	const received: Buffer[] = [];
	const datagrams: Buffer[] = [];
	const events: LoggedEvent[] = [];
	const arrivals: Arrival[] = [];
	const behaviors: EndpointBehavior[] = zoneIds.map(() => 'stream');
	let sequence = 0;

	const follower: Follower = {
		role: 'entry', address: peer!, zoneId: 'z1', regionId: 'r1', endpointAddress: null, serviceName: null,
	};
	const roster: Roster = {
		hash: 'h', coreAddresses: [core!], entryCount: 2, followers: [follower],
	};
	const rpc = createRpcServer();
	rpc.method('gateway.watch', watchParametersSchema, async ({waitMs, rosterHash, configurationNumber}) => {
		await delay(configurationNumber < state.configuration.number ? 0 : Math.min(waitMs, 20));
		sequence++;
		return {
			epoch: 'e', position: 0, zoneId: 'z1', configurationNumber: state.configuration.number, versionsHash: '{}', freshAgeMs: state.isConfirmed ? 0 : null, versions: [],
			...(state.evacuations !== null && {evacuations: state.evacuations}),
			announcements: zoneIds.map((zoneId, index) => ({
				id: `e${index}`, serviceName: 's', address: addresses[index]!, zoneId, slots: 8, state: 'ready', models: [], startedAtMs: 0, sequence, ageMs: 0,
			})),
			roster: rosterHash === '' ? roster : null,
		};
	});
	rpc.method('gateway.configuration', readParametersSchema, () => ({number: state.configuration.number, text: JSON.stringify(state.configuration)}));
	const startCore = async (): Promise<HttpServer> => createHttpServer({
		listen: core!,
		async handler(request, response) {
			const parts: Buffer[] = [];
			request.on('data', (part: Buffer) => {
				parts.push(part);
			});
			request.on('end', () => {
				const body = Buffer.concat(parts);
				received.push(request.headers['content-encoding'] === 'gzip' ? gunzipSync(body) : body);
			});
			await rpc.serve(request, response);
		},
	});
	let coreServer = await startCore();
	const peerSocket = dgram.createSocket('udp4');
	const {host: peerHost, port: peerPort} = parseAddress(peer!);
	peerSocket.on('message', data => {
		received.push(data);
		datagrams.push(data);
	});
	await new Promise<void>(resolve => {
		peerSocket.bind(peerPort, peerHost, resolve);
	});

	const startEndpoint = async (index: number): Promise<http.Server> => {
		const server = http.createServer((request, response) => {
			void readBody(request).then(async body => {
				arrivals.push({zoneId: zoneIds[index]!, body: body.toString(), atMs: performance.now()});
				await behave(behaviors[index]!, request, response);
			}).catch(() => {
				response.destroy();
			});
		});
		const {host, port} = parseAddress(addresses[index]!);
		await new Promise<void>(resolve => {
			server.listen(port, host, resolve);
		});
		return server;
	};

	const endpoints = await Promise.all(zoneIds.map(async (_, index) => startEndpoint(index)));
	const logger: Logger = {
		event(event, fields = {}) {
			events.push({event, fields});
		},
	};
	const metrics = createGatewayMetrics();
	const entryNode = await createEntryNode({
		selfAddress: entry!, zoneId: 'z1', regionId: 'r1', regionsByZone, listen: front!, readinessListen: readiness!,
		seeds: () => [core!], protocol, clock: createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()}), logger, metrics, randomSeed: 7,
		bounds: {
			revocationMs, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, retryReserve: 100, graceMs: 2000, evacuationMs,
		},
	});
	t.teardown(() => {
		entryNode.close();
		coreServer.destroy();
		peerSocket.close();
		for (const endpoint of endpoints) {
			endpoint.closeAllConnections();
			endpoint.close();
		}
	});

	const call = async (body: string, {path = '/', deadlineMs = 4000, key}: {readonly path?: string; readonly deadlineMs?: number; readonly key?: string} = {}): Promise<Answer> => {
		try {
			const response = await sendHttp({
				address: front!, method: 'POST', path, body, idleTimeoutMs: 5000, agent: false, headers: {
					host: 'a.example', 'x-id': body.startsWith('secret') ? 'secret' : body, 'x-deadline': String(deadlineMs), ...(key !== undefined && {authorization: `Bearer ${key}`}),
				},
			});
			const {statusCode: status = 0, headers} = response;
			return {status, headers, text: (await readBody(response)).toString()};
		} catch (error) {
			return {status: 0, headers: {}, text: (error as Error).message};
		}
	};

	if (awaitsReadiness) {
		while (!entryNode.isReady() || (await call('first')).status !== 200) {
			await delay(20);
		}
	}

	return {
		state, events, datagrams, received, behaviors, endpoints, entryNode, call, metrics,
		zonesOf: (body: string): string[] => arrivals.filter(arrival => arrival.body === body).map(({zoneId}) => zoneId),
		/** Resolves once the request waits for an endpoint (BP4028). */
		async waitOf(requestId: string): Promise<void> {
			while (!events.some(({event, fields}) => event === 'BP4028' && fields.requestId === requestId)) {
				await delay(5);
			}
		},
		/** Resolves once the entry has sent a request with this body to an endpoint. */
		async arrivalOf(body: string): Promise<void> {
			while (!arrivals.some(arrival => arrival.body === body)) {
				await delay(10);
			}
		},
		eventsOf: (event: string): Array<LoggedEvent['fields']> => events.filter(logged => logged.event === event).map(({fields}) => fields),
		stopCore() {
			coreServer.destroy();
		},
		async startCore() {
			coreServer = await startCore();
		},
	};
};
