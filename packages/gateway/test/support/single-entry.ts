import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock, type WeightsProof} from '@bitternpaddle/coordination';
import type {RoutingConfiguration} from '@bitternpaddle/state';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {
	readBody, sendHttp, silentLogger, type Logger,
} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {
	createCoreNode, createEntryNode, createGatewayMetrics, createLoadReporter, type RequestProtocol,
} from '@bitternpaddle/gateway';

export const configuration: RoutingConfiguration = {
	number: 1,
	routes: [{
		name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 2000, objectiveMs: 400, pauseObjectiveMs: 300, priority: 1,
		targets: [{serviceName: 's', weight: 1}], maxAttempts: 2, isPublic: true, isResumable: true,
	}],
	services: [{
		name: 's', maxConnections: 10, origin: null, engine: {
			slots: 4, stepsPerPass: 2, stepMs: 5, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 30_000, usualPromptTokens: 100, usualAnswerTokens: 10,
			kvCapacityTokens: 1000, model: 'm', chunks: 1, chunkBytes: 1, loadMs: 0,
		},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: null,
};

export const protocol: RequestProtocol = {
	headers: {
		requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
		urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
	},
	decodeConfiguration: () => ({type: 'configuration', configuration}),
	readTokens: headers => ({prompt: 100, maxAnswer: Number(headers['x-tokens'] ?? 10)}),
	readLoad: () => null,
	readLimit: () => ({type: 'unlimited'}),
	readPause: () => ({type: 'none'}),
	isLeaving: () => false,
};

export type Serve = (request: IncomingMessage, response: ServerResponse) => void;

export const stream: Serve = (request, response) => {
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': request.headers['x-id'], 'x-signature': 's'});
	response.end('id: 1\ndata: a\n\n');
};

const engineId = 'e1';

/** What the agent reports once it has shown the weights of the engine to be whole. */
export const wholeWeights = (version: number): WeightsProof => ({
	type: 'whole', version, engineId, startedAtMs: null,
});

export type DeployOptions = {
	/** @default 2000 */
	readonly graceMs?: number;
	/** Retries that the entry may make in addition to a share of the requests. @default 10 */
	readonly retryReserve?: number;
	/** Of the entry. @default silentLogger */
	readonly logger?: Logger;
	/** @default protocol */
	readonly requestProtocol?: RequestProtocol;
	/** What is reported from the start. @default wholeWeights(1) */
	readonly weights?: WeightsProof;
	/** Whether the agent sends reports from the start. @default true */
	readonly isReported?: boolean;
	/** Whether the entry's first answer is awaited. @default true */
	readonly isServing?: boolean;
};

/** What the agent reports on the engine; tests change it. */
type EngineFields = {weights: WeightsProof; readyInMs: number | null; isReported: boolean};

/** Starts a core host, an entry and one engine in this process; `stepClockMs` steps the wall clock of the entry. */
export const deploy = async (t: Test, serve: Serve, options: DeployOptions = {}) => {
	const {
		graceMs = 2000, retryReserve = 10, logger = silentLogger, requestProtocol = protocol, weights = wholeWeights(1), isReported = true, isServing = true,
	} = options;
	const engineState: EngineFields = {weights, readyInMs: null, isReported};
	const [core, entry, front, readiness] = await freeAddresses(4);
	const engine = createServer(serve);
	await new Promise<void>(resolve => {
		engine.listen(0, '127.0.0.1', resolve);
	});
	const engineAddress = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
	let addedMs = 0;
	const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now() + addedMs});
	const coreNode = await createCoreNode({
		selfAddress: core!, zoneId: 'z', regionId: 'r', folder: path.join(testFolder(t), 'core'), isFirstStart: true, seeds: () => [core!], toleratedLosses: 0, clock, logger: silentLogger,
		retryTerms: {share: 0.2, reserve: retryReserve, windowMs: 10_000},
	});
	const entryNode = await createEntryNode({
		selfAddress: entry!, zoneId: 'z', regionId: 'r', listen: front!, readinessListen: readiness!, seeds: () => [core!], protocol: requestProtocol, clock, logger, randomSeed: 7,
		metrics: createGatewayMetrics(),
		bounds: {
			revocationMs: 5000, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, graceMs,
		},
	});
	const reporter = createLoadReporter({endpointAddress: engineAddress, zoneId: 'z', entries: () => [{address: entry!, zoneId: 'z'}]});
	let sequence = 0;
	const timer = setInterval(() => {
		if (engineState.isReported) {
			reporter.send({
				running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: engineState.weights, readyInMs: engineState.readyInMs,
			}, true);
		}

		sequence++;
		coreNode.announce({
			id: engineId, serviceName: 's', address: engineAddress, zoneId: 'z', slots: 4, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence,
		});
	}, 50);
	t.teardown(async () => {
		clearInterval(timer);
		reporter.close();
		entryNode.close();
		await coreNode.close();
		engine.closeAllConnections();
		engine.close();
	});
	const call = async (id: string, signal?: AbortSignal, deadlineMs = 2000): Promise<{status: number; text: string; headers: IncomingHttpHeaders}> => {
		const response = await sendHttp({
			address: front!, method: 'POST', path: '/x', headers: {host: 'a.example', 'x-id': id, 'x-deadline': String(deadlineMs)}, body: 'hello', idleTimeoutMs: 5000, signal, agent: false,
		});
		return {status: response.statusCode!, text: (await readBody(response)).toString(), headers: response.headers};
	};

	while (await coreNode.submit({kind: 'configuration', number: 1, text: '{}'}) === 'unknown') {
		await delay(30);
	}

	const servesFirst = async (): Promise<boolean> => !isServing || (await call('first')).status === 200;
	while (!entryNode.isReady() || !await servesFirst()) {
		await delay(30);
	}

	return {
		engineState, call, coreNode, entryNode, front: front!, engineAddress, entryAddress: entry!, stepClockMs(stepMs: number) {
			addedMs += stepMs;
		},
	};
};
