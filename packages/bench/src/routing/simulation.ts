import {createRandom, type Random} from '@bitternpaddle/coordination';
import TinyQueue from 'tinyqueue';

/** A caller's request in virtual time. */
export type BenchRequest = {
	readonly id: string;
	readonly teamId: string;
	readonly prefix: string | null;
	readonly promptTokens: number;
	readonly tokens: number;
	readonly arrivedAtMs: number;
	readonly deadlineAtMs: number;
	attempts: number;
	readonly tried: Set<string>;
	/** `null` while unanswered. */
	answeredAtMs: number | null;
	isCacheHit: boolean;
};

export type EndpointFault = 'none' | 'lost' | 'failsFast' | 'silent';

/** A simulated endpoint: a batch of limited size, a queue, a small prefix cache, and load reports that lag behind. */
export type ModelEndpoint = {
	readonly hostId: string;
	readonly zoneId: string;
	readonly capacity: number;
	fault: EndpointFault;
	running: number;
	readonly queue: Array<() => void>;
	/** Cached prefixes, least recently used first. */
	readonly cache: Set<string>;
	reportedRunning: number;
	reportedAtMs: number;
	workMs: number;
};

export type SendOutcome = 'answered' | 'full' | 'failed';

export type SendOptions = {
	readonly request: BenchRequest;
	readonly endpoint: ModelEndpoint;
	/** Whether the endpoint queues requests while it has no free slot; otherwise it refuses them, as the request gate does. */
	readonly canQueue: boolean;
	onFirstByte(): void;
	onEnd(outcome: SendOutcome): void;
};

const networkMs = 1;
const msPerToken = 10;
const msPerPromptToken = 0.5;
const cachedPrefixes = 8;
/** Share by which each token takes longer in a full batch than in a single request. */
const batchSlowdown = 0.5;

export const fullBatchMs = (tokens: number, promptTokens: number): number => (tokens * msPerToken * (1 + batchSlowdown)) + (promptTokens * msPerPromptToken);

export type Simulation = {
	readonly random: Random;
	readonly endpoints: readonly ModelEndpoint[];
	nowMs(): number;
	at(atMs: number, action: () => void): void;
	send(options: SendOptions): void;
	/** Returns the current load report of an endpoint, which is up to `lagMs` old. */
	report(endpoint: ModelEndpoint): {readonly running: number; readonly ageMs: number};
	run(untilMs: number): void;
};

export type SimulationOptions = {
	readonly seed: number;
	readonly endpoints: number;
	readonly capacity: number;
	/** Maximum age of a load report. */
	readonly lagMs: number;
};

const zones = ['tacoma-hall', 'salem-hall', 'spokane-hall'];

export const createSimulation = ({seed, endpoints: count, capacity, lagMs}: SimulationOptions): Simulation => {
	const random = createRandom(seed);
	const events = new TinyQueue<{readonly atMs: number; readonly order: number; readonly action: () => void}>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	let nowMs = 0;
	let order = 0;
	const at = (atMs: number, action: () => void): void => {
		events.push({atMs, order: order++, action});
	};

	const endpoints = Array.from({length: count}, (_, index): ModelEndpoint => ({
		hostId: `h${index}`, zoneId: zones[index % zones.length]!, capacity, fault: 'none', running: 0, queue: [], cache: new Set(),
		reportedRunning: 0, reportedAtMs: 0, workMs: 0,
	}));

	const start = ({request, endpoint, onFirstByte, onEnd}: SendOptions): void => {
		endpoint.running++;
		request.isCacheHit = useCache(endpoint, request.prefix);
		const promptMs = request.promptTokens * msPerPromptToken * (request.isCacheHit ? 0.1 : 1);
		const answerMs = request.tokens * msPerToken * (1 + (batchSlowdown * endpoint.running / endpoint.capacity));
		endpoint.workMs += promptMs + answerMs;
		at(nowMs + promptMs + networkMs, onFirstByte);
		at(nowMs + promptMs + answerMs, () => {
			endpoint.running--;
			endpoint.queue.shift()?.();
			at(nowMs + networkMs, () => {
				onEnd('answered');
			});
		});
	};

	const arrive = (options: SendOptions): void => {
		const {request, endpoint, canQueue, onEnd} = options;
		if (endpoint.fault === 'silent') {
			at(Math.max(nowMs, request.deadlineAtMs), () => {
				onEnd('failed');
			});
		} else if (endpoint.fault === 'none') {
			if (endpoint.running < endpoint.capacity) {
				start(options);
			} else if (canQueue) {
				endpoint.queue.push(() => {
					start(options);
				});
			} else {
				at(nowMs + networkMs, () => {
					onEnd('full');
				});
			}
		} else {
			at(nowMs + networkMs, () => {
				onEnd('failed');
			});
		}
	};

	return {
		random, endpoints, at,
		nowMs: () => nowMs,
		send(options) {
			at(nowMs + networkMs, () => {
				arrive(options);
			});
		},
		report(endpoint) {
			if (nowMs - endpoint.reportedAtMs >= lagMs) {
				endpoint.reportedRunning = endpoint.running;
				endpoint.reportedAtMs = nowMs;
			}

			return {running: endpoint.reportedRunning, ageMs: nowMs - endpoint.reportedAtMs};
		},
		run(untilMs) {
			for (let event = events.pop(); event !== undefined && event.atMs <= untilMs; event = events.pop()) {
				nowMs = event.atMs;
				event.action();
			}
		},
	};
};

const useCache = ({cache}: ModelEndpoint, prefix: string | null): boolean => {
	if (prefix === null) {
		return false;
	}

	const isHit = cache.delete(prefix);
	cache.add(prefix);
	if (cache.size > cachedPrefixes) {
		const [oldest] = cache;
		cache.delete(oldest!);
	}

	return isHit;
};
