import {setTimeout as delay} from 'node:timers/promises';
import {
	createPauseRecord, isOrderInTime, orderExpiry, orderValidMs, pauseTickMs, type Clock, type LeaderClock, type OrderExpiry,
} from '@bitternpaddle/coordination';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import type {Document} from '@bitternpaddle/state';
import {RpcError, TransportError, type Logger} from '@bitternpaddle/transport';
import type {SubmitOutcome} from '../link/methods.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {DocumentLog} from './document-log.js';

/** An order of an operator to evacuate an availability zone, or its revocation. */
export type EvacuationOrder = {readonly zoneId: string; readonly isEvacuated: boolean};
export type EvacuationDocument = Extract<Document, {kind: 'evacuation'}>;

/** The caller of an order, as observed by the control host that received it. */
export type OrderCaller = {
	/** Earliest time at which the order may have arrived, see `EvacuationOrders.arrivedAtMs`. */
	readonly arrivedAtMs: number;
	/** Whether the caller has closed its connection. */
	hasLeft(): boolean;
};

/** `unconfirmed`: not confirmed in time; the order may be in force and must be resent. `disabled`: the deployment has no evacuations. */
export type OrderResult = Exclude<SubmitOutcome, 'conflict'> | 'unconfirmed' | 'unknownZone' | 'disabled';

/** Calls of a leader at another host. */
export type LeaderCalls = {
	readClock(address: string, timeoutMs: number): Promise<LeaderClock>;
	submit(address: string, order: {readonly document: EvacuationDocument; readonly expiry: OrderExpiry}, timeoutMs: number): Promise<SubmitOutcome>;
};

export type EvacuationOrdersOptions = {
	/** Time within which an acknowledged evacuation holds; `null` if the deployment has no evacuations. */
	readonly evacuationMs: number | null;
	isKnownZone(zoneId: string): boolean;
	/** Identifies the run of this process. */
	readonly epoch: string;
	readonly log: Pick<DocumentLog, 'isLeader' | 'leaderAddress' | 'propose'>;
	readonly leaderCalls: LeaderCalls;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<GatewayMetrics, 'count'>;
};

/** Receives orders of operators and appends those that are not late. */
export type EvacuationOrders = {
	/** Earliest time at which a call that is read now may have arrived. */
	arrivedAtMs(): number;
	submit(order: EvacuationOrder, caller: OrderCaller): Promise<OrderResult>;
	/** The clock by which this host, as leader, decides whether an order is late. */
	readClock(): LeaderClock;
	/** Appends an order at the leader; rejects if it is late or this host does not lead. */
	append(document: EvacuationDocument, expiry: OrderExpiry | null): Promise<SubmitOutcome>;
	close(): void;
};

/** Time after the arrival of an order within which it is answered; operators' clients give up after 1,000 ms. */
const answerMs = 900;
/**
 * Time for which the connection of a caller is observed before its order is sent on. The
 * data of a caller that has given up may be delivered late by a link that stalled; the
 * end of its connection follows within a round trip between regions, 4 ms.
 */
const callerCheckMs = 20;
/**
 * Time within which a leader must answer the reading of its clock before it is asked
 * again: a suspended leader is replaced after 600 to 1,200 ms, and an order that waited
 * for its answer until then would have expired. A round trip between regions takes 4 ms.
 */
const clockTimeoutMs = 250;
/** Interval of attempts while no leader is reached: an election takes 600 to 1,200 ms. */
const leaderPollIntervalMs = 25;

const notLeader = (): RpcError => new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');

/** Whether the call certainly did not append the order, so that it may be tried at another leader. */
const isCertainlyRejected = (error: unknown): boolean => error instanceof TransportError
	? error.isUnsent
	: (error as {code?: number}).code === rpcErrorCodes.notLeader;

/** Whether the leader's answer decides; a broken connection or a missing answer does not. */
const isAnswer = (error: unknown): boolean => typeof (error as {code?: unknown}).code === 'number';

export const createEvacuationOrders = (options: EvacuationOrdersOptions): EvacuationOrders => {
	const {evacuationMs, isKnownZone, epoch, log, leaderCalls, clock, logger, metrics} = options;
	const pauses = createPauseRecord(clock.nowMs());
	const ticking = evacuationMs === null
		? null
		: setInterval(() => {
			pauses.tick(clock.nowMs());
		}, pauseTickMs);

	const readClock = (): LeaderClock => ({epoch, nowMs: clock.nowMs()});

	const append = async (document: EvacuationDocument, expiry: OrderExpiry | null): Promise<SubmitOutcome> => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		// No other event may come between this check and the append.
		if (expiry === null || !isOrderInTime(expiry, readClock())) {
			const {zoneId, isEvacuated} = document;
			logger.event('BP4052', {zoneId, isEvacuated, lateMs: expiry?.epoch === epoch ? Math.round(clock.nowMs() - expiry.atMs) : null});
			metrics.count('evacuation_orders_late', 'Evacuation orders that arrived after their callers may have given up.');
			throw new RpcError(rpcErrorCodes.invalid, 'the order arrived after its caller may have given up');
		}

		return log.propose(document);
	};

	/** Makes one attempt at the current leader. */
	const attempt = async (document: EvacuationDocument, caller: OrderCaller): Promise<SubmitOutcome> => {
		const {arrivedAtMs} = caller;
		const remainingMs = (): number => Math.max(1, arrivedAtMs + answerMs - clock.nowMs());
		const address = log.leaderAddress();
		if (log.isLeader() || address === null) {
			return append(document, {epoch, atMs: arrivedAtMs + orderValidMs});
		}

		const reading = await leaderCalls.readClock(address, Math.min(clockTimeoutMs, remainingMs())).catch((error: unknown) => {
			// The order has not been sent, so another leader may be tried.
			throw isAnswer(error) ? error : new RpcError(rpcErrorCodes.notLeader, (error as Error).message);
		});
		const expiry = orderExpiry(reading, {receivedAtMs: arrivedAtMs, readAtMs: clock.nowMs()});
		if (caller.hasLeft()) {
			throw new Error('the caller has left');
		}

		return leaderCalls.submit(address, {document, expiry}, remainingMs());
	};

	/** Repeats attempts that were certainly rejected, until the order expires. */
	const submitInTime = async (document: EvacuationDocument, caller: OrderCaller): Promise<SubmitOutcome> => {
		await delay(callerCheckMs);
		for (;;) {
			if (caller.hasLeft()) {
				throw new Error('the caller has left');
			}

			try {
				return await attempt(document, caller);
			} catch (error) {
				const untilMs = caller.arrivedAtMs + orderValidMs;
				if (!isCertainlyRejected(error)) {
					// The order may still arrive at the leader. If the caller got an answer now, it could send a later order, and this one would undo it.
					await delay(isAnswer(error) ? 0 : Math.max(0, untilMs - clock.nowMs()));
					throw error;
				}

				if (clock.nowMs() + leaderPollIntervalMs > untilMs) {
					throw error;
				}
			}

			await delay(leaderPollIntervalMs);
		}
	};

	/** Rejects when an answer is due. */
	const answerDue = async (caller: OrderCaller, signal: AbortSignal): Promise<never> => {
		await delay(Math.max(0, caller.arrivedAtMs + answerMs - clock.nowMs()), undefined, {signal});
		throw new Error('no majority confirmed the order in time');
	};

	return {
		arrivedAtMs: () => pauses.arrivedAtMs(clock.nowMs()),
		readClock, append,
		async submit({zoneId, isEvacuated}, caller) {
			if (evacuationMs === null) {
				return 'disabled';
			}

			if (!isKnownZone(zoneId)) {
				logger.event('BP4008', {problems: [`${zoneId} is not an availability zone of this deployment`]});
				return 'unknownZone';
			}

			const fields = {kind: 'evacuation', zoneId, isEvacuated};
			metrics.count('evacuation_orders', 'Evacuation orders and revocations that operators sent to this host.');
			const answered = new AbortController();
			try {
				const outcome = await Promise.race([
					submitInTime({kind: 'evacuation', zoneId, isEvacuated}, caller), answerDue(caller, answered.signal),
				]);
				logger.event('BP4007', {...fields, outcome});
				return outcome === 'conflict' ? 'unconfirmed' : outcome;
			} catch (error) {
				logger.event('BP4007', {...fields, outcome: 'unconfirmed', reason: (error as Error).message});
				return 'unconfirmed';
			} finally {
				answered.abort();
			}
		},
		close() {
			clearInterval(ticking ?? undefined);
		},
	};
};
