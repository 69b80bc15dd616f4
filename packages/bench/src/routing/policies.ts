import {
	cancelRequest, chooseEndpoint, createAdmission, createRandom, createRetryBudget, createRouter, finishRequest, hasRoom, noteEnd, noteFirstByte, noteFreshRequest,
	noteLoadReport, noteStart, offerRequest, returnToQueue, setEntries, setShares, takeRequest, takeRetry, tickAdmission, tickRouter, updateRouter, waitingFor,
	type RouterOptions,
} from '@bitternpaddle/coordination';
import {createBenchCatalog} from './catalog.js';
import type {
	BenchRequest, ModelEndpoint, SendOutcome, World,
} from './world.js';

/** What one entry does with the requests that come to it. */
export type Policy = {offer(request: BenchRequest): void};

export type PolicyOptions = {
	readonly world: World;
	readonly entryId: string;
	readonly entryIds: readonly string[];
	/** Weights by team. */
	readonly teams: ReadonlyMap<string, number>;
	/** @default {} */
	readonly router?: Partial<RouterOptions>;
};

export type PolicyName = 'bitternpaddle' | 'random' | 'roundRobin' | 'leastOutstanding';

const maxAttempts = 3;
const tickMs = 100;

/** The decisions that the entry runs, with the world in place of sockets. */
const createOwnPolicy = ({world, entryId, entryIds, teams, router: routerOptions = {}}: PolicyOptions): Policy => {
	const router = createRouter({
		entryId, zoneId: 'tacoma-hall', regionId: 'puget', random: createRandom(world.random.between(1, 1e9)), ...routerOptions,
	});
	updateRouter(router, createBenchCatalog(world.endpoints), null, 0);
	setEntries(router, entryIds, 0);
	const admission = createAdmission({maxQueuedPerTarget: 4096, maxQueuedPerTeam: 2048});
	setShares(admission, {teams, entries: entryIds.length}, 0);
	const budget = createRetryBudget({nowMs: 0});
	const endpointOf = new Map(world.endpoints.map(endpoint => [endpoint.hostId, endpoint]));
	const requests = new Map<string, BenchRequest>();
	const target = {type: 'model', modelId: 'm'} as const;
	const targetKey = 'm';

	const report = (endpoint: ModelEndpoint): void => {
		noteLoadReport(router, endpoint.hostId, world.report(endpoint), world.nowMs());
	};

	const finish = (request: BenchRequest, hasRun: boolean): void => {
		finishRequest(admission, request.id, {hasRun}, world.nowMs());
		requests.delete(request.id);
	};

	const place = (request: BenchRequest): void => {
		const choice = chooseEndpoint(router, {target, tried: request.tried, prefixKey: request.prefix}, world.nowMs());
		if (choice.type === 'chosen') {
			for (const {hostId} of choice.probes) {
				world.at(world.nowMs() + 2, () => {
					report(endpointOf.get(hostId)!);
				});
			}

			dispatch(request, endpointOf.get(choice.endpoint.hostId)!);
		} else if (choice.type === 'busy') {
			returnToQueue(admission, request.id);
		} else {
			finish(request, false);
		}
	};

	const dispatch = (request: BenchRequest, endpoint: ModelEndpoint): void => {
		const {hostId} = endpoint;
		const sentAtMs = world.nowMs();
		let hadFirstByte = false;
		let latencyMs = 0;
		request.attempts++;
		noteStart(router, hostId, sentAtMs);
		world.send({
			request, endpoint, canQueue: false,
			onFirstByte() {
				hadFirstByte = true;
				latencyMs = world.nowMs() - sentAtMs;
				noteFirstByte(router, hostId, world.nowMs());
				report(endpoint);
			},
			onEnd(outcome) {
				noteEnd(router, hostId, {outcome: outcome === 'answered' ? {type: 'answered', latencyMs} : {type: outcome}, hadFirstByte}, world.nowMs());
				settle(request, endpoint, outcome);
				pump();
			},
		});
	};

	const settle = (request: BenchRequest, endpoint: ModelEndpoint, outcome: SendOutcome): void => {
		if (outcome === 'answered') {
			request.answeredAtMs = world.nowMs();
			finish(request, true);
		} else if (outcome === 'full') {
			returnToQueue(admission, request.id);
		} else if (request.attempts < maxAttempts && world.nowMs() < request.deadlineAtMs && takeRetry(budget, world.nowMs())) {
			request.tried.add(endpoint.hostId);
			place(request);
		} else {
			finish(request, false);
		}
	};

	const pump = (): void => {
		// At most one pass over what waits: a request that finds no place goes back.
		for (let left = waitingFor(admission, targetKey); left > 0 && hasRoom(router, target); left--) {
			const {request} = takeRequest(admission, targetKey, world.nowMs());
			if (request === null) {
				return;
			}

			place(requests.get(request.requestId)!);
		}
	};

	const tick = (): void => {
		tickRouter(router, world.nowMs());
		tickAdmission(admission, world.nowMs());
		pump();
		world.at(world.nowMs() + tickMs, tick);
	};

	tick();
	return {
		offer(request) {
			noteFreshRequest(budget);
			const {type} = offerRequest(admission, {
				requestId: request.id, teamId: request.teamId, target: targetKey, cost: request.tokens + (request.promptTokens / 20), priority: 0, deadlineAtMs: request.deadlineAtMs,
			}, world.nowMs());
			if (type === 'queued') {
				requests.set(request.id, request);
				world.at(request.deadlineAtMs, () => {
					cancelRequest(admission, request.id);
				});
				pump();
			}
		},
	};
};

/** A simple balancer: picks at once, and the endpoint's own queue takes what is too much, first come first served. */
const createBaseline = (name: Exclude<PolicyName, 'bitternpaddle'>, {world}: PolicyOptions): Policy => {
	const outstanding = new Map<string, number>(world.endpoints.map(endpoint => [endpoint.hostId, 0]));
	let next = 0;
	const pick = ({tried}: BenchRequest): ModelEndpoint => {
		const untried = world.endpoints.filter(endpoint => !tried.has(endpoint.hostId));
		if (name === 'roundRobin') {
			return untried[next++ % untried.length]!;
		}

		const offset = world.random.between(0, untried.length - 1);
		if (name === 'random') {
			return untried[offset]!;
		}

		let best = untried[offset]!;
		for (let index = 0; index < untried.length; index++) {
			const endpoint = untried[(offset + index) % untried.length]!;
			best = outstanding.get(endpoint.hostId)! < outstanding.get(best.hostId)! ? endpoint : best;
		}

		return best;
	};

	const offer = (request: BenchRequest): void => {
		const endpoint = pick(request);
		const count = (change: number): void => {
			outstanding.set(endpoint.hostId, outstanding.get(endpoint.hostId)! + change);
		};

		request.attempts++;
		count(1);
		world.send({
			request, endpoint, canQueue: true,
			onFirstByte() {
				// A plain balancer learns nothing from it.
			},
			onEnd(outcome) {
				count(-1);
				if (outcome === 'answered') {
					request.answeredAtMs = world.nowMs();
				} else if (request.attempts < maxAttempts && world.nowMs() < request.deadlineAtMs) {
					request.tried.add(endpoint.hostId);
					offer(request);
				}
			},
		});
	};

	return {offer};
};

export const createPolicy = (name: PolicyName, options: PolicyOptions): Policy => name === 'bitternpaddle' ? createOwnPolicy(options) : createBaseline(name, options);
