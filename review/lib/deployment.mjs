// A small deployment for the scripts in this folder: the project's own programs as separate
// processes with the commands of the deploy file, and stand-ins for workers, the origin, the
// operator, the platform and consumers. Everything listens on loopback addresses.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {setTimeout as delay} from 'node:timers/promises';

const here = path.dirname(fileURLToPath(import.meta.url));
export const repository = path.resolve(here, '../..');
const program = 'target/bitternpaddle-host.cjs';
const memory = {entry: 160, core: 160, agent: 110};

/** The bounds of the sheet of `isuku-rounds`. */
export const bounds = JSON.parse(fs.readFileSync(path.join(here, 'bounds.json'), 'utf8'));

/** Exit codes of a case. */
export const held = 0;
export const broken = 1;
export const couldNotRun = 2;

const zones = {'nyabugogo-hall': 'kigali', 'musanze-hall': 'musanze', 'huye-hall': 'huye'};
export const zoneNames = Object.keys(zones);
export const model = 'model-a';
export const chunkCount = 48;
export const chunkBytes = 4096;

export const chunkOf = (version, chunk) => {
	const bytes = new Uint8Array(chunkBytes);
	bytes.fill((version * 50) + chunk);
	return bytes;
};

const digestOf = data => createHash('sha256').update(data).digest('hex');

const canListen = async (host, port) => new Promise(resolve => {
	const server = net.createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, host, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** An address of its own for each machine, and ports that are free on all of them. */
const chooseAddresses = async count => {
	const low = `${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;
	const ips = Array.from({length: count}, (_, index) => `127.${20 + index}.${low}`);
	for (let attempt = 0; attempt < 50; attempt++) {
		const base = 20_000 + (Math.floor(Math.random() * 300) * 40);
		const ports = {
			control: base, readiness: base + 2, frontend: base + 5, app: base + 8, origin: base + 9, internal: [base + 20, base + 35],
		};
		const used = [ports.control, ports.readiness, ports.frontend, ports.app, ports.origin, base + 20, base + 21, base + 25, base + 26];
		const checks = await Promise.all(ips.flatMap(ip => used.map(async port => canListen(ip, port))));
		if (checks.every(Boolean)) {
			return {ips, ports};
		}
	}

	throw new Error('no free ports');
};

/** Sends one request of an operator, a worker or the platform; status 0 without an answer. */
export const plainCall = async ({address, method = 'GET', path: target, body, timeoutMs = 1000}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const request = http.request({
		host, port: Number(port), method, path: target, agent: false, timeout: timeoutMs,
		headers: body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
	}, response => {
		const parts = [];
		response.on('data', part => {
			parts.push(part);
		});
		response.on('end', () => {
			resolve({status: response.statusCode, text: Buffer.concat(parts).toString()});
		});
		response.on('error', () => {
			resolve({status: 0, text: ''});
		});
	});
	request.on('timeout', () => {
		request.destroy(new Error('no answer in time'));
	});
	request.on('error', error => {
		resolve({status: 0, text: error.message});
	});
	request.end(body);
});

export const until = async (what, check, maxMs = 30_000) => {
	const endsAtMs = performance.now() + maxMs;
	for (;;) {
		const value = await check();
		if (value) {
			return value;
		}

		if (performance.now() > endsAtMs) {
			throw new Error(`not within ${maxMs} ms: ${what}`);
		}

		await delay(100);
	}
};

const startOrigin = async address => {
	const [host, port] = address.split(':');
	const server = http.createServer((request, response) => {
		const url = new URL(request.url, 'http://origin');
		const version = Number(url.searchParams.get('version') ?? 1);
		request.resume();
		if (url.pathname.startsWith('/v1/manifest/')) {
			const body = JSON.stringify({
				model, version, chunkBytes, layers: 16, digests: Array.from({length: chunkCount}, (_, chunk) => digestOf(chunkOf(version, chunk))),
			});
			response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length}).end(body);
		} else if (url.pathname.startsWith('/v1/piece/')) {
			response.writeHead(200, {'content-length': chunkBytes}).end(chunkOf(version, Number(url.searchParams.get('sampleCount'))));
		} else {
			response.writeHead(404, {'content-length': 0}).end();
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	return server;
};

/** Appends what was sent, answered and run to the record of the case. */
export const createRecord = recordFile => {
	const startedAtMs = performance.now();
	const file = fs.openSync(recordFile, 'w');
	return fields => {
		fs.writeSync(file, `${JSON.stringify({ms: Math.round(performance.now() - startedAtMs), ...fields})}\n`);
	};
};

/**
 * Sends one request of a consumer on a new connection, and reports what it saw. `end`:
 * `complete` if the answer ended as its framing says, without a length with the end of the
 * connection; `reset` or `cut` if it did not.
 */
export const consumerCall = async ({address, path: target, host, key, id, deadlineMs = 6000, headers = {}, method = 'POST', body = '{"text":"hello"}'}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	const socket = net.connect({host: ip, port: Number(port)});
	let data = Buffer.alloc(0);
	let isDone = false;
	const parse = () => {
		const end = data.indexOf('\r\n\r\n');
		if (end === -1) {
			return null;
		}

		const [statusLine, ...lines] = data.toString('latin1', 0, end).split('\r\n');
		const fields = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		return {status: Number(statusLine.split(' ')[1]), fields, rest: data.subarray(end + 4)};
	};

	const readChunked = rest => {
		const parts = [];
		let from = 0;
		for (;;) {
			const lineEnd = rest.indexOf('\r\n', from);
			if (lineEnd === -1) {
				return {isComplete: false, body: Buffer.concat(parts)};
			}

			const size = Number.parseInt(rest.toString('latin1', from, lineEnd), 16);
			if (size === 0) {
				return {isComplete: rest.length >= lineEnd + 4, body: Buffer.concat(parts)};
			}

			if (rest.length < lineEnd + 2 + size + 2) {
				return {isComplete: false, body: Buffer.concat([...parts, rest.subarray(lineEnd + 2, lineEnd + 2 + size)])};
			}

			parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
			from = lineEnd + 2 + size + 2;
		}
	};

	const finish = how => {
		if (isDone) {
			return;
		}

		const head = parse();
		if (head === null) {
			if (how !== null) {
				isDone = true;
				resolve({
					status: 0, framing: 'none', end: how, body: '', fields: {},
				});
			}

			return;
		}

		const {status, fields, rest} = head;
		let framing = 'none';
		let isComplete;
		let answer = rest;
		if (fields['transfer-encoding'] === 'chunked') {
			framing = 'chunked';
			({isComplete, body: answer} = readChunked(rest));
		} else if (fields['content-length'] === undefined) {
			isComplete = how === 'closed';
		} else {
			framing = 'length';
			isComplete = rest.length >= Number(fields['content-length']);
		}

		if (!isComplete && how === null) {
			return;
		}

		isDone = true;
		socket.destroy();
		resolve({
			status, framing, fields, end: isComplete ? 'complete' : (how === 'reset' ? 'reset' : 'cut'), body: answer.toString(),
		});
	};

	socket.setTimeout(deadlineMs, () => {
		finish('gaveUp');
		socket.destroy();
	});
	socket.on('data', part => {
		data = Buffer.concat([data, part]);
		finish(null);
	});
	socket.on('end', () => {
		finish('closed');
	});
	socket.on('error', () => {
		finish('reset');
	});
	const lines = [
		`${method} ${target} HTTP/1.1`,
		`Host: ${host}`,
		`X-Bitternpaddle-Request-Id: ${id}`,
		`X-Bitternpaddle-Deadline-Ms: ${deadlineMs}`,
		`Authorization: Bearer ${key}`,
		...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
	];
	if (method === 'POST') {
		lines.push('Content-Type: application/json', `Content-Length: ${Buffer.byteLength(body)}`);
	}

	socket.write(`${lines.join('\r\n')}\r\n\r\n${method === 'POST' ? body : ''}`);
});

/** The service of the model, as a manifest describes it; like the example in PROTOCOL.md, with smaller pieces. */
const poolService = JSON.parse(fs.readFileSync(path.join(here, 'pool-service.json'), 'utf8'));

/**
 * Starts three machines with a core and an entry each, and `workerCount` workers of a model
 * with an agent beside each.
 */
export const deploy = async ({workerCount, routes, record, restartsCores = false, spareCount = 0}) => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bitternpaddle-review-'));
	const edgeCount = 3;
	const {ips, ports} = await chooseAddresses(edgeCount + workerCount + spareCount + 1);
	const edges = ips.slice(0, edgeCount);
	const sides = ips.slice(edgeCount, edgeCount + workerCount);
	const spares = ips.slice(edgeCount + workerCount, -1);
	const origin = `${ips.at(-1)}:${ports.origin}`;
	const children = new Set();
	const servers = [];

	const start = (command, args, env, onLine) => {
		const child = spawn(command, args, {
			cwd: repository, env: {
				PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: process.env.LANG ?? 'C.UTF-8', ...env,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		children.add(child);
		child.once('exit', () => {
			children.delete(child);
		});
		let text = '';
		child.stdout.on('data', part => {
			text += part;
			const lines = text.split('\n');
			text = lines.pop();
			for (const line of lines) {
				onLine(line);
			}
		});
		child.stderr.on('data', part => {
			record({stderr: part.toString().slice(0, 500)});
		});
		return child;
	};

	const startRole = (role, ip, index, fields = {}) => {
		const zone = zoneNames[index % zoneNames.length];
		const nodeName = `${role}-${index}`;
		const listen = {
			entry: {frontend: `${ip}:${ports.frontend}`, readiness: `${ip}:${ports.readiness}`}, core: {controlPlane: `${ip}:${ports.control}`}, agent: {},
		}[role];
		const settings = {
			nodeName, role, machineClass: role === 'agent' ? 'side' : 'edge', serves: {entry: ['edge'], core: ['control'], agent: ['side']}[role], ip, zone, region: zones[zone], zones, listen,
			internalPorts: ports.internal, seeds: edges.map(edge => `${edge}:${ports.control}`), bootstrap: true, countsAsLoss: role === 'core',
			limits: {
				cpuShare: 0.608, cores: 2, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 64,
			}, dataDir: role === 'core' ? path.join(folder, nodeName) : null,
			discovery: 'registration', entry: 'vip', heartbeatIntervalMs: 1200, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'chunks'],
			faultTolerance: {machines: 1, zones: 0, regions: 0}, bounds, configMode: 'highest', ...fields,
		};
		const file = path.join(folder, `${nodeName}.json`);
		fs.writeFileSync(file, JSON.stringify(settings));
		const log = fs.openSync(path.join(folder, `${nodeName}.log`), 'a');
		return start(process.execPath, ['--single-threaded', `--max-old-space-size=${memory[role]}`, program, role], {BITTERNPADDLE_NODE_FILE: file}, line => {
			fs.writeSync(log, `${line}\n`);
		});
	};

	const runs = [];
	const startWorker = (index, options = {}) => {
		const address = `${sides[index]}:${ports.app}`;
		const child = start(process.execPath, [path.join(here, 'worker.mjs'), JSON.stringify({
			address, zone: zoneNames[index % zoneNames.length], service: 'pool', controls: edges.map(edge => `${edge}:${ports.control}`), heartbeatMs: 1200, ...options,
		})], {}, line => {
			const fields = JSON.parse(line);
			runs.push({worker: index, ...fields});
			record({worker: index, ...fields});
		});
		return {index, address, child};
	};

	let isClosing = false;
	const close = async () => {
		isClosing = true;
		for (const child of children) {
			child.kill('SIGKILL');
		}

		for (const server of servers) {
			server.close();
			server.closeAllConnections?.();
		}

		await until('all processes ended', () => children.size === 0, 5000);
		if (process.env.KEEP_LOGS === '1') {
			console.log(`kept ${folder}`);
			return;
		}

		fs.rmSync(folder, {recursive: true, force: true});
	};

	/** The core processes that ended by themselves. */
	const ownEnds = [];
	/** Starts a core; the platform starts a process again that has ended, unless its machine is gone. */
	const startCore = (ip, index, fields = {}) => {
		const machine = {
			ip, index, isGone: false, child: startRole('core', ip, index, fields),
		};
		const watch = () => {
			machine.child.once('exit', (code, signal) => {
				if (machine.isGone || isClosing || !restartsCores) {
					return;
				}

				ownEnds.push({
					machine: index, code, signal, atMs: performance.now(),
				});
				record({ownEnd: `core-${index}`, code, signal});
				setTimeout(() => {
					if (!machine.isGone && !isClosing) {
						machine.child = startRole('core', ip, index, {...fields, bootstrap: false});
						watch();
					}
				}, 500);
			});
		};

		watch();
		return machine;
	};

	servers.push(await startOrigin(origin));
	const cores = edges.map((ip, index) => startCore(ip, index));
	const entries = edges.map((ip, index) => startRole('entry', ip, index));
	const workers = sides.map((_, index) => startWorker(index));
	const agents = sides.map((ip, index) => startRole('agent', ip, index, {app: `${ip}:${ports.app}`, service: 'pool'}));
	const manifest = {
		version: 7, routes, services: [
			poolService,
			{
				name: 'roster', origin, zone: 'huye-hall', linkMbps: 15, maxConnections: 48,
			},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'bozi300', apiKeys: ['jnbanfqasnmgkcuyj8pj'], priority: 1}],
	};
	const submit = async () => until('the manifest is acknowledged', async () => {
		for (const edge of edges) {
			const {status} = await plainCall({
				address: `${edge}:${ports.control}`, method: 'PUT', path: '/v1/config', body: JSON.stringify(manifest),
			});
			record({operator: 'PUT /v1/config', version: manifest.version, status});
			if (status === 200) {
				return true;
			}
		}

		return false;
	});

	return {
		folder, edges, ports, cores, ownEnds, entries, workers, agents, runs, manifest, submit, startWorker, startRole, close,
		frontend: index => `${edges[index]}:${ports.frontend}`,
		control: index => `${[...edges, ...spares][index % (edgeCount + spares.length)]}:${ports.control}`,
		/** Replaces a machine of the core for good, as planned work: an empty one starts at another address, then the old one gets SIGTERM. */
		async replaceCore(index) {
			const newIndex = cores.length;
			const ip = spares[newIndex - edgeCount];
			cores.push(startCore(ip, newIndex, {bootstrap: false}));
			entries.push(startRole('entry', ip, newIndex, {bootstrap: false}));
			record({disturbance: `machine ${index} is replaced by machine ${newIndex} at another address`});
			await delay(2000);
			const old = cores[index];
			old.isGone = true;
			for (const child of [old.child, entries[index]]) {
				child.kill('SIGTERM');
				setTimeout(() => {
					child.kill('SIGKILL');
				}, bounds.graceS * 1000);
			}
		},
		async ready() {
			await submit();
			await until('the entries are ready', async () => {
				const answers = await Promise.all(edges.map(async edge => plainCall({address: `${edge}:${ports.readiness}`, path: '/v1/readyz'})));
				return answers.every(({status}) => status === 200);
			});
		},
	};
};

/** Runs a case and ends the process with its exit code; all processes that it started have ended by then. */
export const runCase = async ({recordFile, isTrouble}, play) => {
	const record = createRecord(recordFile);
	let system = null;
	let code = couldNotRun;
	const limit = setTimeout(() => {
		record({error: 'the case took too long'});
		process.exitCode = couldNotRun;
		const exit = () => {
			process.exit(couldNotRun); // eslint-disable-line unicorn/no-process-exit
		};

		(system?.close() ?? Promise.resolve()).then(exit, exit);
	}, 112_000);
	try {
		code = await play({
			record, isTrouble, async deploy(options) {
				system = await deploy({...options, record});
				return system;
			},
		});
	} catch (error) {
		record({error: error.stack});
		console.error(error.stack);
	}

	await system?.close().catch(error => {
		record({error: error.stack});
		code = couldNotRun;
	});
	clearTimeout(limit);
	record({exit: code});
	console.log(`exit ${code}`);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
