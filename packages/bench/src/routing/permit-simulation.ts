import {randomFraction, type PermitState, type Random} from '@bitternpaddle/coordination';

/** How an entry shares the limit of one endpoint with the others. */
export type SimulatedExchange<Message> = {
	state(): PermitState;
	request(): void;
	use(): void;
	receive(message: Message): void;
	/** Grants available permits to queued requests. */
	issue(): void;
};

export type SimulatedEntry<Message> = {
	/** Index of this entry. */
	readonly index: number;
	nowMs(): number;
	send(message: Message, address: string): void;
	/** Called when a permit arrives; requests that wait for it check again. */
	onGrant(): void;
	readonly addresses: readonly string[];
};

export type PermitSimulationOptions<Message> = {
	readonly entryCount: number;
	readonly requestsPerSecond: number;
	/** Whether a request without a permit waits briefly; otherwise it goes elsewhere at once. */
	readonly waits: boolean;
	readonly lengthMs: number;
	readonly random: Random;
	createExchange(entry: SimulatedEntry<Message>): SimulatedExchange<Message>;
};

const stepMs = 1;
const minDelayMs = 1;
const maxDelayMs = 2;
const issueMs = 10;
/** As in an entry's wait queue and in `permit-wait.ts`. */
const checkMs = 40;
const maxWaitMs = 50;

type Waiting = {readonly sinceMs: number; nextCheckMs: number};

/** Times at which the endpoint receives requests while all other endpoints are full, in virtual time. */
export const simulatePermits = <Message>({entryCount, requestsPerSecond, waits, lengthMs, random, createExchange}: PermitSimulationOptions<Message>): number[] => {
	let nowMs = 0;
	let messages: Array<{readonly address: string; readonly message: Message; readonly dueMs: number}> = [];
	const arrivalsMs: number[] = [];
	const addresses = Array.from({length: entryCount}, (_, index) => `10.0.0.${index + 1}:7700`);
	const waiting: Waiting[][] = addresses.map(() => []);
	const delayMs = (): number => random.between(minDelayMs, maxDelayMs);
	const exchanges = addresses.map((_, index) => createExchange({
		index, addresses, nowMs: () => nowMs,
		send(message, address) {
			messages.push({address, message, dueMs: nowMs + delayMs()});
		},
		onGrant() {
			for (const request of waiting[index]!) {
				request.nextCheckMs = nowMs;
			}
		},
	}));

	/** Whether the request has left: to the endpoint, or elsewhere. */
	const check = (index: number, request: Waiting): boolean => {
		const exchange = exchanges[index]!;
		if (exchange.state().type === 'limited') {
			exchange.request();
		}

		const state = exchange.state();
		if (state.type === 'available') {
			exchange.use();
			arrivalsMs.push(nowMs + delayMs());
			return true;
		}

		request.nextCheckMs = nowMs + checkMs;
		return !waits || state.nextAtMs > request.sinceMs + maxWaitMs;
	};

	const deliver = (): void => {
		const due = messages.filter(({dueMs}) => dueMs <= nowMs);
		messages = messages.filter(({dueMs}) => dueMs > nowMs);
		for (const {address, message} of due) {
			exchanges[addresses.indexOf(address)]!.receive(message);
		}
	};

	const step = (): void => {
		const atMs = nowMs;
		deliver();
		for (const [index, exchange] of exchanges.entries()) {
			if (nowMs % issueMs === 0) {
				exchange.issue();
			}

			if (randomFraction(random) < requestsPerSecond / entryCount * stepMs / 1000) {
				waiting[index]!.push({sinceMs: nowMs, nextCheckMs: nowMs});
			}

			waiting[index] = waiting[index]!.filter(request => request.nextCheckMs > atMs || !check(index, request));
		}
	};

	while (nowMs < lengthMs) {
		step();
		nowMs += stepMs;
	}

	return arrivalsMs.toSorted((a, b) => a - b);
};

/** The largest number of times within any window of this length. */
export const maxInWindow = (timesMs: readonly number[], windowMs: number): number => {
	let first = 0;
	let max = 0;
	for (const [index, atMs] of timesMs.entries()) {
		while (timesMs[first]! <= atMs - windowMs) {
			first++;
		}

		max = Math.max(max, index - first + 1);
	}

	return max;
};
