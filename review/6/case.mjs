/**
 * A worker leaves, which is acknowledged, and goes on to serve; all processes of the system are
 * killed at the same moment and start again. A heartbeat that the worker had sent before arrives late.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	freePort, ipOf, limits, runCase, send, smallBounds, startEdges, startWorker, until,
} from '../lib-2/system.mjs';

const workerCount = 3;
const requestsPerSecond = 40;
const deadlineMs = 1500;
/** From the ack of the leave. */
const killAfterMs = 300;
const downMs = 700;
const lateMs = 3000;
const servesMs = 10_000;

const manifest = {
	version: 3,
	routes: [{
		name: 'queue-read', host: 'queue.example', pathPrefix: '/queue/', type: 'safe', timeoutMs: 800, targetLatencyMs: 300, priority: 1, service: 'queue-core', maxAttempts: 2, public: false,
	}],
	services: [{
		name: 'queue-core', healthPath: '/healthz', maxConnections: 230, protocol: 'h1', tls: false,
	}],
	limits, tenants: [{name: 'carrier', apiKeys: ['key-of-carrier'], priority: 1}],
};

await runCase(import.meta.dirname, async scene => {
	const {record, hasTrouble} = scene;
	const system = await startEdges(scene);
	const workers = [];
	for (let index = 0; index < workerCount; index++) {
		workers.push(startWorker(scene, {
			id: `i-${index}`, address: `${ipOf(10 + index)}:${await freePort(ipOf(10 + index))}`, service: 'queue-core', zone: `zone-${'abc'[index]}`, controls: system.controls,
		}));
	}

	await system.submit(manifest);
	await system.ready();
	await until('all workers are registered', () => workers.every(({acks}) => acks > 0));

	const sentAtMs = new Map();
	const ending = new AbortController();
	const counts = {};
	const call = async index => {
		const requestId = randomUUID().slice(0, 16);
		sentAtMs.set(requestId, performance.now());
		const {status} = await send({
			address: system.edges[index % system.edges.length].frontend, path: `/queue/${index}`, timeoutMs: deadlineMs,
			headers: {
				host: 'queue.example', authorization: 'Bearer key-of-carrier', 'x-bitternpaddle-request-id': requestId, 'x-bitternpaddle-deadline-ms': String(deadlineMs),
			},
		});
		counts[status] = (counts[status] ?? 0) + 1;
		record(`request ${requestId} answered ${status}`);
	};

	const consuming = (async () => {
		for (let index = 0; !ending.signal.aborted; index++) {
			call(index);
			await delay(1000 / requestsPerSecond);
		}
	})();
	const [leaver] = workers;
	const runs = [];
	leaver.onRun = ({requestId}) => {
		runs.push({requestId, atMs: performance.now()});
		record(`${leaver.id} runs ${requestId}`);
	};

	// Longer than `stableWindowMs`, so that all machines are in touch when the worker leaves.
	await delay(smallBounds.stableWindowMs + 2000);
	leaver.child.send({lateMs});
	await until('the leave is acknowledged', () => leaver.told.includes('left'), 5000);
	const leftAtMs = performance.now();
	let startedAtMs = Number.NEGATIVE_INFINITY;
	if (hasTrouble) {
		await delay(killAfterMs);
		record('all processes of the system are killed');
		for (const {core, entry} of system.edges) {
			core.kill('SIGKILL');
			entry.kill('SIGKILL');
		}

		await delay(downMs);
		for (const edge of system.edges) {
			edge.startCore();
			edge.startEntry();
		}

		startedAtMs = performance.now();
		record('all processes of the system start again');
	}

	await delay(Math.max(0, leftAtMs + servesMs - performance.now()));
	ending.abort();
	await consuming;
	await delay(500);
	leaver.child.kill('SIGKILL');
	// Machines are in touch again `stableWindowMs` after their start.
	const inTouchFromMs = startedAtMs + smallBounds.stableWindowMs + 500;
	const late = runs.filter(({requestId, atMs}) => atMs > leftAtMs + smallBounds.drainMs && sentAtMs.get(requestId) > inTouchFromMs);
	record(`answers: ${JSON.stringify(counts)}`);
	for (const {requestId, atMs} of late) {
		record(`${leaver.id} ran ${requestId} ${Math.round(atMs - leftAtMs)} ms after its leave was acknowledged`);
	}

	record(`${late.length} requests reached ${leaver.id} later than ${smallBounds.drainMs} ms after its leave was acknowledged, sent by machines in touch`);
	console.log(JSON.stringify(counts), late.length, late.slice(0, 3).map(({atMs}) => Math.round(atMs - leftAtMs)));
	return late.length > 0;
});
