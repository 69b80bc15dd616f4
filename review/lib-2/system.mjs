/**
 * Starts the project's programs as separate processes with the commands of the deploy
 * file, on loopback addresses, with the settings of a small deployment.
 */
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

export const repositoryRoot = path.resolve(import.meta.dirname, '..', '..');
/** `TROUBLE=0` leaves the disruption out. */
export const hasTrouble = process.env.TROUBLE !== '0';
export const exitCodes = {held: 0, broken: 1, unable: 2};
const readyTimeoutMs = 30_000;

const networkId = `${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
/** A loopback address for each machine. */
export const ipOf = index => `127.${networkId}.${1 + index}`;

/** A free port at this address. */
export const freePort = async ip => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen({host: ip, port: 0}, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

/** The first of a number of successive free ports at this address. */
export const freePorts = async (ip, count) => {
	for (;;) {
		const first = 20_000 + Math.floor(Math.random() * 20_000);
		const isFree = await Promise.all(Array.from({length: count}, async (_, offset) => new Promise(resolve => {
			const server = net.createServer();
			server.once('error', () => {
				resolve(false);
			});
			server.listen({host: ip, port: first + offset}, () => {
				server.close(() => {
					resolve(true);
				});
			});
		})));
		if (isFree.every(Boolean)) {
			return first;
		}
	}
};

/** The words of a role's `run` in the deploy file. */
const commandOf = role => {
	const text = readFileSync(path.join(repositoryRoot, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1].split('\n[', 1)[0];
	return /^run = "(?<words>[^"]+)"/mv.exec(section).groups.words.split(' ');
};

/** Writes what was sent, answered and run. */
export const openRecord = folder => {
	const filePath = path.join(folder, 'record.txt');
	const startedAtMs = performance.now();
	writeFileSync(filePath, '');
	return line => {
		appendFileSync(filePath, `${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${line}\n`);
	};
};

/** Waits until a condition returns neither `null` nor `false`; `Unable` if it never does. */
export const until = async (condition, check, timeoutMs = readyTimeoutMs) => {
	const deadlineAtMs = performance.now() + timeoutMs;
	for (;;) {
		const value = await check();
		if (value !== null && value !== false) {
			return value;
		}

		if (performance.now() > deadlineAtMs) {
			throw new Unable(`not within ${timeoutMs} ms: ${condition}`);
		}

		await delay(50);
	}
};

/** The case could not run. */
export class Unable extends Error {
	name = 'Unable';
}

/** Sends a request; a connection that ends early yields `isComplete: false`, and status 0 if no answer had begun. */
export const send = async ({address, method = 'GET', path: target, headers = {}, body, agent = false, timeoutMs = 2000, onPart}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const parts = [];
	let status = 0;
	let answerHeaders = {};
	let isSettled = false;
	const finish = (isComplete, reason) => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			resolve({
				status, headers: answerHeaders, text: parts.join(''), isComplete, reason,
			});
		}
	};

	const request = http.request({
		host, port: Number(port), method, path: target, agent,
		headers: body === undefined ? headers : {...headers, 'content-length': new TextEncoder().encode(body).length},
	}, response => {
		status = response.statusCode;
		answerHeaders = response.headers;
		response.on('data', part => {
			parts.push(part.toString('latin1'));
			onPart?.(part);
		});
		response.on('end', () => {
			finish(response.complete, '');
		});
		response.on('error', error => {
			finish(false, error.message);
		});
		response.on('close', () => {
			finish(response.complete, 'closed');
		});
	});
	request.on('error', error => {
		finish(false, error.message);
	});
	const timer = setTimeout(() => {
		finish(false, 'no answer in time');
		request.destroy();
	}, timeoutMs);
	request.end(body);
});

/** Starts everything of a case, ends it, and exits with the code of the outcome. */
export const runCase = async (caseFolder, play) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'case-'));
	const record = openRecord(caseFolder);
	const children = [];
	const spawned = (command, words, options) => {
		const child = spawn(command, words, {cwd: repositoryRoot, stdio: ['ignore', 'pipe', 'pipe'], ...options});
		children.push(child);
		return child;
	};

	let code;
	try {
		const isBroken = await play({
			folder, record, spawned, hasTrouble,
		});
		code = isBroken ? exitCodes.broken : exitCodes.held;
		record(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		code = exitCodes.unable;
		record(`the case could not run: ${error.stack}`);
		console.error(error);
	}

	await Promise.all(children.map(async child => {
		if (child.exitCode === null && child.signalCode === null) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
		}
	}));
	rmSync(folder, {recursive: true, force: true});
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

/* eslint-disable camelcase */
/** The bounds of a small deployment, as its sheet gives them. */
export const smallBounds = {
	seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250,
	partitionMaxMs: 5000, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, retrySlack: 108, recoveryS: 12, eventDeadlineMs: 120, retryAfterS: 0,
	version_ms: 8000, version_all_ms: 0,
};
/* eslint-enable camelcase */
const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'chunks'];

/**
 * Starts `count` edge machines, each with a core and an entry process, in three zones; the
 * first three have a disk. `fields` are further fields of all settings files.
 */
export const startEdges = async ({folder, record, spawned}, {count = 3, bounds = smallBounds, fields = {}, onLine} = {}) => {
	const zones = ['zone-a', 'zone-b', 'zone-c'];
	const regions = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'};
	// Ports are the same on all machines within a day.
	const firstIp = ipOf(0);
	const firstInternal = await freePorts(firstIp, 16);
	const [frontend, readiness, control] = [await freePort(firstIp), await freePort(firstIp), await freePort(firstIp)];
	const machines = Array.from({length: count}, (_, index) => ({ip: ipOf(index), zone: zones[index % 3], hasDisk: index < 3}));
	const seeds = machines.slice(0, 3).map(({ip}) => `${ip}:${control}`);
	const start = (machine, index, role, isFirstStart) => {
		const {ip, zone, hasDisk} = machine;
		const dataDir = role === 'core' && hasDisk ? path.join(folder, `data-${index}`) : null;
		if (dataDir !== null) {
			mkdirSync(dataDir, {recursive: true});
		}

		const settings = {
			nodeName: `edge-${zone}-${index}`, role, machineClass: 'edge', serves: [role === 'entry' ? 'edge' : 'control'], ip, zone, region: regions[zone], zones: regions,
			listen: role === 'entry' ? {frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}`} : {controlPlane: `${ip}:${control}`},
			internalPorts: [firstInternal, firstInternal + 15], seeds, bootstrap: isFirstStart, countsAsLoss: hasDisk,
			limits: {
				cpuShare: 0.608, cores: 2, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 64,
			},
			dataDir, discovery: 'registration', entry: 'vip', heartbeatIntervalMs: 1200, contracts, faultTolerance: {machines: 1, zones: 0, regions: 0}, bounds, configMode: 'highest', ...fields,
		};
		const filePath = path.join(folder, `${role}-${index}.json`);
		writeFileSync(filePath, JSON.stringify(settings));
		const [command, ...words] = commandOf(role);
		const child = spawned(command, words, {env: {PATH: process.env.PATH, HOME: process.env.HOME, BITTERNPADDLE_NODE_FILE: filePath}});
		const name = `${role}-${index}`;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				for (const line of text.split('\n').filter(Boolean)) {
					onLine?.(name, line);
				}
			});
		}

		child.once('exit', (code, signal) => {
			record(`${name} ended: code ${code}, signal ${signal}`);
		});
		return child;
	};

	const edges = machines.map((machine, index) => ({
		...machine, frontend: `${machine.ip}:${frontend}`, readiness: `${machine.ip}:${readiness}`, control: `${machine.ip}:${control}`,
		core: start(machine, index, 'core', true), entry: start(machine, index, 'entry', true),
		startEntry: () => start(machine, index, 'entry', false),
		startCore: () => start(machine, index, 'core', false),
	}));
	return {
		edges,
		/** The fields that all settings files share. */
		settings: {
			zones: regions, internalPorts: [firstInternal, firstInternal + 15], seeds, discovery: 'registration', entry: 'vip', heartbeatIntervalMs: 1200, contracts,
			faultTolerance: {machines: 1, zones: 0, regions: 0}, bounds, configMode: 'highest',
		},
		controls: edges.map(edge => edge.control),
		/** Sends a manifest until it is acknowledged. */
		submit: async manifest => until('the manifest is acknowledged', async () => {
			const {status} = await send({
				address: edges[0].control, method: 'PUT', path: '/v1/config', headers: {'content-type': 'application/json'}, body: JSON.stringify(manifest),
			});
			record(`manifest ${manifest.version} answered ${status}`);
			return status === 200;
		}),
		ready: async () => until('all entries are ready', async () => {
			const answers = await Promise.all(edges.map(async edge => send({address: edge.readiness, path: '/v1/readyz'})));
			return answers.every(({status}) => status === 200);
		}),
	};
};

/** Starts a stand-in of a worker as a separate process; see `worker.mjs` and `engine.mjs`. */
export const startWorker = ({record, spawned}, options, program = 'worker.mjs') => {
	const child = spawned(process.execPath, ['--max-http-header-size=131072', path.join(import.meta.dirname, program), JSON.stringify(options)], {
		stdio: ['ignore', 'inherit', 'inherit', 'ipc'], env: {PATH: process.env.PATH},
	});
	const worker = {
		...options, child, acks: 0, runs: [], told: [],
	};
	child.on('message', message => {
		switch (message.type) {
			case 'ack': {
				worker.acks++;
				break;
			}

			case 'run': {
				worker.runs.push(message);
				worker.onRun?.(message);
				break;
			}

			default: {
				worker.told.push(message.type);
				record(`${options.id} ${JSON.stringify(message)}`);
			}
		}
	});
	return worker;
};

/** Starts the agent of a model worker on the machine of that worker. */
export const startAgent = ({folder, record, spawned}, system, {ip, zone, address, service, index}) => {
	const filePath = path.join(folder, `agent-${index}.json`);
	writeFileSync(filePath, JSON.stringify({
		...system.settings, nodeName: `side-${zone}-${index}`, role: 'agent', machineClass: 'side', serves: ['side'], ip, zone, region: system.settings.zones[zone],
		listen: {}, bootstrap: true, countsAsLoss: false,
		limits: {
			cpuShare: 0.81, cores: 1, memoryMb: 218, maxFds: 1494, linkMbps: 6.58,
		},
		dataDir: null, app: address, service,
	}));
	const [command, ...words] = commandOf('agent');
	const child = spawned(command, words, {env: {PATH: process.env.PATH, HOME: process.env.HOME, BITTERNPADDLE_NODE_FILE: filePath}});
	child.stdout.resume();
	child.stderr.resume();
	child.once('exit', (code, signal) => {
		record(`agent-${index} ended: code ${code}, signal ${signal}`);
	});
	return child;
};

export const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
