import {
	createRandom, randomFraction, rendezvousOrder, type EndpointStart, type Random,
} from '@bitternpaddle/coordination';
import {createPermitExchange, type LimitMessage, type PermitExchange} from '@bitternpaddle/gateway';

export const limitedStart = 'limited@0' as EndpointStart;

type Message = {readonly to: string; readonly message: LimitMessage; readonly dueMs: number};

export type PermitEntry = {
	readonly address: string;
	exchange: PermitExchange;
	/** `null` while it does not know the others. */
	peers: string[] | null;
	isRunning: boolean;
	/** Neither sends nor receives messages of other entries. */
	isPartitioned: boolean;
	/** Rate of the requests that it receives. */
	demandPerSecond: number;
	/** Messages received and not yet handled. */
	inbox: LimitMessage[];
};

export type PermitFleetOptions = {
	readonly seed: number;
	readonly entryCount: number;
	perSecond(nowMs: number): number;
	/** Share of messages that are lost. @default 0 */
	readonly lossShare?: number;
};

/** Entries that share the limit of one endpoint, in virtual time. */
export type PermitFleet = {
	readonly entries: readonly PermitEntry[];
	readonly random: Random;
	/** Requests that the endpoint received, with the sending entry. */
	readonly sends: Array<{readonly atMs: number; readonly address: string}>;
	nowMs(): number;
	issuerAddress(): string;
	/** Advances virtual time to `untilMs`; `onStep` is called before each step. */
	runUntil(untilMs: number, onStep?: (nowMs: number) => void): void;
	/** Replaces the process of an entry; its state is lost. */
	restart(entry: PermitEntry): void;
};

const stepMs = 5;
const minDelayMs = 1;
const maxDelayMs = 6;
const issueMs = 20;

export const createPermitFleet = ({seed, entryCount, perSecond, lossShare = 0}: PermitFleetOptions): PermitFleet => {
	const random = createRandom(seed);
	const sends: Array<{atMs: number; address: string}> = [];
	let nowMs = 0;
	let messages: Message[] = [];
	const addresses = Array.from({length: entryCount}, (_, index) => `10.0.0.${index + 1}:7700`);

	const createExchange = (entry: () => PermitEntry, address: string): PermitExchange => createPermitExchange({
		selfAddress: address, peers: () => entry().peers, random, nowMs: () => nowMs, onIssuerChange: () => undefined, onQueued: () => undefined, onGranted: () => undefined,
		limitOf: start => ({start, perSecond: perSecond(nowMs), advertisedAtMs: nowMs}),
		send(message, [to]) {
			if (!entry().isPartitioned && randomFraction(random) >= lossShare) {
				messages.push({to: to!, message, dueMs: nowMs + random.between(minDelayMs, maxDelayMs)});
			}
		},
	});

	const entries = addresses.map((address): PermitEntry => {
		const entry: PermitEntry = {
			address, exchange: createExchange(() => entry, address), peers: addresses.filter(other => other !== address), isRunning: true, isPartitioned: false, demandPerSecond: 0, inbox: [],
		};
		return entry;
	});

	const handle = ({exchange}: PermitEntry, message: LimitMessage): void => {
		if (message.type === 'request') {
			exchange.handleRequest(message);
		} else if (message.type === 'reply') {
			exchange.handleReply(message.limit.start, message.reply);
		}
	};

	const deliver = (): void => {
		const due = messages.filter(({dueMs}) => dueMs <= nowMs);
		messages = messages.filter(({dueMs}) => dueMs > nowMs);
		for (const {to, message} of due) {
			const entry = entries.find(({address}) => address === to)!;
			if (!entry.isPartitioned) {
				entry.inbox.push(message);
			}
		}
	};

	const serve = ({exchange, address}: PermitEntry): void => {
		if (exchange.state(limitedStart).type === 'available') {
			exchange.use(limitedStart);
			sends.push({atMs: nowMs, address});
		} else {
			exchange.request(limitedStart);
		}
	};

	const isRequestDue = ({demandPerSecond}: PermitEntry): boolean => randomFraction(random) < demandPerSecond * stepMs / 1000;

	const step = (): void => {
		nowMs += stepMs;
		deliver();
		for (const entry of entries.filter(({isRunning}) => isRunning)) {
			for (const message of entry.inbox.splice(0)) {
				handle(entry, message);
			}

			if (nowMs % issueMs === 0) {
				entry.exchange.issue();
			}

			if (isRequestDue(entry)) {
				serve(entry);
			}
		}
	};

	return {
		entries, random, sends,
		nowMs: () => nowMs,
		issuerAddress: () => rendezvousOrder(limitedStart, addresses)[0]!,
		runUntil(untilMs, onStep = () => undefined) {
			const stepCount = Math.ceil((untilMs - nowMs) / stepMs);
			for (let index = 0; index < stepCount; index++) {
				onStep(nowMs);
				step();
			}
		},
		restart(entry) {
			entry.exchange = createExchange(() => entry, entry.address);
			entry.inbox = [];
			entry.isRunning = true;
		},
	};
};
