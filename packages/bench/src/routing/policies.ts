import {
	cancelRequest, chooseEndpoint, createAdmission, createRandom, createRetryBudget, createRouter, finishRequest, hasSpareSlots, recordEnd, recordFirstByte, recordFirstAttempt,
	recordLoadReport, recordStart, offerRequest, returnToQueue, setEntries, setShares, dequeueRequest, takeRetry, tickAdmission, tickRouter, updateRouter, waitingCount,
	type RouterOptions,
} from '@bitternpaddle/coordination';
import {createBenchCatalog} from './catalog.js';
import type {
	BenchRequest, ModelEndpoint, SendOutcome, Simulation,
} from './simulation.js';

/** The policy with which one entry handles its incoming requests. */
export type Policy = {offer(request: BenchRequest): void};

export type PolicyOptions = {
	readonly simulation: Simulation;
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

/** The entry's real decisions, with the simulation in place of sockets. */
const createEntryPolicy = ({simulation, entryId, entryIds, teams, router: routerOptions = {}}: PolicyOptions): Policy => {
	const router = createRouter({
		entryId, zoneId: 'tacoma-hall', regionId: 'puget', random: createRandom(simulation.random.between(1, 1e9)), ...routerOptions,
	});
	updateRouter(router, createBenchCatalog(simulation.endpoints), null, 0);
	setEntries(router, entryIds, 0);
	const admission = createAdmission({maxQueuedPerTarget: 4096, maxQueuedPerTeam: 2048});
	setShares(admission, {teams, entries: entryIds.length}, 0);
	const budget = createRetryBudget({nowMs: 0});
	const endpointOf = new Map(simulation.endpoints.map(endpoint => [endpoint.hostId, endpoint]));
	const requests = new Map<string, BenchRequest>();
	const target = {type: 'model', modelId: 'm'} as const;
	const targetKey = 'm';

	const report = (endpoint: ModelEndpoint): void => {
		recordLoadReport(router, endpoint.hostId, simulation.report(endpoint), simulation.nowMs());
	};

	const finish = (request: BenchRequest, hasRun: boolean): void => {
		finishRequest(admission, request.id, {hasRun}, simulation.nowMs());
		requests.delete(request.id);
	};

	const placeRequest = (request: BenchRequest): void => {
		const choice = chooseEndpoint(router, {target, tried: request.tried, prefixKey: request.prefix}, simulation.nowMs());
		if (choice.type === 'chosen') {
			for (const {hostId} of choice.probes) {
				simulation.at(simulation.nowMs() + 2, () => {
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
		const sentAtMs = simulation.nowMs();
		let hadFirstByte = false;
		let latencyMs = 0;
		request.attempts++;
		recordStart(router, hostId, sentAtMs);
		simulation.send({
			request, endpoint, canQueue: false,
			onFirstByte() {
				hadFirstByte = true;
				latencyMs = simulation.nowMs() - sentAtMs;
				recordFirstByte(router, hostId, simulation.nowMs());
				report(endpoint);
			},
			onEnd(outcome) {
				recordEnd(router, hostId, {outcome: outcome === 'answered' ? {type: 'answered', latencyMs} : {type: outcome}, hadFirstByte}, simulation.nowMs());
				handleOutcome(request, endpoint, outcome);
				dispatchQueued();
			},
		});
	};

	const handleOutcome = (request: BenchRequest, endpoint: ModelEndpoint, outcome: SendOutcome): void => {
		if (outcome === 'answered') {
			request.answeredAtMs = simulation.nowMs();
			finish(request, true);
		} else if (outcome === 'full') {
			returnToQueue(admission, request.id);
		} else if (request.attempts < maxAttempts && simulation.nowMs() < request.deadlineAtMs && takeRetry(budget, simulation.nowMs())) {
			request.tried.add(endpoint.hostId);
			placeRequest(request);
		} else {
			finish(request, false);
		}
	};

	const dispatchQueued = (): void => {
		// At most one pass over the queue: a request that finds no free slot is returned to it.
		for (let left = waitingCount(admission, targetKey); left > 0 && hasSpareSlots(router, target); left--) {
			const {request} = dequeueRequest(admission, targetKey, simulation.nowMs());
			if (request === null) {
				return;
			}

			placeRequest(requests.get(request.requestId)!);
		}
	};

	const tick = (): void => {
		tickRouter(router, simulation.nowMs());
		tickAdmission(admission, simulation.nowMs());
		dispatchQueued();
		simulation.at(simulation.nowMs() + tickMs, tick);
	};

	tick();
	return {
		offer(request) {
			recordFirstAttempt(budget);
			const {type} = offerRequest(admission, {
				requestId: request.id, teamId: request.teamId, target: targetKey, cost: request.tokens + (request.promptTokens / 20), priority: 0, deadlineAtMs: request.deadlineAtMs,
			}, simulation.nowMs());
			if (type === 'queued') {
				requests.set(request.id, request);
				simulation.at(request.deadlineAtMs, () => {
					cancelRequest(admission, request.id);
				});
				dispatchQueued();
			}
		},
	};
};

/** A simple load balancer: selects an endpoint immediately, and the endpoint's own FIFO queue holds the excess requests. */
const createBaseline = (name: Exclude<PolicyName, 'bitternpaddle'>, {simulation}: PolicyOptions): Policy => {
	const outstanding = new Map<string, number>(simulation.endpoints.map(endpoint => [endpoint.hostId, 0]));
	let next = 0;
	const pickEndpoint = ({tried}: BenchRequest): ModelEndpoint => {
		const untried = simulation.endpoints.filter(endpoint => !tried.has(endpoint.hostId));
		if (name === 'roundRobin') {
			return untried[next++ % untried.length]!;
		}

		const offset = simulation.random.between(0, untried.length - 1);
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
		const endpoint = pickEndpoint(request);
		const changeOutstanding = (change: number): void => {
			outstanding.set(endpoint.hostId, outstanding.get(endpoint.hostId)! + change);
		};

		request.attempts++;
		changeOutstanding(1);
		simulation.send({
			request, endpoint, canQueue: true,
			onFirstByte() {
				// A simple load balancer does not use the first byte.
			},
			onEnd(outcome) {
				changeOutstanding(-1);
				if (outcome === 'answered') {
					request.answeredAtMs = simulation.nowMs();
				} else if (request.attempts < maxAttempts && simulation.nowMs() < request.deadlineAtMs) {
					request.tried.add(endpoint.hostId);
					offer(request);
				}
			},
		});
	};

	return {offer};
};

export const createPolicy = (name: PolicyName, options: PolicyOptions): Policy => name === 'bitternpaddle' ? createEntryPolicy(options) : createBaseline(name, options);
