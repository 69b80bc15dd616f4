import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import {createRetryBudget, type RouteTarget} from '@bitternpaddle/coordination';
import {errorResponseOf} from '@bitternpaddle/protocol';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {BodyTooLargeError, sendJson} from '@bitternpaddle/transport';
import type {ConfigurationClient} from '../host/configuration-client.js';
import type {FailingHosts} from '../host/failing-hosts.js';
import {createPeers} from '../host/peers.js';
import {attemptCall, type AttemptsOptions, type CallOutcome} from './attempts.js';
import {RefusedError, type Call} from './call.js';
import {expectedAdapterTag} from './expected-adapter.js';
import {readCall} from './read-call.js';
import {sendRefusal, type Relay} from './relay.js';
import type {RequestLog} from './request-log.js';
import type {Admit, Routing} from './routing.js';
import type {FleetOutcomes} from './fleet-outcomes.js';
import {refusalOf, type RequestQuarantine} from './request-quarantine.js';
import {createServeOnce} from './serve-once.js';

export type ServeCallOptions = {
	readonly configuration: ConfigurationClient;
	readonly teams: ReadonlyMap<string, string>;
	readonly requestLog: RequestLog;
	readonly routing: Routing;
	readonly admit: Admit;
	readonly relay: Relay;
	readonly maxRequests: number;
	readonly maxAttempts: number;
	readonly defaultDeadlineMs: number;
	readonly suspectMs: number;
	/** Records for each attempt whether the host answered. */
	readonly failing?: FailingHosts;
	/** Counts the outcomes of attempts by fleet. */
	readonly outcomes?: FleetOutcomes;
	readonly quarantine?: RequestQuarantine;
	isLeaving(): boolean;
};

export type CallServer = {
	serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
	inFlight(): number;
	/** Resolves once no request is in flight. */
	whenIdle(): Promise<void>;
};

/** Serves callers' requests, from their arrival to the complete answer. */
export const createCallServer = (options: ServeCallOptions): CallServer => {
	const {
		configuration, routing, admit, relay, maxRequests, quarantine, isLeaving,
	} = options;
	const idleWaiters = new Set<() => void>();
	let inFlight = 0;

	const sender = randomUUID();
	let sequence = 0;
	const attemptsOptions: AttemptsOptions = {
		routing, maxAttempts: options.maxAttempts, suspectMs: options.suspectMs, budget: createRetryBudget({nowMs: performance.now()}),
		adapterTagOf: ({target}, endpoint) => expectedAdapterTag(configuration.catalog(), target, endpoint),
		nextIssue: () => ({sender, sequence: sequence++}),
		peers: createPeers(configuration), failing: options.failing, outcomes: options.outcomes, quarantine: options.quarantine,
	};

	const attempt = async (call: Call, mayDispatch?: AttemptsOptions['mayDispatch']): Promise<CallOutcome> => attemptCall(call, {...attemptsOptions, mayDispatch});

	const serveOnce = createServeOnce({
		configuration, relay, attempt, suspectMs: options.suspectMs,
	});

	/** Like `attempt`, but aborts a call that is quarantined meanwhile, unless its answer has begun. */
	const attemptUnlessQuarantined = async (call: Call): Promise<CallOutcome> => {
		const stopWatching = quarantine?.watch(call, () => {
			call.abort.abort('quarantined');
		});
		try {
			const outcome = await attempt(call);
			const verdict = outcome.type === 'answer' ? null : quarantine?.verdictOn(call) ?? null;
			if (verdict !== null) {
				throw refusalOf(verdict);
			}

			return outcome;
		} finally {
			stopWatching?.();
		}
	};

	const serveRepeatable = async (call: Call): Promise<void> => {
		const outcome = await attemptUnlessQuarantined(call);
		if (outcome.type !== 'answer') {
			relay.sendVerdict(call, outcome.type === 'verdict' ? outcome.verdict : notRun('stopped before its first attempt'));
			return;
		}

		if (call.isStream) {
			await relay.stream(call, outcome.answer);
			return;
		}

		const body = await relay.collect(call.requestId, outcome.answer);
		if (body === null) {
			relay.sendVerdict(call, mayHaveRun('the answer was cut'));
		} else {
			relay.sendCollected(call, outcome.answer, body);
		}
	};

	/** The reason why no request may start at this entry now, or `null`. */
	const refusalReason = (): string | null => {
		if (isLeaving()) {
			return 'the entry is stopping';
		}

		if (!configuration.hasLease()) {
			return 'the entry has lost contact with control';
		}

		return inFlight >= maxRequests ? 'the entry is full' : null;
	};

	const serveAdmitted = async (call: Call): Promise<void> => {
		call.response.once('close', () => {
			call.abort.abort('callerGone');
		});
		const admission = await admit(call);
		if (admission.type === 'refused') {
			relay.sendVerdict(call, admission.verdict);
			return;
		}

		try {
			await (call.isOnce ? serveOnce(call) : serveRepeatable(call));
		} finally {
			admission.release();
		}
	};

	const isOnce = (target: RouteTarget): boolean => target.type === 'service' && configuration.catalog().services[target.serviceId]?.repeatable === false;

	const sendError = (response: http.ServerResponse, error: unknown): void => {
		if (error instanceof RefusedError) {
			sendRefusal(response, error.refusal);
		} else if (error instanceof BodyTooLargeError) {
			sendRefusal(response, {status: 413, type: 'invalid_request', message: error.message});
		} else {
			throw error;
		}
	};

	return {
		async serve(request, response) {
			const reason = refusalReason();
			if (reason !== null) {
				const refused = errorResponseOf(notRun(reason), null);
				sendJson(response, refused.status, refused.body, refused.headers);
				return;
			}

			inFlight++;
			try {
				const call = await readCall(request, response, {...options, isOnce});
				await serveAdmitted({...call, trace: options.requestLog.begin(call)});
			} catch (error) {
				sendError(response, error);
			} finally {
				inFlight--;
				for (const check of idleWaiters) {
					check();
				}
			}
		},
		inFlight: () => inFlight,
		whenIdle: async () => new Promise(resolve => {
			const check = (): void => {
				if (inFlight === 0) {
					idleWaiters.delete(check);
					resolve();
				}
			};

			idleWaiters.add(check);
			check();
		}),
	};
};
