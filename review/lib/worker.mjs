// A stand-in of one worker of a model, as the platform's pages describe it. It reads its options
// as JSON from its argument, writes one line of JSON for each run, and takes commands over a
// signal: SIGUSR2 switches its trouble on and off.
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import http from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {chunkCount, chunkOf, model} from './deployment.mjs';

const options = JSON.parse(process.argv[2]);
const {address, zone, service, controls, heartbeatMs, slots = 16, eventCount = 21, eventMs = 40, troubleShare = 0.03} = options;
const id = options.id ?? `i-${randomUUID().slice(0, 8)}`;
const [host, port] = address.split(':');
let sequence = 0;
let running = 0;
let troubled = 0;
let isTroubled = false;
let version = 1;
const staged = new Map(Array.from({length: chunkCount}, (_, chunk) => [chunk, chunkOf(1, chunk)]));

const models = () => [{name: model, version, adapters: []}];

const tell = fields => {
	process.stdout.write(`${JSON.stringify(fields)}\n`);
};

process.on('SIGUSR2', () => {
	isTroubled = !isTroubled;
	tell({isTroubled});
});

/** Whether this run is one of those that are broken off, `troubleShare` of them: it has no length and is reset on the way. */
const isBrokenOff = () => {
	if (!isTroubled) {
		return false;
	}

	troubled++;
	return Math.floor(troubled * troubleShare) > Math.floor((troubled - 1) * troubleShare);
};

const stream = async (request, response, requestId) => {
	const isFailing = isBrokenOff();
	const framing = isFailing ? 'none' : 'chunked';
	const from = Number(request.headers['last-event-id'] ?? 0);
	let sent = from;
	let end = 'complete';
	running++;
	tell({
		began: requestId, path: request.url, framing, from,
	});
	response.once('close', () => {
		if (!response.writableFinished && end === 'complete') {
			end = 'left';
		}
	});
	if (framing === 'none') {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.removeHeader('transfer-encoding');
	}

	await delay(60);
	response.writeHead(200, {
		'content-type': 'text/event-stream', 'x-bitternpaddle-request-id': requestId, 'x-bitternpaddle-server-signature': `signed-${id}`, 'x-bitternpaddle-weight-versions': String(version),
		'x-bitternpaddle-instance-load': `${running},0,${slots}`,
	});
	for (let event = from + 1; event <= eventCount; event++) {
		if (response.destroyed) {
			break;
		}

		if (isFailing && event === from + 6) {
			end = 'reset';
			response.socket.resetAndDestroy();
			break;
		}

		response.write(`id: ${event}\ndata: piece ${event} of ${eventCount}\n\n`);
		sent = event;
		await delay(eventMs);
	}

	if (end === 'complete' && !response.destroyed) {
		response.end();
	}

	running--;
	tell({
		ran: requestId, path: request.url, framing, from, sent, end,
	});
};

const server = http.createServer((request, response) => {
	const parts = [];
	request.on('data', part => {
		parts.push(part);
	});
	request.on('error', () => undefined);
	request.on('end', () => {
		const body = Buffer.concat(parts);
		const url = new URL(request.url, 'http://worker');
		const chunk = Number(url.searchParams.get('sampleCount'));
		const requestId = String(request.headers['x-bitternpaddle-request-id'] ?? '');
		const json = (status, fields, headers = {}) => {
			const text = JSON.stringify(fields);
			response.writeHead(status, {'content-type': 'application/json', 'content-length': text.length, ...headers}).end(text);
		};

		if (url.pathname === '/healthz') {
			json(200, {}, {'x-bitternpaddle-instance-id': id, 'x-bitternpaddle-instance-load': `${running},0,${slots}`});
		} else if (url.pathname === '/v1/report') {
			json(200, {
				stage: 'unified', models: models(), busy: false, sequence: 0, queued: 0, running, kvUsed: 0, kvTotal: 685_000, handles: 0, pace: 1,
			});
		} else if (url.pathname.startsWith('/v1/stage-put/')) {
			staged.set(chunk, body);
			json(200, {});
		} else if (url.pathname.startsWith('/v1/stage-get/')) {
			const data = staged.get(chunk);
			response.writeHead(data === undefined ? 404 : 200, {'content-length': data?.length ?? 0}).end(data);
		} else if (url.pathname === '/v1/order') {
			const wanted = JSON.parse(body.toString()).version;
			const isWhole = Array.from({length: chunkCount}, (_, index) => Buffer.from(staged.get(index) ?? []).equals(Buffer.from(chunkOf(wanted, index)))).every(Boolean);
			version = isWhole ? wanted : version;
			json(isWhole ? 202 : 409, {});
		} else if (request.headers['x-bitternpaddle-expect-instance'] !== undefined && request.headers['x-bitternpaddle-expect-instance'] !== id) {
			json(421, {}, {'x-bitternpaddle-not-executed': '1', 'x-bitternpaddle-request-id': requestId});
		} else if (running >= slots) {
			json(503, {}, {'x-bitternpaddle-not-executed': '1', 'x-bitternpaddle-request-id': requestId, 'x-bitternpaddle-instance-load': `${running},0,${slots}`});
		} else {
			stream(request, response, requestId).catch(error => {
				tell({error: error.stack});
			});
		}
	});
});
server.keepAliveTimeout = 15_000;
server.listen(Number(port), host);

const announce = async () => {
	sequence++;
	const body = JSON.stringify({
		service, address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, stage: 'unified', models: models(), sequence,
	});
	for (const control of controls) {
		const [ip, controlPort] = control.split(':');
		const status = await new Promise(resolve => {
			const request = http.request({
				host: ip, port: Number(controlPort), method: 'PUT', path: `/v1/instances/${id}`, timeout: 1000, agent: false,
				headers: {'content-type': 'application/json', 'content-length': body.length},
			}, response => {
				response.resume();
				response.once('end', () => {
					resolve(response.statusCode);
				});
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end(body);
		});
		if (status === 200) {
			return;
		}
	}
};

for (;;) {
	await announce();
	await delay(sequence < 5 ? 300 : heartbeatMs);
}
