import {
	createRandom, randomFraction, rendezvousOrder, type EndpointStart, type Random,
} from '@bitternpaddle/coordination';
import {createColdExchange, type ColdExchange, type ColdMessage} from '@bitternpaddle/gateway';

export const coldStart = 'cold@0' as EndpointStart;
export const coldPerSecond = 26;

export type ColdEntry = {
	readonly address: string;
	exchange: ColdExchange;
	isRunning: boolean;
	/** Reaches neither other entries nor the core, but the endpoint. */
	isPartitioned: boolean;
	lastSeenAtMs: number;
	/** Times from which on its requests wait for a permit. */
	waitingSinceMs: number[];
};

/** Entries that send requests to one cold endpoint, and the core that lists them, in virtual time. */
export type ColdFleet = {
	readonly entries: readonly ColdEntry[];
	/** Times at which the endpoint received requests. */
	readonly sendsMs: number[];
	readonly random: Random;
	isCoreRunning: boolean;
	nowMs(): number;
	issuer(): ColdEntry;
	runUntil(untilMs: number, onStep?: (nowMs: number) => void): void;
	/** Replaces the process of an entry; its state is lost. */
	restart(entry: ColdEntry): void;
};

export type ColdFleetOptions = {
	readonly seed: number;
	readonly entryCount: number;
	readonly requestsPerSecond: number;
	/** Share of messages that are lost. @default 0 */
	readonly lossShare?: number;
};

const stepMs = 1;
const maxWaitMs = 50;
/** As in `core/followers.ts`. */
const followerTimeoutMs = 2500;
/** Interval at which an entry hears of a changed list; the longest that an open poll may take. */
const pollMs = 700;

export const createColdFleet = ({seed, entryCount, requestsPerSecond, lossShare = 0}: ColdFleetOptions): ColdFleet => {
	const random = createRandom(seed);
	const sendsMs: number[] = [];
	let nowMs = 0;
	let messages: Array<{readonly to: string; readonly message: ColdMessage; readonly dueMs: number}> = [];
	const addresses = Array.from({length: entryCount}, (_, index) => `10.0.0.${index + 1}:7700`);

	const createExchange = (address: string): ColdExchange => createColdExchange({
		selfAddress: address, bounds: {overage: 1.5, slack: 5}, perSecondOf: () => coldPerSecond, nowMs: () => nowMs,
		onIssuerChange: () => undefined, onWithheld: () => undefined, onWork: () => undefined, onGranted: () => undefined, onUnused: () => undefined,
		send(message, [to]) {
			if (!entryAt(address).isPartitioned && randomFraction(random) >= lossShare) {
				messages.push({to: to!, message, dueMs: nowMs + random.between(1, 4)});
			}
		},
	});

	const entries = addresses.map((address): ColdEntry => ({
		address, exchange: createExchange(address), isRunning: true, isPartitioned: false, lastSeenAtMs: 0, waitingSinceMs: [],
	}));
	const entryAt = (address: string): ColdEntry => entries.find(entry => entry.address === address)!;

	const deliver = (): void => {
		const due = messages.filter(({dueMs}) => dueMs <= nowMs);
		messages = messages.filter(({dueMs}) => dueMs > nowMs);
		for (const {to, message} of due) {
			const entry = entryAt(to);
			if (entry.isRunning && !entry.isPartitioned) {
				entry.exchange.receive(message);
			}
		}
	};

	/** One poll of the core. */
	const poll = (entry: ColdEntry): void => {
		if (!fleet.isCoreRunning || entry.isPartitioned) {
			return;
		}

		entry.lastSeenAtMs = nowMs;
		entry.exchange.recordPeers(entries.filter(({address, lastSeenAtMs}) => address !== entry.address && nowMs - lastSeenAtMs < followerTimeoutMs).map(({address}) => address));
		entry.exchange.recordConfirmation(nowMs);
	};

	/** Whether the request has left: to the endpoint, or elsewhere. */
	const check = (exchange: ColdExchange, sinceMs: number): boolean => {
		if (exchange.state(coldStart).type === 'limited') {
			exchange.request(coldStart);
		}

		if (exchange.state(coldStart).type === 'available') {
			exchange.use(coldStart);
			sendsMs.push(nowMs);
			return true;
		}

		return nowMs - sinceMs >= maxWaitMs;
	};

	const step = (): void => {
		nowMs += stepMs;
		deliver();
		for (const [index, entry] of entries.entries()) {
			if (!entry.isRunning) {
				continue;
			}

			if ((nowMs + (index * 37)) % pollMs === 0) {
				poll(entry);
			}

			if (nowMs % 10 === 0) {
				entry.exchange.tick();
			}

			if (randomFraction(random) < requestsPerSecond / entryCount * stepMs / 1000) {
				entry.waitingSinceMs.push(nowMs);
			}

			entry.waitingSinceMs = entry.waitingSinceMs.filter(sinceMs => !check(entry.exchange, sinceMs));
		}
	};

	const fleet: ColdFleet = {
		entries, sendsMs, random, isCoreRunning: true,
		nowMs: () => nowMs,
		issuer: () => entryAt(rendezvousOrder(coldStart, addresses)[0]!),
		runUntil(untilMs, onStep = () => undefined) {
			const stepCount = Math.ceil((untilMs - nowMs) / stepMs);
			for (let index = 0; index < stepCount; index++) {
				onStep(nowMs);
				step();
			}
		},
		restart(entry) {
			entry.exchange = createExchange(entry.address);
			entry.waitingSinceMs = [];
			entry.isRunning = true;
		},
	};
	return fleet;
};
