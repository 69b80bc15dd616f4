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
	/** Told of each endpoint that does or does not answer. */
	readonly failing?: FailingHosts;
	/** Counts what attempts came to, by fleet. */
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

/** Takes callers' requests from the gate to their answer. */
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

	/** As `attempt`; a call on which a verdict comes meanwhile is given up, unless its answer has begun. */
	const attemptWatched = async (call: Call): Promise<CallOutcome> => {
		const endWatch = quarantine?.watch(call, () => {
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
			endWatch?.();
		}
	};

	const serveRepeatable = async (call: Call): Promise<void> => {
		const outcome = await attemptWatched(call);
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

	/** Why no request may start here now, or `null`. */
	const objection = (): string | null => {
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
			const reason = objection();
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
