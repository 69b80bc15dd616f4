import {createRandom, type EndpointStart} from '@bitternpaddle/coordination';
import {
	createColdExchange, createPermitExchange, type ColdMessage, type LimitMessage,
} from '@bitternpaddle/gateway';
import {
	maxInWindow, simulatePermits, type SimulatedEntry, type SimulatedExchange,
} from './permit-simulation.js';

const start = 'limited@0' as EndpointStart;
const perSecond = 26;
const requestsPerSecond = 30;
const entryCounts = [2, 8, 20];
const lengthMs = 60_000;
/** Excludes the first requests, while issuers wait out the term of a possible previous issuer and entries without an answer send without permits. */
const warmUpMs = 8000;
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

const createExchangeForCold = ({index, addresses, nowMs, send, onGrant: onGranted}: SimulatedEntry<ColdMessage>): SimulatedExchange<ColdMessage> => {
	const exchange = createColdExchange({
		selfAddress: addresses[index]!, bounds: {overage: 1.5, slack: 5}, nowMs, onGranted, perSecondOf: () => perSecond, onIssuerChange: () => undefined, onWithheld: () => undefined,
		onWork: () => undefined, onUnused: () => undefined,
		send(message, [address]) {
			send(message, address!);
		},
	});
	exchange.recordPeers(addresses.filter((_, other) => other !== index));
	return {
		state: () => exchange.state(start),
		request() {
			exchange.request(start);
		},
		use() {
			exchange.use(start);
		},
		issue() {
			exchange.recordConfirmation(nowMs());
			exchange.tick();
		},
		receive: exchange.receive,
	};
};

/** An endpoint that is cold and not limited. */
const createUnlimitedExchange = (): SimulatedExchange<never> => ({
	state: () => ({type: 'available'}), request: () => undefined, use: () => undefined, receive: () => undefined, issue: () => undefined,
});

type Measured = {readonly maxInSecond: number; readonly maxInFirstSeconds: number; readonly utilization: number};

type Create<Message> = (entry: SimulatedEntry<Message>) => SimulatedExchange<Message>;

const measure = <Message>(createExchange: Create<Message>, entryCount: number, waits: boolean, seed: number): Measured => {
	const arrivalsMs = simulatePermits({
		entryCount, requestsPerSecond, waits, lengthMs, random: createRandom(seed), createExchange,
	});
	const received = arrivalsMs.filter(atMs => atMs >= warmUpMs && atMs < lengthMs);
	return {
		maxInSecond: maxInWindow(received, windowMs), maxInFirstSeconds: maxInWindow(arrivalsMs.filter(atMs => atMs < warmUpMs), windowMs),
		utilization: Number((received.length * 1000 / (perSecond * (lengthMs - warmUpMs))).toFixed(3)),
	};
};

/**
 * Measures the largest number of requests that a limited endpoint receives in any
 * second, and the part of its limit that is used, while all other endpoints are full;
 * `--seed N`.
 */
export const measureEndpointLimits = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const position = flags.indexOf('--seed');
	const seed = position === -1 ? 20_261 : Number(flags[position + 1]);
	const measureAll = <Message>(createExchange: Create<Message>, waits: boolean) => Object.fromEntries(entryCounts.map(entryCount => [entryCount, measure(createExchange, entryCount, waits, seed)]));
	return {
		bench: 'endpoint-limits', seed, perSecond, requestsPerSecond,
		unlimited: measureAll(createUnlimitedExchange, false),
		named: {goesElsewhere: measureAll(createNamedExchange, false), waits: measureAll(createNamedExchange, true)},
		cold: {goesElsewhere: measureAll(createExchangeForCold, false), waits: measureAll(createExchangeForCold, true)},
	};
};
