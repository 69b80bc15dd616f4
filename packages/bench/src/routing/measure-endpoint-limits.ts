import {createRandom, type EndpointStart} from '@bitternpaddle/coordination';
import {createPermitExchange, type LimitMessage} from '@bitternpaddle/gateway';
import {
	maxInWindow, simulatePermits, type SimulatedEntry, type SimulatedExchange,
} from './permit-simulation.js';

const start = 'limited@0' as EndpointStart;
const perSecond = 26;
const requestsPerSecond = 30;
const entryCounts = [2, 8, 20];
const lengthMs = 60_000;
/** Excludes the first requests, for which issuers have no permits yet. */
const warmUpMs = 2000;
const windowMs = 1000;

const createNamedExchange = ({index, addresses, nowMs, send, onGrant: onGranted}: SimulatedEntry<LimitMessage>): SimulatedExchange<LimitMessage> => {
	const exchange = createPermitExchange({
		selfAddress: addresses[index]!, peers: () => addresses.filter((_, other) => other !== index), random: createRandom(index + 1), nowMs,
		limitOf: () => ({start, perSecond, advertisedAtMs: nowMs()}), onIssuerChange: () => undefined, onQueued: () => undefined, onGranted,
		send(message, [address]) {
			send(message, address!);
		},
	});
	return {
		state: () => exchange.state(start),
		request() {
			exchange.request(start);
		},
		use() {
			exchange.use(start);
		},
		issue() {
			exchange.issue();
		},
		receive(message) {
			if (message.type === 'request') {
				exchange.handleRequest(message);
			} else if (message.type === 'reply') {
				exchange.handleReply(message.limit.start, message.reply);
			}
		},
	};
};

type Measured = {readonly maxInSecond: number; readonly utilization: number};

const measure = (entryCount: number, waits: boolean, seed: number): Measured => {
	const arrivalsMs = simulatePermits({
		entryCount, requestsPerSecond, waits, lengthMs, random: createRandom(seed), createExchange: createNamedExchange,
	});
	const received = arrivalsMs.filter(atMs => atMs >= warmUpMs && atMs < lengthMs);
	return {maxInSecond: maxInWindow(arrivalsMs, windowMs), utilization: Number((received.length * 1000 / (perSecond * (lengthMs - warmUpMs))).toFixed(3))};
};

/**
 * Measures the largest number of requests that a limited endpoint receives in any
 * second, and the part of its limit that is used, while all other endpoints are full;
 * `--seed N`.
 */
export const measureEndpointLimits = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const position = flags.indexOf('--seed');
	const seed = position === -1 ? 20_261 : Number(flags[position + 1]);
	const measureAll = (waits: boolean) => Object.fromEntries(entryCounts.map(entryCount => [entryCount, measure(entryCount, waits, seed)]));
	return {
		bench: 'endpoint-limits', seed, perSecond, requestsPerSecond,
		named: {goesElsewhere: measureAll(false), waits: measureAll(true)},
	};
};
