import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	configurationResultSchema, createDatagramSender, createLoadSender, createSendingSocket, digestEveryMs, relaysPerZone, watchParametersSchema,
	type Follower, type LoadReport, type ReportWay, type WatchResult,
} from '@bitternpaddle/gateway';
import {
	callRpc, createHttpServer, createRpcServer, parseAddress, type HttpServer,
} from '@bitternpaddle/transport';
import * as z from 'zod';
import {
	coreCount, entryCountOf, serviceName, zoneOf, zones,
} from './deployment.js';

/** Whoever speaks for the others of a fleet. */
export type Fleet = {close(): void};

/** Numbers what is told, so that each is newer than the one before. */
const createCounter = (): {next(): number} => {
	let count = 0;
	return {
		next() {
			count++;
			return count;
		},
	};
};

const reportMs = 100;
const announceMs = 1200;
const followMs = {entry: 700, agent: 4000} as const;
const slots = 8;
const msPerSecond = 1000;

const endpointPort = 7780;

const endpointAddressOf = (index: number): string => `127.1.${Math.floor(index / 200)}.${1 + (index % 200)}:${endpointPort}`;

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

	id: `engine-${index}`, serviceName, address: endpointAddressOf(index), zoneId: zoneOf(index), slots, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence, ageMs: 5,
}));

/** Core hosts that tell an entry or an agent of `engineCount` engines, and of all who follow them. */
export const startCores = async (addresses: readonly string[], engineCount: number): Promise<Fleet> => {
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
				roster: rosterHash === null || rosterHash === roster.hash ? null : roster,
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

/** The load reports of `engineCount` agents to one entry: those of its own zone by themselves, the others by way of two relays of each zone. */
export const startReports = (address: string, engineCount: number): Fleet => {
	const socket = createSendingSocket();
	const sender = createLoadSender(createDatagramSender(socket));
	let sequence = 0;
	const reportOf = (index: number, way: ReportWay): LoadReport => ({
		epoch: 1, sequence, endpointAddress: endpointAddressOf(index), way, report: {
			running: (sequence + index) % slots, queued: 0, pace: 1, isBusy: false, isStrained: false, version: 1, readyInMs: null,
		},
	});
	const indexes = Array.from({length: engineCount}, (_, index) => index);
	const reporting = setInterval(() => {
		sequence++;
		for (const index of indexes.filter(engine => zoneOf(engine) === zones[0])) {
			sender.send({kind: 'near', reports: [reportOf(index, {type: 'direct', sentAtMs: performance.now()})]}, [address]);
		}
	}, reportMs);
	const relaying = setInterval(() => {
		for (const zone of zones.slice(1)) {
			const reports = indexes.filter(engine => zoneOf(engine) === zone).map(index => reportOf(index, {type: 'relayed', ageMs: reportMs / 2, delayMs: 0}));
			sender.send({kind: 'passed', reports}, [address]);
		}
	}, digestEveryMs / relaysPerZone);
	return {
		close() {
			clearInterval(reporting);
			clearInterval(relaying);
			socket.close();
		},
	};
};

/** All that follow one core host, and the announcements of the engines to it by way of another core host. */
export const startFollowers = (address: string, engineCount: number): Fleet => {
	const closing = new AbortController();
	const agent = new http.Agent({keepAlive: true});
	const follow = async (follower: Follower, waitMs: number): Promise<void> => {
		const known = {
			epoch: '', position: 0, rosterHash: '', versionsHash: '',
		};
		while (!closing.signal.aborted) {
			try {
				const answer = await callRpc<WatchResult>({
					address, agent, method: 'gateway.watch', isPacked: true, timeoutMs: waitMs + 2000,
					params: {
						...known, follower, waitMs: known.epoch === '' ? 0 : waitMs, configurationNumber: 1,
					},
				});
				Object.assign(known, {
					epoch: answer.epoch, position: answer.position, rosterHash: answer.roster?.hash ?? known.rosterHash, versionsHash: answer.versionsHash,
				});
			} catch {
				// The core host is not up yet, or has just been ended.
				await delay(reportMs);
			}
		}
	};

	for (const follower of followersOf(engineCount)) {
		void follow(follower, followMs[follower.role === 'agent' ? 'agent' : 'entry']);
	}

	return {
		close() {
			closing.abort();
			agent.destroy();
		},
	};
};

/** Core hosts beside the measured one, which pass on what engines announce to them: each engine to one of them. */
export const startAnnouncers = async (addresses: readonly string[], engineCount: number): Promise<Fleet> => {
	const counter = createCounter();
	const servers: HttpServer[] = [];
	for (const [index, address] of addresses.entries()) {
		const rpc = createRpcServer();
		rpc.method('gateway.watch', watchParametersSchema, async ({waitMs}): Promise<WatchResult> => {
			await delay(Math.min(waitMs, announceMs));
			const sequence = counter.next();
			return {
				epoch: `e${index}`, position: sequence, announcements: announcementsOf(engineCount, sequence).filter((_, number) => number % coreCount === index + 1), zoneId: zones[index + 1]!,
				configurationNumber: 1, versionsHash: '{}', freshAgeMs: null, versions: [], roster: null,
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
const eventMs = 70;
const event = `data: ${'x'.repeat(100)}\n\n`;

const streamAnswer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	request.resume();
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': request.headers['x-id'], 'x-signature': 's'});
	for (let id = 1; id <= eventsPerAnswer && !response.destroyed; id++) {
		response.write(`id: ${id}\n${event}`);
		await delay(eventMs);
	}

	response.end();
};

/** Engines that answer every request with a stream. */
export const startEngines = async (engineCount: number): Promise<Fleet> => {
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

/** Callers of one entry: `requestsPerSecond` streams, on kept connections. */
export const startCallers = (address: string, requestsPerSecond: number): Fleet => {
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
		// The entry is not up yet, or has just been ended.
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

/** An engine that an agent looks at. */
export const startEngine = async (address: string): Promise<Fleet> => {
	let looks = 0;
	const server = await createHttpServer({
		listen: address,
		async handler(request, response) {
			request.resume();
			looks++;
			const text = JSON.stringify({
				running: looks % slots, queued: 0, pace: 1, isBusy: false, models: [{model: 'm', version: 1}],
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
