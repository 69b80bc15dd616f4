import type {RequestProtocol} from '@bitternpaddle/gateway';
import type {RoutingConfiguration} from '@bitternpaddle/state';

export const serviceName = 'writers';
export const zones = ['z0', 'z1', 'z2', 'z3', 'z4'] as const;
export const coreCount = zones.length;
/** Four entries per ten engines. */
const entriesPerEngine = 0.4;

export const entryCountOf = (engineCount: number): number => Math.max(zones.length, Math.round(engineCount * entriesPerEngine));

export const zoneOf = (index: number): string => zones[index % zones.length]!;

/** Routes of a typical deployment; engines with the published speeds. */
export const configuration: RoutingConfiguration = {
	number: 1,
	routes: [{
		name: 'draft', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 6000, objectiveMs: 500, pauseObjectiveMs: 400, priority: 1,
		targets: [{serviceName, weight: 1}], maxAttempts: 2, isPublic: true, isResumable: true,
	}],
	services: [{
		name: serviceName, maxConnections: 500, origin: null, engine: {
			slots: 8, stepsPerPass: 6, stepMs: 11, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 21_000, usualPromptTokens: 970, usualAnswerTokens: 80,
			kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
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
	readTokens: () => ({prompt: 970, maxAnswer: 80}),
	readLoad: () => null,
	readLimit: () => ({type: 'unlimited'}),
	readPause: () => ({type: 'none'}),
	isLeaving: () => false,
};
