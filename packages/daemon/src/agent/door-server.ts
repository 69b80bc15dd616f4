import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	admitAtDoor, finishAtDoor, settleAtDoor, type DoorRefusal, type DoorRequest, type DoorState, type RunLimits,
} from '@bitternpaddle/coordination';
import {
	adapterHeader, attemptHeader, deadlineHeader, fullRefusal, idempotencyKeyHeader, incarnationHeader, issueHeader, onceHeader, parseIssue, refusalHeader, requestIdHeader, versionHeader,
	type SettleResult,
} from '@bitternpaddle/protocol';
import {mayHaveRun, notRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {readBody} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {createPeers} from '../host/peers.js';
import type {AdapterUse} from './adapters.js';
import {createDoorRun, type DoorRun} from './door-run.js';
import {createRunRegistry} from './run-registry.js';
import {createEndpointRunner, type LoadedVersion} from './run-on-endpoint.js';
import {refuse, sendAnswer, sendFailure} from './send-answer.js';
import {createVersionCheck} from './version-check.js';

export const doorPrefix = '/door';
/** `GET /answers/ATTEMPT?offset=N`: reads on in an answer after a lost connection. */
export const answersPrefix = '/answers';

export type DoorServerOptions = {
	readonly hostId: string;
	readonly door: DoorState;
	readonly configuration: ConfigurationClient;
	readonly endpointAddress: string;
	readonly kind: 'engine' | 'plain';
	/** What the agent has loaded into the engine and verified. */
	readonly loaded: () => LoadedVersion | null;
	/** Holds the adapter of a tag for a request; `null` if the engine does not hold exactly that one. By default there are none. */
	readonly enterAdapter?: (tag: string) => AdapterUse | null;
	/** @default {endpointIdleMs: 30000, unattendedMs: 5000} */
	readonly limits?: RunLimits;
	/** How often a waiting entry gets a sign of life. @default 500 */
	readonly tickMs?: number;
	/** Bytes of each answer that can be read again. @default 262144 */
	readonly windowBytes?: number;
	/** Called when a request has ended, whatever way. */
	onIdle(): void;
};

export type DoorServer = {
	/** Takes `/door/...`. */
	handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
	/** Takes `/answers/...`. */
	resume(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
	settle(request: DoorRequest & {readonly isCancel: boolean}): SettleResult;
	close(): void;
};

const bodyLimitBytes = 8 * 1024 * 1024;
const catchUpMs = 2000;
const defaultDeadlineMs = 600_000;

/** The one way to the endpoint: every request passes here, and each attempt at most once. */
export const createDoorServer = (options: DoorServerOptions): DoorServer => {
	const {
		hostId, door, configuration, endpointAddress, kind, loaded, onIdle, enterAdapter = () => null,
		limits = {endpointIdleMs: 30_000, unattendedMs: 5000}, tickMs = 500, windowBytes = 262_144,
	} = options;
	const peers = createPeers(configuration);
	const waiting = new Set<http.ServerResponse>();
	const running = (): number => door.running;
	const askStatus = createVersionCheck(endpointAddress);
	const runs = createRunRegistry({
		tickMs, limits,
		onTick() {
			for (const response of waiting) {
				response.writeProcessing();
			}
		},
	});
	const runOnEndpoint = createEndpointRunner({
		endpointAddress, aheadBytes: windowBytes / 2, loaded: () => kind === 'engine' ? loaded() : null,
		async isStillLoaded({versionId, digest}, adapter) {
			const status = await askStatus();
			return status.versionId === versionId && status.digest === digest
				&& (adapter === null || status.adapters.some(held => held.name === adapter.name && held.digest === adapter.digest));
		},
	});

	/** Why no request may start now, or `null`. */
	const objection = async (request: http.IncomingMessage): Promise<string | null> => {
		const behind = await peers.meet(request.headers, catchUpMs);
		if (behind !== null) {
			return behind;
		}

		if (!configuration.hasLease()) {
			return 'the host has lost contact with control';
		}

		const status = configuration.catalog().hosts[hostId]?.status;
		if (status !== 'serving') {
			return `the host is ${status ?? 'not known'}`;
		}

		const held = loaded()?.versionId ?? null;
		return kind === 'engine' && request.headers[versionHeader] !== held ? `the host serves ${held ?? 'nothing'}` : null;
	};

	const begin = (request: http.IncomingMessage, {attemptId, requestId, body, adapterUse}: Beginning): DoorRun => {
		const nowMs = performance.now();
		const run = createDoorRun({
			attemptId, requestId, isRepeatable: request.headers[onceHeader] === undefined, windowBytes, nowMs,
			deadlineAtMs: nowMs + Number(request.headers[deadlineHeader] ?? defaultDeadlineMs),
		});
		runs.add(run);
		const finish = (): void => {
			adapterUse?.leave();
			finishAtDoor(door, attemptId, run.failure?.type === 'notRun' ? 'notRun' : 'ran');
			onIdle();
		};

		void runOnEndpoint(run, {
			method: request.method!, path: request.url!.slice(doorPrefix.length), body, headers: forwardedHeaders(request, requestId), adapter: adapterUse?.adapter ?? null,
		}).then(finish, finish);
		return run;
	};

	return {
		async handle(request, response) {
			const asked = readDoorRequest(request);
			const requestId = request.headers[requestIdHeader];
			if (asked === null || typeof requestId !== 'string') {
				refuse(response, 'the request lacks its attempt, incarnation or issue');
				return;
			}

			const body = await readBody(request, bodyLimitBytes);
			for (const [name, value] of Object.entries(peers.headers())) {
				response.setHeader(name, value);
			}

			const reason = await objection(request);
			if (reason !== null) {
				refuse(response, reason);
				return;
			}

			const tag = request.headers[adapterHeader];
			const adapterUse = typeof tag === 'string' ? enterAdapter(tag) : null;
			if (tag !== undefined && adapterUse === null) {
				refuse(response, `the host does not serve adapter ${String(tag)}`);
				return;
			}

			const admission = admitAtDoor(door, asked);
			if (admission.type === 'refuse') {
				adapterUse?.leave();
				if (admission.reason === 'full') {
					response.setHeader(refusalHeader, fullRefusal);
				}

				sendFailure(response, verdictOfRefusal(admission.reason));
				return;
			}

			await sendAnswer(begin(request, {
				attemptId: asked.attemptId, requestId, body, adapterUse,
			}), response, {
				hostId, offset: 0, waiting, running,
			});
		},
		async resume(request, response) {
			const url = new URL(request.url!, 'http://door');
			const run = runs.get(decodeURIComponent(url.pathname.slice(answersPrefix.length + 1)));
			if (run === undefined || Number(request.headers[incarnationHeader]) !== door.incarnation) {
				sendFailure(response, mayHaveRun('the answer is no longer kept'));
				return;
			}

			await sendAnswer(run, response, {
				hostId, offset: Number(url.searchParams.get('offset')), waiting, running,
			});
		},
		settle({isCancel, ...asked}) {
			const type = settleAtDoor(door, asked);
			const run = runs.get(asked.attemptId);
			if (isCancel && type === 'running' && run?.isRepeatable) {
				runs.end(run, 'cancelled');
			}

			return {type};
		},
		close() {
			runs.close();
		},
	};
};

/** What has been checked of a request that is about to start. */
type Beginning = {readonly attemptId: string; readonly requestId: string; readonly body: Buffer; readonly adapterUse: AdapterUse | null};

const readDoorRequest = ({headers}: http.IncomingMessage): DoorRequest | null => {
	const issue = parseIssue(String(headers[issueHeader] ?? ''));
	const incarnation = Number(headers[incarnationHeader]);
	const attempt = headers[attemptHeader];
	return issue === null || !Number.isInteger(incarnation) || typeof attempt !== 'string' ? null : {attemptId: attempt, incarnation, issue};
};

/** A copy that was here before may have run; one that is only refused has not. */
const verdictOfRefusal = (reason: DoorRefusal): UnansweredVerdict => match(reason)
	.with('duplicate', () => mayHaveRun('this request has been here before'))
	.with('forgotten', () => mayHaveRun('this request is older than what the door remembers'))
	.with('barred', () => notRun('this request was settled before it arrived'))
	.with('otherIncarnation', () => notRun('the host has been restarted'))
	.with('closing', () => notRun('the door is closing'))
	.with('full', () => notRun('the door is full'))
	.exhaustive();

const forwardedHeaders = ({headers}: http.IncomingMessage, requestId: string): http.OutgoingHttpHeaders => {
	const key = headers[idempotencyKeyHeader];
	return {
		'content-type': headers['content-type'] ?? 'application/json', 'x-request-id': requestId,
		...(key === undefined ? {} : {[idempotencyKeyHeader]: key}),
	};
};

