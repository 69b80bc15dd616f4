import process from 'node:process';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import {
	createAgentNode, createCoreNode, createEntryNode, createGatewayMetrics, createLineLogger, type EngineState,
} from '@bitternpaddle/gateway';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import {protocol, serviceName, zones} from './deployment.js';

/** The role that a process of this benchmark runs, with its addresses. */
export type RoleSettings = {
	readonly role: 'entry' | 'agent' | 'core';
	readonly selfAddress: string;
	/** For an entry: the address that callers connect to. */
	readonly listen: string;
	readonly readinessListen: string;
	/** For an agent: the address of its engine. */
	readonly engineAddress: string;
	readonly seeds: readonly string[];
	readonly folder: string;
};

const engineTimeoutMs = 400;

const startRole = async ({role, selfAddress, listen, readinessListen, engineAddress, seeds, folder}: RoleSettings): Promise<void> => {
	const common = {
		selfAddress, zoneId: zones[0], regionId: zones[0], seeds: () => seeds, logger: createLineLogger({labels: {role}}),
		clock: createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()}),
	};
	const metrics = createGatewayMetrics();
	switch (role) {
		case 'entry': {
			await createEntryNode({
				...common, listen, readinessListen, protocol, metrics, randomSeed: 7,
				bounds: {
					revocationMs: 5000, versionDueMs: 9700, retryShare: 0.2, retryWindowMs: 10_000, graceMs: 8000,
				},
			});
			return;
		}

		case 'core': {
			await createCoreNode({
				...common, folder, isFirstStart: true, toleratedLosses: 0, retryTerms: {share: 0.2, reserve: 200, windowMs: 10_000},
			});
			return;
		}

		case 'agent': {
			await createAgentNode({
				...common, metrics, protocol, endpointAddress: engineAddress, serviceName, linkBytesPerSecond: 822_500, versionDueMs: 9700,
				engine: {
					async state() {
						const response = await sendHttp({address: engineAddress, path: '/', idleTimeoutMs: engineTimeoutMs});
						return {...JSON.parse((await readBody(response)).toString()) as EngineState, askedAtMs: performance.now()};
					},
					identity: async () => null,
					putChunk: async () => 'written',
					getChunk: async () => null,
					load: async () => 'done',
				},
				origin: {
					digests: async () => null,
					async chunk() {
						throw new Error('the fake origin has no weights');
					},
				},
			});
		}
	}
};

/** Runs the role described by the first argument until the process is terminated. */
export const runProgram = async (): Promise<void> => {
	// Exits gracefully, so that the CPU profile is written.
	process.on('SIGINT', () => {
		process.exit(0);
	});
	await startRole(JSON.parse(process.argv[2]!) as RoleSettings);
};
