import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	admitAtGate, finishAtGate, resolveAtGate, type GateRefusal, type GateRequest, type RequestGate, type RunLimits,
} from '@bitternpaddle/coordination';
import {
	adapterHeader, attemptHeader, deadlineHeader, fullRefusal, idempotencyKeyHeader, incarnationHeader, issueHeader, onceHeader, parseIssue, refusalHeader, requestIdHeader, versionHeader,
	type AttemptResolution,
} from '@bitternpaddle/protocol';
import {
	mayHaveRun, mayServe, notRun, type UnansweredVerdict,
} from '@bitternpaddle/state';
import {readBody} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {createPeers} from '../host/peers.js';
import type {AdapterReference} from './adapters.js';
import {createEndpointRun, type EndpointRun} from './endpoint-run.js';
import {createRunRegistry} from './run-registry.js';
import {createEndpointRunner, type LoadedVersion} from './run-on-endpoint.js';
import {refuse, sendAnswer, sendFailure} from './send-answer.js';
import {createStatusReader} from './version-check.js';

export const gatePrefix = '/door';
/** `GET /answers/ATTEMPT?offset=N`: resumes reading an answer after a lost connection. */
export const answersPrefix = '/answers';

export type GateServerOptions = {
	readonly hostId: string;
	readonly gate: RequestGate;
	readonly configuration: ConfigurationClient;
	readonly endpointAddress: string;
	readonly kind: 'engine' | 'plain';
	/** The verified version that is loaded in the engine, or `null`. */
	readonly loaded: () => LoadedVersion | null;
	/** Acquires the adapter of a tag for a request; `null` if the engine does not have exactly that one loaded. By default there are none. */
	readonly acquireAdapter?: (tag: string) => AdapterReference | null;
	/** @default {endpointIdleMs: 30000, unattendedMs: 5000} */
	readonly limits?: RunLimits;
	/** How often a waiting entry is sent a keep-alive. @default 500 */
	readonly tickMs?: number;
	/** Bytes of each answer that can be reread after a lost connection. @default 262144 */
	readonly windowBytes?: number;
	/** Called when a request has finished, with or without an answer. */
	onIdle(): void;
};

export type GateServer = {
	/** Handles `/door/...`. */
	handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
	/** Handles `/answers/...`. */
	resume(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
	resolveAttempt(request: GateRequest & {readonly isCancel: boolean}): AttemptResolution;
	close(): void;
};

const bodyLimitBytes = 8 * 1024 * 1024;
const catchUpTimeoutMs = 2000;
const defaultDeadlineMs = 600_000;

/** The only path to the endpoint: every request passes this gate, and each attempt runs at most once. */
export const createGateServer = (options: GateServerOptions): GateServer => {
	const {
		hostId, gate, configuration, endpointAddress, kind, loaded, onIdle, acquireAdapter = () => null,
		limits = {endpointIdleMs: 30_000, unattendedMs: 5000}, tickMs = 500, windowBytes = 262_144,
	} = options;
	const peers = createPeers(configuration);
	const waiting = new Set<http.ServerResponse>();
	const running = (): number => gate.running;
	const fetchStatus = createStatusReader(endpointAddress);
	const runs = createRunRegistry({
		tickMs, limits,
		onTick() {
			for (const response of waiting) {
				response.writeProcessing();
			}
		},
	});
	const runOnEndpoint = createEndpointRunner({
		endpointAddress, maxReadAheadBytes: windowBytes / 2, loaded: () => kind === 'engine' ? loaded() : null,
		async isStillLoaded({versionId, digest}, adapter) {
			const status = await fetchStatus();
			return status.versionId === versionId && status.digest === digest
				&& (adapter === null || status.adapters.some(candidate => candidate.name === adapter.name && candidate.digest === adapter.digest));
		},
	});

	/** The reason to refuse the request, or `null`. */
	const refusalReason = async (request: http.IncomingMessage): Promise<string | null> => {
		const staleReason = await peers.checkRequestHeaders(request.headers, catchUpTimeoutMs);
		if (staleReason !== null) {
			return staleReason;
		}

		if (!configuration.hasLease()) {
			return 'the host has lost contact with control';
		}

		const host = configuration.catalog().hosts[hostId];
		if (host?.status !== 'serving') {
			return `the host's status is ${host?.status ?? 'unknown'}`;
		}

		if (!mayServe(host)) {
			return `the host's zone ${host.announcement.zoneId} is evacuated`;
		}

		const loadedVersionId = loaded()?.versionId ?? null;
		return kind === 'engine' && request.headers[versionHeader] !== loadedVersionId ? `the host serves ${loadedVersionId ?? 'nothing'}` : null;
	};

	const startRun = (request: http.IncomingMessage, {attemptId, requestId, body, adapterReference}: CheckedRequest): EndpointRun => {
		const nowMs = performance.now();
		const run = createEndpointRun({
			attemptId, requestId, isRepeatable: request.headers[onceHeader] === undefined, windowBytes, nowMs,
			deadlineAtMs: nowMs + Number(request.headers[deadlineHeader] ?? defaultDeadlineMs),
		});
		runs.add(run);
		const finish = (): void => {
			adapterReference?.release();
			finishAtGate(gate, attemptId, run.failure?.type === 'notRun' ? 'notRun' : 'ran');
			onIdle();
		};

		void runOnEndpoint(run, {
			method: request.method!, path: request.url!.slice(gatePrefix.length), body, headers: forwardedHeaders(request, requestId), adapter: adapterReference?.adapter ?? null,
		}).then(finish, finish);
		return run;
	};

	return {
		async handle(request, response) {
			const gateRequest = parseGateRequest(request);
			const requestId = request.headers[requestIdHeader];
			if (gateRequest === null || typeof requestId !== 'string') {
				refuse(response, 'the request lacks its attempt, incarnation, issue or request id');
				return;
			}

			const body = await readBody(request, bodyLimitBytes);
			for (const [name, value] of Object.entries(peers.headers())) {
				response.setHeader(name, value);
			}

			const reason = await refusalReason(request);
			if (reason !== null) {
				refuse(response, reason);
				return;
			}

			const tag = request.headers[adapterHeader];
			const adapterReference = typeof tag === 'string' ? acquireAdapter(tag) : null;
			if (tag !== undefined && adapterReference === null) {
				refuse(response, `the engine of this host does not have adapter ${String(tag)} loaded`);
				return;
			}

			const admission = admitAtGate(gate, gateRequest);
			if (admission.type === 'refuse') {
				adapterReference?.release();
				if (admission.reason === 'full') {
					response.setHeader(refusalHeader, fullRefusal);
				}

				sendFailure(response, verdictOfRefusal(admission.reason));
				return;
			}

			await sendAnswer(startRun(request, {
				attemptId: gateRequest.attemptId, requestId, body, adapterReference,
			}), response, {
				hostId, offset: 0, waiting, running,
			});
		},
		async resume(request, response) {
			const url = new URL(request.url!, 'http://door');
			const run = runs.get(decodeURIComponent(url.pathname.slice(answersPrefix.length + 1)));
			if (run === undefined || Number(request.headers[incarnationHeader]) !== gate.incarnation) {
				sendFailure(response, mayHaveRun('the answer is no longer retained'));
				return;
			}

			await sendAnswer(run, response, {
				hostId, offset: Number(url.searchParams.get('offset')), waiting, running,
			});
		},
		resolveAttempt({isCancel, ...gateRequest}) {
			const type = resolveAtGate(gate, gateRequest);
			const run = runs.get(gateRequest.attemptId);
			if (isCancel && type === 'running' && run?.isRepeatable) {
				runs.terminate(run, 'cancelled');
			}

			return {type};
		},
		close() {
			runs.close();
		},
	};
};

/** A request that has passed all checks and is about to start. */
type CheckedRequest = {readonly attemptId: string; readonly requestId: string; readonly body: Buffer; readonly adapterReference: AdapterReference | null};

const parseGateRequest = ({headers}: http.IncomingMessage): GateRequest | null => {
	const issue = parseIssue(String(headers[issueHeader] ?? ''));
	const incarnation = Number(headers[incarnationHeader]);
	const attempt = headers[attemptHeader];
	return issue === null || !Number.isInteger(incarnation) || typeof attempt !== 'string' ? null : {attemptId: attempt, incarnation, issue};
};

/** A duplicate may have run; an attempt that was refused has not. */
const verdictOfRefusal = (reason: GateRefusal): UnansweredVerdict => match(reason)
	.with('duplicate', () => mayHaveRun('this attempt has already arrived at the host'))
	.with('forgotten', () => mayHaveRun('this attempt is older than the attempts that the host remembers'))
	.with('barred', () => notRun('this attempt was resolved as not run before it arrived'))
	.with('otherIncarnation', () => notRun('the host has been restarted'))
	.with('closing', () => notRun('the host is not accepting new requests'))
	.with('full', () => notRun('the host is at its capacity'))
	.exhaustive();

const forwardedHeaders = ({headers}: http.IncomingMessage, requestId: string): http.OutgoingHttpHeaders => {
	const key = headers[idempotencyKeyHeader];
	return {
		'content-type': headers['content-type'] ?? 'application/json', 'x-request-id': requestId,
		...(key === undefined ? {} : {[idempotencyKeyHeader]: key}),
	};
};

