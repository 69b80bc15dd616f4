/**
 * Stand-in of a model worker, a process of its own: holds version 1 from its start, stages pieces,
 * loads what is staged when it accepts an order, streams events. Options, as JSON in the first
 * argument: id, address, service, zone, slots, model, chunks, chunkBytes, controls.
 */
import http from 'node:http';
import process from 'node:process';
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {pieceOf} from './origin.mjs';

const {id, address, service, zone, slots, model, chunks, chunkBytes, controls} = JSON.parse(process.argv[2]);
const [ip, port] = address.split(':');
const heartbeatIntervalMs = 1200;
const firstTokenMs = 60;
const eventIntervalMs = 45;
const eventCount = 20;
const loadMs = 300;
const staged = new Map(Array.from({length: chunks}, (_, chunk) => [chunk, pieceOf(1, chunk, chunkBytes)]));
const streams = new Set();
let version = 1;
let isBusy = false;
let orders = 0;
let heartbeats = 0;
let runCount = 0;

const tell = message => {
	process.send(message, () => undefined);
};

const models = () => version === null ? [] : [{name: model, version, adapters: []}];

const sendJson = (response, status, body, headers = {}) => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': text.length, ...headers});
	response.end(text);
};

const refuse = (response, status, requestId) => {
	sendJson(response, status, {}, {'x-bitternpaddle-not-executed': '1', 'x-bitternpaddle-request-id': requestId});
};

const stream = async (request, response) => {
	const {headers} = request;
	const requestId = headers['x-bitternpaddle-request-id'];
	const expectedVersion = headers['x-bitternpaddle-expect-version'];
	const expectedId = headers['x-bitternpaddle-expect-instance'];
	if (requestId === undefined) {
		sendJson(response, 400, {}, {'x-bitternpaddle-not-executed': '1'});
		return;
	}

	if ((expectedId !== undefined && expectedId !== id) || (expectedVersion !== undefined && Number(expectedVersion) !== version)) {
		refuse(response, 421, requestId);
		return;
	}

	if (isBusy || version === null || streams.size >= slots) {
		refuse(response, 503, requestId);
		return;
	}

	streams.add(response);
	response.once('close', () => {
		streams.delete(response);
	});
	await delay(firstTokenMs);
	if (response.destroyed) {
		return;
	}

	runCount++;
	tell({
		type: 'run', id, requestId, version,
	});
	response.writeHead(200, {
		'content-type': 'text/event-stream', 'x-bitternpaddle-request-id': requestId, 'x-bitternpaddle-server-signature': `${id}.${runCount}`, 'x-bitternpaddle-weight-versions': String(version),
	});
	for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= eventCount && !response.destroyed; event++) {
		response.write(`id: ${event}\ndata: token${event}\n\n`);
		await delay(eventIntervalMs);
	}

	response.end();
};

const load = async (wanted, mode) => {
	isBusy = true;
	for (const response of mode === 'cancel' ? streams : []) {
		response.destroy();
	}

	while (streams.size > 0) {
		await delay(5);
	}

	version = null;
	await delay(loadMs);
	version = wanted;
	isBusy = false;
	tell({type: 'loaded', version: wanted});
};

const order = ({operation, version: wanted, switchMode, expect = orders}) => {
	if (operation !== 'start') {
		return 400;
	}

	if (expect !== orders || isBusy) {
		return 409;
	}

	if (wanted === version) {
		return 200;
	}

	orders++;
	load(wanted, switchMode);
	return 202;
};

const serve = async (request, response, body) => {
	const {pathname, searchParams} = new URL(request.url, 'http://worker');
	const field = searchParams.get('sampleCount');
	const chunk = Number(field);
	if (pathname === '/healthz') {
		sendJson(response, 200, {}, {'x-bitternpaddle-instance-id': id});
	} else if (pathname === '/v1/report') {
		sendJson(response, 200, {
			stage: 'unified', models: models(), busy: isBusy, sequence: orders, queued: 0, running: streams.size, kvUsed: streams.size * 1000, kvTotal: 685_000, handles: 0, pace: 1,
		});
	} else if (pathname.startsWith('/v1/stage-put/')) {
		staged.set(chunk, body);
		sendJson(response, 200, {});
	} else if (pathname.startsWith('/v1/stage-get/') && field === null) {
		sendJson(response, 200, {held: [...staged.keys()]});
	} else if (pathname.startsWith('/v1/stage-get/')) {
		const data = staged.get(chunk);
		response.writeHead(data === undefined ? 404 : 200);
		response.end(data);
	} else if (pathname === '/v1/order') {
		sendJson(response, order(JSON.parse(body.toString())), {});
	} else {
		await stream(request, response);
	}
};

const server = http.createServer((request, response) => {
	const parts = [];
	request.on('data', part => {
		parts.push(part);
	});
	request.on('end', () => {
		serve(request, response, Buffer.concat(parts));
	});
});
server.keepAliveTimeout = 10_000;

const announce = async () => {
	heartbeats++;
	const body = JSON.stringify({
		service, address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, stage: 'unified', models: models(), sequence: heartbeats,
	});
	for (const control of controls) {
		const isAcknowledged = await fetch(`http://${control}/v1/instances/${id}`, {
			method: 'PUT', headers: {'content-type': 'application/json'}, body, signal: AbortSignal.timeout(1000),
		}).then(async response => {
			await response.arrayBuffer();
			return response.ok;
		}).catch(() => false);
		if (isAcknowledged) {
			tell({type: 'ack', sequence: heartbeats});
			return;
		}
	}
};

server.listen({host: ip, port: Number(port)}, async () => {
	for (;;) {
		await announce();
		await delay(heartbeatIntervalMs);
	}
});
process.once('disconnect', () => {
	process.exit(0);
});
