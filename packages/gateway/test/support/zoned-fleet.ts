import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import type {IncomingHttpHeaders, IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {gunzipSync} from 'node:zlib';
import {createSuspendAwareClock, type Clock} from '@bitternpaddle/coordination';
import type {Route, RoutingConfiguration} from '@bitternpaddle/state';
import {freeAddresses} from '@bitternpaddle/test-support';
import {
	createHttpServer, createRpcServer, parseAddress, readBody, sendHttp,
} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {protocol} from './single-entry.js';
import {
	createEntryNode, createGatewayMetrics, readParametersSchema, takeRetriesParametersSchema, watchParametersSchema, type Roster,
} from '@bitternpaddle/gateway';

const route: Route = {
	name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 4000, objectiveMs: 100, pauseObjectiveMs: 100, priority: 1,
	targets: [{serviceName: 's', weight: 1}], maxAttempts: 3, isPublic: true, isResumable: true,
};

/** A configuration with a route without a list, one whose list is `routeRegions`, and one whose callers need the key `k`. */
export const configurationWith = (number: number, routeRegions: readonly string[] = [], teamRegions: readonly string[] = []): RoutingConfiguration => ({
	number,
	routes: [
		route, {
			...route, name: 'listed', prefix: '/listed/', allowedRegionIds: routeRegions,
		}, {
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

const eventOf = (id: number): string => `id: ${id}\ndata: word${id}\n\n`;
export const completeStream = [1, 2, 3].map(id => eventOf(id)).join('');

/** What an endpoint does: answers, refuses, asks for a pause, sends nothing, or ends, breaks or interrupts its stream after the first event. */
export type EndpointBehavior = 'answer' | 'refuse' | 'pause' | 'hang' | 'slow' | 'cut' | 'stall';
/** How long an endpoint takes for what it does after the request or the first event arrived; a test changes the rules meanwhile. */
const actionMs = 250;
const stallMs = 2000;

const behave = async (behavior: EndpointBehavior, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const answerHead = {'x-id': request.headers['x-id'], 'x-signature': 's'};
	const firstId = 1 + Number(request.headers['last-event-id'] ?? 0);
	if (behavior === 'refuse' || behavior === 'pause') {
		await delay(behavior === 'refuse' ? actionMs : 0);
		response.writeHead(503, {
			...answerHead, 'x-not-run': '1', 'content-length': 0, ...(behavior === 'pause' && {'retry-after': '0.4'}),
		}).end();
	} else if (behavior !== 'hang') {
		response.writeHead(200, {...answerHead, 'content-type': 'text/event-stream'});
		response.write(eventOf(firstId));
		await delay(behavior === 'answer' ? 0 : (behavior === 'stall' ? stallMs : actionMs));
		if (behavior === 'cut') {
			response.socket?.resetAndDestroy();
		}

		response.end([2, 3].filter(id => id > firstId).map(id => eventOf(id)).join(''));
	}
};

export type Answer = {readonly status: number; readonly text: string; readonly headers: IncomingHttpHeaders};
export type CallOptions = {readonly path?: string; readonly deadlineMs?: number; readonly key?: string};
type Fields = Readonly<Record<string, unknown>>;

export type ZonedFleetOptions = {
	/** The zone of each endpoint. */
	readonly zoneIds: readonly string[];
	readonly configuration?: RoutingConfiguration;
	/** @default 5000 */
	readonly evacuationMs?: number | null;
	/** `null`: a core host of a version without evacuations. @default none are evacuated */
	readonly evacuations?: {readonly revision: number; readonly zoneIds: readonly string[]} | null;
	/** Whether the core host confirms what it holds; the entry is then awaited. @default true */
	readonly isConfirmed?: boolean;
	/** Called with each log event of the entry. */
	onEvent?(event: string): void;
	/** The entry's clock. @default the time since the start, including suspensions */
	readonly clock?: Clock;
	/** @default zone `zN` is in region `rN` */
	readonly regionsByZone?: ReadonlyMap<string, string>;
};

/** Starts an entry, endpoints of a plain service in zones, a stand-in for a core host and one for another entry; both record what they receive. */
export const createZonedFleet = async (t: Test, options: ZonedFleetOptions) => {
	const {zoneIds, regionsByZone = new Map([1, 2, 3].map(number => [`z${number}`, `r${number}`]))} = options;
	const clock = options.clock ?? createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});
	const [core, entry, front, readiness, peer, ...addresses] = await freeAddresses(5 + zoneIds.length);
	/** What the core host says; tests change it while requests run. */
	const state = {
		configuration: options.configuration ?? configurationWith(1), isConfirmed: options.isConfirmed ?? true,
		evacuations: options.evacuations === undefined ? {revision: 0, zoneIds: []} : options.evacuations,
	};
	const received: Buffer[] = [];
	const datagrams: Buffer[] = [];
	const events: Array<{readonly event: string; readonly fields: Fields}> = [];
	const arrivals: Array<{readonly zoneId: string; readonly body: string}> = [];
	const behaviors: EndpointBehavior[] = zoneIds.map(() => 'answer');
	let sequence = 0;

	const roster: Roster = {
		hash: 'h', coreAddresses: [core!], entryCount: 2, followers: [{
			role: 'entry', address: peer!, zoneId: 'z1', regionId: 'r1', endpointAddress: null, serviceName: null,
		}],
	};
	const rpc = createRpcServer();
	rpc.method('gateway.watch', watchParametersSchema, async ({rosterHash, configurationNumber}) => {
		await delay(configurationNumber < state.configuration.number ? 0 : 20);
		sequence++;
		return {
			epoch: 'e', position: 0, zoneId: 'z1', configurationNumber: state.configuration.number, versionsHash: '{}', freshAgeMs: state.isConfirmed ? 0 : null, versions: [],
			announcements: zoneIds.map((zoneId, index) => ({
				id: `e${index}`, serviceName: 's', address: addresses[index]!, zoneId, slots: 8, state: 'ready', models: [], startedAtMs: 0, sequence, ageMs: 0,
			})),
			roster: rosterHash === '' ? roster : null, ...(state.evacuations !== null && {evacuations: state.evacuations}),
		};
	});
	rpc.method('gateway.configuration', readParametersSchema, () => ({number: state.configuration.number, text: JSON.stringify(state.configuration)}));
	let retriesLeft = 100;
	rpc.method('gateway.takeRetries', takeRetriesParametersSchema, ({count}) => {
		const grantedCount = Math.min(count, retriesLeft);
		retriesLeft -= grantedCount;
		return {grantedCount, retryAfterMs: grantedCount < count ? 500 : 0};
	});
	const startCore = async () => createHttpServer({
		listen: core!,
		async handler(request, response) {
			const parts: Buffer[] = [];
			request.on('data', (part: Buffer) => {
				parts.push(part);
			});
			await rpc.serve(request, response);
			const body = Buffer.concat(parts);
			received.push(request.headers['content-encoding'] === 'gzip' ? gunzipSync(body) : body);
		},
	});
	let coreServer = await startCore();
	const peerSocket = dgram.createSocket('udp4').on('message', data => {
		datagrams.push(data);
	});
	await new Promise<void>(resolve => {
		peerSocket.bind(parseAddress(peer!).port, parseAddress(peer!).host, resolve);
	});
	const endpoints = await Promise.all(addresses.map(async (listen, index) => createHttpServer({
		listen,
		async handler(request, response) {
			arrivals.push({zoneId: zoneIds[index]!, body: (await readBody(request)).toString()});
			await behave(behaviors[index]!, request, response);
		},
	})));
	const metrics = createGatewayMetrics();
	const entryNode = await createEntryNode({
		selfAddress: entry!, zoneId: 'z1', regionId: 'r1', regionsByZone, listen: front!, readinessListen: readiness!, seeds: () => [core!],
		clock, metrics, randomSeed: 7,
		protocol: {
			...protocol, decodeConfiguration: text => ({type: 'configuration', configuration: JSON.parse(text) as RoutingConfiguration}),
			readPause: ({'retry-after': text}) => text === undefined ? {type: 'none'} : {type: 'pause', pauseMs: Number(text) * 1000},
		},
		logger: {
			event(event, fields = {}) {
				events.push({event, fields});
				options.onEvent?.(event);
			},
		},
		bounds: {
			revocationMs: 1500, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, graceMs: 2000,
			evacuationMs: options.evacuationMs === undefined ? 5000 : options.evacuationMs,
		},
	});
	t.teardown(() => {
		entryNode.close();
		peerSocket.close();
		for (const server of [coreServer, ...endpoints]) {
			server.destroy();
		}
	});

	/** Sends a request; its id is the first word of the body. `status` is 0 if the connection closed without a complete answer. */
	const call = async (body: string, {path = '/', deadlineMs = 4000, key}: CallOptions = {}): Promise<Answer> => {
		try {
			const response = await sendHttp({
				address: front!, method: 'POST', path, body, idleTimeoutMs: 5000, agent: false, headers: {
					host: 'a.example', 'x-id': body.split(' ', 1)[0], 'x-deadline': String(deadlineMs), ...(key !== undefined && {authorization: `Bearer ${key}`}),
				},
			});
			return {status: response.statusCode!, headers: response.headers, text: (await readBody(response)).toString()};
		} catch (error) {
			return {status: 0, headers: {}, text: (error as Error).message};
		}
	};

	const eventsOf = (event: string, requestId?: string): Fields[] => events.filter(logged => logged.event === event && (requestId === undefined || logged.fields.requestId === requestId))
		.map(({fields}) => fields);
	const until = async (check: () => boolean): Promise<void> => {
		while (!check()) {
			await delay(5);
		}
	};

	await until(() => state.isConfirmed && state.evacuations !== null ? entryNode.isReady() : eventsOf('BP4003').length > 0);
	return {
		state, events, eventsOf, datagrams, received, behaviors, endpoints, entryNode, metrics, call, until,
		zonesOf: (body: string): string[] => arrivals.filter(arrival => arrival.body === body).map(({zoneId}) => zoneId),
		stopCore() {
			coreServer.destroy();
		},
		async startCore() {
			coreServer = await startCore();
		},
	};
};
