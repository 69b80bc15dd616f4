/**
 * Stand-in of a worker of a plain service, a process of its own: registers itself as the
 * pages say, serves `slots` requests at once and queues a few more. Options, as JSON in
 * the first argument: id, address, service, zone, slots, queue, workMs, controls, healthPath.
 */
import http from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const {id, address, service, zone, slots = 6, queue = 24, workMs = 60, controls, healthPath = '/healthz', padding = 800} = JSON.parse(process.argv[2]);
const [ip, port] = address.split(':');
const heartbeatIntervalMs = 1200;
let running = 0;
const waiting = [];
let sequence = 0;
let runCount = 0;

const tell = message => {
	process.send(message, () => undefined);
};

const loadHeaders = () => ({'x-bitternpaddle-instance-id': id, 'x-bitternpaddle-instance-load': `${running},${waiting.length},${slots}`});

const refuse = (response, status, requestId) => {
	response.writeHead(status, {
		...loadHeaders(), 'x-bitternpaddle-not-executed': '1', ...(requestId !== undefined && {'x-bitternpaddle-request-id': requestId}), 'content-length': 0,
	});
	response.end();
};

const run = async (request, response, requestId) => {
	const {headers} = request;
	const startedAtMs = performance.now();
	tell({
		type: 'run', id, requestId, method: request.method, path: request.url, tenant: headers['x-bitternpaddle-tenant'], deadlineMs: headers['x-bitternpaddle-deadline-ms'],
	});
	await delay(workMs * (0.75 + (Math.random() * 0.5)));
	runCount++;
	const body = JSON.stringify({
		ran: requestId, by: id, tookMs: Math.round(performance.now() - startedAtMs), padding: 'x'.repeat(padding),
	});
	response.writeHead(200, {
		...loadHeaders(), 'content-type': 'application/json', 'content-length': body.length, 'x-bitternpaddle-request-id': requestId, 'x-bitternpaddle-server-signature': `${id}.${runCount}`,
	});
	response.end(body);
};

const serve = async (request, response, requestId) => {
	try {
		await run(request, response, requestId);
	} finally {
		running--;
		next();
	}
};

function next() {
	while (running < slots && waiting.length > 0) {
		const {request, response, requestId} = waiting.shift();
		if (response.destroyed) {
			continue;
		}

		running++;
		serve(request, response, requestId);
	}
}

const server = http.createServer((request, response) => {
	request.resume();
	request.once('end', () => {
		const {headers} = request;
		if (request.url === healthPath) {
			response.writeHead(200, {...loadHeaders(), 'content-length': 0});
			response.end();
			return;
		}

		const requestId = headers['x-bitternpaddle-request-id'];
		const expected = headers['x-bitternpaddle-expect-instance'];
		if (requestId === undefined) {
			refuse(response, 400);
		} else if (expected !== undefined && expected !== id) {
			refuse(response, 421, requestId);
		} else if (running >= slots && waiting.length >= queue) {
			refuse(response, 503, requestId);
		} else {
			waiting.push({request, response, requestId});
			next();
		}
	});
});
server.keepAliveTimeout = 10_000;

const heartbeat = () => {
	sequence++;
	return JSON.stringify({
		service, address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, sequence,
	});
};

/** Calls one node after the other until one acknowledges within a second. */
const callControl = async (method, body) => {
	for (const control of controls) {
		const isAcknowledged = await fetch(`http://${control}/v1/instances/${id}`, {
			method, headers: {'content-type': 'application/json'}, body, signal: AbortSignal.timeout(1000),
		}).then(async response => {
			await response.arrayBuffer();
			return response.ok;
		}).catch(() => false);
		if (isAcknowledged) {
			return control;
		}
	}

	return null;
};

const leaving = new AbortController();

/**
 * Leaves without having reported `draining`: sends a DELETE and goes on to serve. A heartbeat that
 * was made before arrives `lateMs` late.
 */
const leave = async ({lateMs}) => {
	leaving.abort();
	const late = heartbeat();
	await delay(100);
	const leftAtMs = performance.now();
	tell({type: 'left', control: await callControl('DELETE')});
	await delay(Math.max(0, leftAtMs + lateMs - performance.now()));
	tell({type: 'late heartbeat', control: await callControl('PUT', late)});
};

process.on('message', message => {
	leave(message);
});

server.listen({host: ip, port: Number(port)}, async () => {
	while (!leaving.signal.aborted) {
		if (await callControl('PUT', heartbeat()) !== null) {
			tell({type: 'ack', sequence});
		}

		await delay(heartbeatIntervalMs);
	}
});
process.once('disconnect', () => {
	process.exit(0);
});
