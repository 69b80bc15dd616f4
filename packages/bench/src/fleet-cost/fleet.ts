import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	configurationResultSchema, createDatagramSender, createLoadSender, createSendingSocket, digestIntervalMs, relaysPerZone, watchParametersSchema,
	type Follower, type LoadReport, type ReportDelivery, type WatchResult,
} from '@bitternpaddle/gateway';
import {
	callRpc, createHttpServer, createRpcServer, parseAddress, type HttpServer,
} from '@bitternpaddle/transport';
import * as z from 'zod';
import {
	coreCount, entryCountOf, serviceName, zoneOf, zones,
} from './deployment.js';

/** Fake hosts that stand for the other hosts of a fleet. */
export type FakePeers = {close(): void};

/** Creates a sequence counter, so that each message is newer than the one before. */
const createCounter = (): {next(): number} => {
	let count = 0;
	return {
		next() {
			count++;
			return count;
		},
	};
};

const reportIntervalMs = 100;
const announceIntervalMs = 1200;
const watchWaitMs = {entry: 700, agent: 4000} as const;
const slots = 8;
const msPerSecond = 1000;

const endpointPort = 7780;

const endpointAddressOf = (index: number): string => `127.1.${Math.floor(index / 200)}.${1 + (index % 200)}:${endpointPort}`;

const engineIdOf = (index: number): string => `engine-${index}`;

const followersOf = (engineCount: number): Follower[] => [
	...Array.from({length: engineCount}, (_, index): Follower => ({
		role: 'agent', address: `127.2.${Math.floor(index / 200)}.${1 + (index % 200)}:7700`, zoneId: zoneOf(index), regionId: zoneOf(index),
		endpointAddress: endpointAddressOf(index), serviceName,
	})),
	...Array.from({length: entryCountOf(engineCount)}, (_, index): Follower => ({
		role: 'entry', address: `127.3.${Math.floor(index / 200)}.${1 + (index % 200)}:7700`, zoneId: zoneOf(index), regionId: zoneOf(index), endpointAddress: null, serviceName: null,
	})),
];

const announcementsOf = (engineCount: number, sequence: number): WatchResult['announcements'] => Array.from({length: engineCount}, (_, index) => ({

	id: engineIdOf(index), serviceName, address: endpointAddressOf(index), zoneId: zoneOf(index), slots, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence, ageMs: 5,
}));

/** Starts core hosts that report `engineCount` engines, and the roster of all followers, to an entry or an agent. */
export const startCores = async (addresses: readonly string[], engineCount: number): Promise<FakePeers> => {
	const counter = createCounter();
	const roster = {
		hash: 'all', coreAddresses: [...addresses], entryCount: entryCountOf(engineCount), followers: followersOf(engineCount),
	};
	const servers: HttpServer[] = [];
	for (const [index, address] of addresses.entries()) {
		const rpc = createRpcServer();
		rpc.method('gateway.watch', watchParametersSchema, async ({waitMs, rosterHash, follower}): Promise<WatchResult> => {
			await delay(waitMs);
			const sequence = counter.next();
			return {
				epoch: 'e', position: sequence, announcements: follower.role === 'agent' ? [] : announcementsOf(engineCount, sequence),
				zoneId: zones[index]!, configurationNumber: 1, versionsHash: '{}', freshAgeMs: 5, versions: [{model: 'm', version: 1, ageMs: 20_000}],
				roster: rosterHash === null || rosterHash === roster.hash ? null : roster, evacuations: {revision: 0, zoneIds: []},
			};
		});
		rpc.method('gateway.configuration', z.object({}), () => configurationResultSchema.parse({number: 1, text: '{}'}));
		rpc.method('gateway.permit', z.object({}), () => ({isGranted: false}));
		servers.push(await createHttpServer({listen: address, handler: async (request, response) => rpc.serve(request, response)}));
	}

	return {
		close() {
			for (const server of servers) {
				server.destroy();
			}
		},
	};
};

/** Sends the load reports of `engineCount` agents to one entry: agents of its own zone send them directly, the others through two relays per zone. */
export const startReports = (address: string, engineCount: number): FakePeers => {
	const socket = createSendingSocket();
	const sender = createLoadSender(createDatagramSender(socket));
	let sequence = 0;
	const reportOf = (index: number, delivery: ReportDelivery): LoadReport => ({
		epoch: 1, sequence, endpointAddress: endpointAddressOf(index), delivery, report: {
			running: (sequence + index) % slots, queued: 0, pace: 1, isBusy: false, isStrained: false, readyInMs: null,
			weights: {
				type: 'whole', version: 1, engineId: engineIdOf(index), startedAtMs: null,
			},
		},
	});
	const indexes = Array.from({length: engineCount}, (_, index) => index);
	const reporting = setInterval(() => {
		sequence++;
		for (const index of indexes.filter(engine => zoneOf(engine) === zones[0])) {
			sender.send({kind: 'near', reports: [reportOf(index, {type: 'direct', sentAtMs: performance.now()})]}, [address]);
		}
	}, reportIntervalMs);
	const relaying = setInterval(() => {
		for (const zone of zones.slice(1)) {
			const reports = indexes.filter(engine => zoneOf(engine) === zone).map(index => reportOf(index, {type: 'relayed', ageMs: reportIntervalMs / 2, delayMs: 0}));
			sender.send({kind: 'passed', reports}, [address]);
		}
	}, digestIntervalMs / relaysPerZone);
	return {
		close() {
			clearInterval(reporting);
			clearInterval(relaying);
			socket.close();
		},
	};
};

/** Starts all followers of one core host, which receives the announcements of engines from the core hosts of `startAnnouncers`. */
export const startFollowers = (address: string, engineCount: number): FakePeers => {
	const abortController = new AbortController();
	const agent = new http.Agent({keepAlive: true});
	const follow = async (follower: Follower, waitMs: number): Promise<void> => {
		const known = {
			epoch: '', position: 0, rosterHash: '', versionsHash: '',
		};
		while (!abortController.signal.aborted) {
			try {
				const answer = await callRpc<WatchResult>({
					address, agent, method: 'gateway.watch', isCompressed: true, timeoutMs: waitMs + 2000,
					params: {
						...known, follower, waitMs: known.epoch === '' ? 0 : waitMs, configurationNumber: 1,
					},
				});
				Object.assign(known, {
					epoch: answer.epoch, position: answer.position, rosterHash: answer.roster?.hash ?? known.rosterHash, versionsHash: answer.versionsHash,
				});
			} catch {
				// The core host is not listening yet or has just been terminated.
				await delay(reportIntervalMs);
			}
		}
	};

	for (const follower of followersOf(engineCount)) {
		void follow(follower, watchWaitMs[follower.role === 'agent' ? 'agent' : 'entry']);
	}

	return {
		close() {
			abortController.abort();
			agent.destroy();
		},
	};
};

/** Starts core hosts beside the measured one that forward the announcements of engines, each of which announces itself to one core host. */
export const startAnnouncers = async (addresses: readonly string[], engineCount: number): Promise<FakePeers> => {
	const counter = createCounter();
	const servers: HttpServer[] = [];
	for (const [index, address] of addresses.entries()) {
		const rpc = createRpcServer();
		rpc.method('gateway.watch', watchParametersSchema, async ({waitMs}): Promise<WatchResult> => {
			await delay(Math.min(waitMs, announceIntervalMs));
			const sequence = counter.next();
			return {
				epoch: `e${index}`, position: sequence, announcements: announcementsOf(engineCount, sequence).filter((_, number) => number % coreCount === index + 1), zoneId: zones[index + 1]!,
				configurationNumber: 1, versionsHash: '{}', freshAgeMs: null, versions: [], roster: null, evacuations: null,
			};
		});
		servers.push(await createHttpServer({listen: address, handler: async (request, response) => rpc.serve(request, response)}));
	}

	return {
		close() {
			for (const server of servers) {
				server.destroy();
			}
		},
	};
};

const eventsPerAnswer = 15;
const eventIntervalMs = 70;
const event = `data: ${'x'.repeat(100)}\n\n`;

const streamAnswer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	request.resume();
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': request.headers['x-id'], 'x-signature': 's'});
	for (let id = 1; id <= eventsPerAnswer && !response.destroyed; id++) {
		response.write(`id: ${id}\n${event}`);
		await delay(eventIntervalMs);
	}

	response.end();
};

/** Starts engines that answer every request with a stream. */
export const startEngines = async (engineCount: number): Promise<FakePeers> => {
	const servers: HttpServer[] = [];
	for (let index = 0; index < engineCount; index++) {
		servers.push(await createHttpServer({listen: endpointAddressOf(index), handler: streamAnswer}));
	}

	return {
		close() {
			for (const server of servers) {
				server.destroy();
			}
		},
	};
};

/** Starts callers of one entry that send `requestsPerSecond` streaming requests over keep-alive connections. */
export const startCallers = (address: string, requestsPerSecond: number): FakePeers => {
	const {host, port} = parseAddress(address);
	const agent = new http.Agent({keepAlive: true});
	let count = 0;
	const timer = setInterval(() => {
		count++;
		const request = http.request({
			host, port, agent, method: 'POST', path: '/x', headers: {host: 'a.example', 'x-id': `r${count}`, 'x-deadline': '6000'},
		}, response => {
			response.resume();
		});
		// The entry is not listening yet or has just been terminated.
		request.on('error', () => undefined);
		request.end('x'.repeat(400));
	}, msPerSecond / requestsPerSecond);
	return {
		close() {
			clearInterval(timer);
			agent.destroy();
		},
	};
};

/** Starts an engine whose state an agent polls. */
export const startEngine = async (address: string): Promise<FakePeers> => {
	let checks = 0;
	const server = await createHttpServer({
		listen: address,
		async handler(request, response) {
			request.resume();
			checks++;
			const text = JSON.stringify({
				running: checks % slots, queued: 0, pace: 1, isBusy: false, orderCount: 0, startedAtMs: null, models: [{model: 'm', version: 1}],
			});
			response.writeHead(200, {'content-type': 'application/json', 'content-length': text.length}).end(text);
		},
	});
	return {
		close() {
			server.destroy();
		},
	};
};
