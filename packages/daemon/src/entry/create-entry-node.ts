import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import {
	buildEndpointIndex, chooseEndpoint, createBurnCounter, createRandom, createRouter, noteEnd, noteStart, type Endpoint, type RouteTarget,
} from '@bitternpaddle/coordination';
import {
	errorResponseOf, hostHeader, idempotencyKeyHeader, requestIdHeader, versionHeader, type ErrorBody, type HostReport,
} from '@bitternpaddle/protocol';
import {
	idempotencyKeySchema, mayHaveRun, notRun, requestIdSchema, serviceIdSchema, sha256, teamIdSchema, type Change, type CommandResult, type UnansweredVerdict,
} from '@bitternpaddle/state';
import {
	BodyTooLargeError, createHttpServer, readBody, rpcPath, sendJson, silentLogger, type Logger, type Metrics,
} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import {z} from 'zod';
import {createConfigurationClient} from '../host/configuration-client.js';
import {adminPrefix, bearerOf, createAdminHandler} from './admin-api.js';
import type {AdminToken} from './admin-tokens.js';
import {countRequest, serviceOfTarget, servicesOfModels} from './count-burn.js';
import {dispatch, isWholeAnswer, type AttemptOutcome} from './dispatch.js';
import {createEntryPeers, createEntryRpc} from './entry-peers.js';
import {createRequestLog, type RequestTrace} from './request-log.js';

export type EntryNodeOptions = {
	readonly entryId: string;
	readonly controls: readonly string[];
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	readonly adminTokens?: readonly AdminToken[];
	/** Requests that this entry carries at once; more are refused. @default 4096 */
	readonly maxRequests?: number;
	/** @default 30000 */
	readonly defaultDeadlineMs?: number;
	/** @default 3 */
	readonly maxAttempts?: number;
	readonly logger?: Logger;
	readonly metrics?: Metrics;
};

export type EntryNode = {
	readonly entryId: string;
	readonly address: string;
	/** Graceful: refuses new work, finishes what runs, ends. */
	stop(): Promise<void>;
	kill(): Promise<void>;
};

const bodyLimitBytes = 1024 * 1024;
const answerLimitBytes = 16 * 1024 * 1024;
const storedAnswerLimitBytes = 65_536;

/** One caller's request as it passes through. */
type Call = {
	readonly requestId: string;
	readonly teamId: string;
	readonly target: RouteTarget;
	readonly path: string;
	readonly method: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly idempotencyKey: string | null;
	readonly isStream: boolean;
	readonly response: http.ServerResponse;
	readonly abort: AbortController;
	readonly deadlineAtMs: number;
	readonly trace: RequestTrace;
};

const chatBodySchema = z.looseObject({model: z.string().min(1), stream: z.boolean().default(false)});

type Refusal = {readonly status: number; readonly type: ErrorBody['error']['type']; readonly message: string};

class RefusedError extends Error {
	override readonly name = 'RefusedError';

	constructor(readonly refusal: Refusal) {
		super(refusal.message);
	}
}

/** One entry host: what callers and operators talk to. */
export const createEntryNode = async (options: EntryNodeOptions): Promise<EntryNode> => {
	const {
		entryId, controls, listen = '127.0.0.1:0', adminTokens = [], maxRequests = 4096, defaultDeadlineMs = 30_000, maxAttempts = 3,
		logger = silentLogger, metrics,
	} = options;
	const router = createRouter({random: createRandom(Math.floor(Math.random() * 2_147_483_647))});
	const teams = new Map<string, string>();
	const burnCounter = createBurnCounter();
	let modelServices = new Map<string, string>();
	const requestLog = createRequestLog({
		entryId,
		serviceOf: target => serviceOfTarget(modelServices, target),
		onEnd(record) {
			countRequest(burnCounter, configuration.catalog(), record);
		},
	});
	let inFlight = 0;
	let isLeaving = false;
	const idleWaiters = new Set<() => void>();

	const report = (): HostReport => ({
		hostId: entryId, role: 'entry', address: server.address, revision: configuration.catalog().revision, requestsInFlight: inFlight,
		announcement: null, readyVersionId: null, isLeaving, transfers: [],
	});

	const identifyTeam = (request: http.IncomingMessage): string => {
		const key = bearerOf(request);
		const teamId = key === null ? undefined : teams.get(sha256(key));
		if (teamId === undefined) {
			throw new RefusedError({status: 401, type: 'unauthorized', message: 'no team has this key'});
		}

		return teamId;
	};

	const readCall = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<Call> => {
		const teamId = identifyTeam(request);
		const body = await readBody(request, bodyLimitBytes);
		const url = request.url!;
		const key = request.headers[idempotencyKeyHeader];
		const abort = new AbortController();
		response.once('close', () => {
			abort.abort();
		});
		const shared = {
			requestId: randomUUID(), teamId, method: request.method!, contentType: request.headers['content-type'] ?? 'application/json', body,
			idempotencyKey: typeof key === 'string' ? idempotencyKeySchema.parse(key) : null, response, abort, deadlineAtMs: performance.now() + defaultDeadlineMs,
		};
		const service = /^\/services\/([^\/]+)(\/.*)$/v.exec(url);
		if (service !== null) {
			return withTrace({
				...shared, target: {type: 'service', serviceId: service[1]!}, path: service[2]!, isStream: false,
			});
		}

		const parsed = chatBodySchema.safeParse(parseJson(body));
		if (!parsed.success) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: z.prettifyError(parsed.error)});
		}

		return withTrace({
			...shared, target: {type: 'model', modelId: parsed.data.model}, path: url, isStream: parsed.data.stream,
		});
	};

	const withTrace = (call: Omit<Call, 'trace'>): Call => ({...call, trace: requestLog.begin(call)});

	/** Tries endpoints until one answers, or until trying again could run the request twice. */
	const attemptAll = async (call: Call): Promise<AttemptOutcome & {endpoint?: Endpoint}> => {
		const tried = new Set<string>();
		let verdict: UnansweredVerdict = notRun('no endpoint is ready');
		for (let number = 1; number <= maxAttempts; number++) {
			const choice = chooseEndpoint(router, {target: call.target, tried});
			if (choice.type === 'unknownTarget') {
				throw new RefusedError({status: 404, type: 'not_found', message: `nothing serves ${nameOf(call.target)}`});
			}

			if (choice.type === 'noEndpoint') {
				break;
			}

			const {endpoint} = choice;
			tried.add(endpoint.hostId);
			noteStart(router, endpoint.hostId);
			call.response.once('close', () => {
				noteEnd(router, endpoint.hostId);
			});
			const outcome = await call.trace.attempt(endpoint, number, async () => dispatch({
				...call, endpoint, number, revision: router.index.revision, signal: call.abort.signal,
				idleTimeoutMs: Math.max(1, call.deadlineAtMs - performance.now()),
			}));
			if (outcome.type === 'answer') {
				return {...outcome, endpoint};
			}

			({verdict} = outcome);
			if (verdict.type === 'mayHaveRun' || call.abort.signal.aborted) {
				break;
			}
		}

		return {type: 'verdict', verdict};
	};

	const sendVerdict = (call: Call, verdict: UnansweredVerdict): void => {
		logger.event(verdict.type === 'notRun' ? 'BP2001' : 'BP2002', {requestId: call.requestId, reason: verdict.reason});
		call.trace.refused(verdict);
		metrics?.increment('entry.verdict', {verdict: verdict.type});
		const {status, headers, body} = errorResponseOf(verdict, call.requestId);
		sendJson(call.response, status, body, {...headers, [requestIdHeader]: call.requestId});
	};

	/** Passes the answer on as it comes; a cut one is cut for the caller too. */
	const relayStream = async (call: Call, answer: http.IncomingMessage): Promise<void> => {
		const {response, requestId} = call;
		let sizeBytes = 0;
		response.writeHead(answer.statusCode!, answerHeaders(answer, requestId));
		try {
			for await (const part of answer as AsyncIterable<Buffer>) {
				call.trace.firstByte();
				sizeBytes += part.length;
				response.write(part);
			}
		} catch {
			sizeBytes = -1;
		}

		if (isWholeAnswer(answer, requestId, sizeBytes)) {
			response.end();
			return;
		}

		logger.event('BP2003', {requestId});
		call.trace.cut();
		response.destroy();
	};

	/** Reads the answer before anything is said to the caller, so that a broken one becomes an error. */
	const collectAnswer = async (call: Call, answer: http.IncomingMessage): Promise<Buffer | null> => {
		const body = await readBody(answer, answerLimitBytes).catch(() => null);
		if (body !== null && isWholeAnswer(answer, call.requestId, body.length)) {
			return body;
		}

		logger.event('BP2003', {requestId: call.requestId});
		return null;
	};

	const serveRepeatable = async (call: Call): Promise<void> => {
		const outcome = await attemptAll(call);
		if (outcome.type === 'verdict') {
			sendVerdict(call, outcome.verdict);
		} else if (call.isStream) {
			await relayStream(call, outcome.answer);
		} else {
			const body = await collectAnswer(call, outcome.answer);
			if (body === null) {
				sendVerdict(call, mayHaveRun('the answer was cut'));
			} else {
				call.response.writeHead(outcome.answer.statusCode!, {...answerHeaders(outcome.answer, call.requestId), 'content-length': body.length});
				call.response.end(body);
			}
		}
	};

	const proposeClaim = async (change: Change): Promise<CommandResult> => configuration.propose({commandId: null, ifRevision: null, change});

	/** Runs a call that may not be repeated: first the claim, then the call, then its outcome. */
	const serveOnce = async (call: Call, serviceId: string): Promise<void> => {
		if (call.idempotencyKey === null) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: `${serviceId} needs an ${idempotencyKeyHeader} header: its calls may not be repeated`});
		}

		const claim = {
			teamId: teamIdSchema.parse(call.teamId), serviceId: serviceIdSchema.parse(serviceId),
			key: idempotencyKeySchema.parse(call.idempotencyKey), requestId: requestIdSchema.parse(call.requestId),
		};
		const claimed = await proposeClaim({
			type: 'claim', ...claim, bodyDigest: sha256(`${call.method} ${call.path}\n${call.body.toString('base64')}`), atMs: Date.now(),
		}).catch((error: unknown) => error as Error);
		if (claimed instanceof Error) {
			sendVerdict(call, notRun(`the call could not be claimed: ${claimed.message}`));
			return;
		}

		if (claimed.type !== 'claimed') {
			sendHeldClaim(call, claimed);
			return;
		}

		const outcome = await attemptAll(call);
		if (outcome.type === 'verdict') {
			await proposeClaim({type: 'concludeClaim', ...claim, outcome: {type: outcome.verdict.type === 'notRun' ? 'notRun' : 'mayHaveRun'}});
			sendVerdict(call, outcome.verdict);
			return;
		}

		const body = await collectAnswer(call, outcome.answer);
		if (body === null || body.length > storedAnswerLimitBytes) {
			await proposeClaim({type: 'concludeClaim', ...claim, outcome: {type: 'mayHaveRun'}});
		} else {
			await proposeClaim({
				type: 'concludeClaim', ...claim,
				outcome: {
					type: 'ran', status: outcome.answer.statusCode!, contentType: outcome.answer.headers['content-type'] ?? 'application/json', body: body.toString('base64'),
				},
			});
		}

		if (body === null) {
			sendVerdict(call, mayHaveRun('the answer was cut'));
			return;
		}

		call.response.writeHead(outcome.answer.statusCode!, {...answerHeaders(outcome.answer, call.requestId), 'content-length': body.length});
		call.response.end(body);
	};

	const sendHeldClaim = (call: Call, result: CommandResult): void => {
		if (result.type !== 'claimHeld') {
			throw new Error(`unexpected answer to a claim: ${result.type}`);
		}

		match(result.state)
			.with({type: 'ran'}, ({status, contentType, body}) => {
				call.response.writeHead(status, {'content-type': contentType, [requestIdHeader]: call.requestId, 'x-bitternpaddle-replayed': 'true'});
				call.response.end(body, 'base64');
			})
			.with({type: 'inProgress'}, () => {
				sendRefusal(call.response, {status: 409, type: 'conflict', message: 'a call with this key is in progress'}, {'retry-after': '1'});
			})
			.with({type: 'mayHaveRun'}, () => {
				sendVerdict(call, mayHaveRun('an earlier call with this key may have run'));
			})
			.with({type: 'differentBody'}, () => {
				sendRefusal(call.response, {status: 422, type: 'invalid_request', message: 'this key was used with another request'});
			})
			.exhaustive();
	};

	const serveCall = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		if (isLeaving || !configuration.hasLease() || inFlight >= maxRequests) {
			const reason = isLeaving ? 'the entry is stopping' : (configuration.hasLease() ? 'the entry is full' : 'the entry has lost contact with control');
			const refused = errorResponseOf(notRun(reason), null);
			sendJson(response, refused.status, refused.body, refused.headers);
			return;
		}

		inFlight++;
		try {
			const call = await readCall(request, response);
			const {target} = call;
			const isOnce = target.type === 'service' && configuration.catalog().services[target.serviceId]?.repeatable === false;
			await (isOnce ? serveOnce(call, target.serviceId) : serveRepeatable(call));
		} catch (error) {
			if (error instanceof RefusedError) {
				sendRefusal(response, error.refusal);
			} else if (error instanceof BodyTooLargeError) {
				sendRefusal(response, {status: 413, type: 'invalid_request', message: error.message});
			} else {
				throw error;
			}
		} finally {
			inFlight--;
			for (const check of idleWaiters) {
				check();
			}
		}
	};

	const server = await createHttpServer({
		listen,
		async handler(request, response) {
			const path = request.url ?? '';
			if (path === '/healthz' || path === '/readyz') {
				const isReady = path === '/healthz' || (!isLeaving && configuration.hasLease());
				sendJson(response, isReady ? 200 : 503, {entryId, revision: configuration.catalog().revision, inFlight});
			} else if (path === rpcPath) {
				await entryRpc.serve(request, response);
			} else if (path.startsWith(adminPrefix)) {
				await handleAdmin(request, response);
			} else if (path === '/v1/chat/completions' || path === '/v1/completions' || path.startsWith('/services/')) {
				await serveCall(request, response);
			} else {
				sendRefusal(response, {status: 404, type: 'not_found', message: `${request.method} ${path}`});
			}
		},
		onError(error) {
			logger.event('BP9003', {message: error.message});
		},
	});

	const configuration = createConfigurationClient({
		controls, logger, report,
		onChange(catalog) {
			router.index = buildEndpointIndex(catalog);
			modelServices = servicesOfModels(catalog);
			teams.clear();
			for (const [teamId, {keyDigest}] of Object.entries(catalog.teams)) {
				teams.set(keyDigest, teamId);
			}
		},
	});
	const handleAdmin = createAdminHandler({configuration, peers: createEntryPeers(configuration), tokens: adminTokens});
	const entryRpc = createEntryRpc({
		entryId, tokens: adminTokens, counter: burnCounter, requests: requestLog,
	});

	const whenIdle = async (): Promise<void> => new Promise(resolve => {
		const check = (): void => {
			if (inFlight === 0) {
				idleWaiters.delete(check);
				resolve();
			}
		};

		idleWaiters.add(check);
		check();
	});

	return {
		entryId,
		address: server.address,
		async stop() {
			isLeaving = true;
			logger.event('BP9002', {entryId});
			await whenIdle();
			configuration.close();
			await server.close();
		},
		async kill() {
			configuration.close();
			server.destroy();
		},
	};
};

const nameOf = (target: RouteTarget): string => target.type === 'model' ? `model ${target.modelId}` : `service ${target.serviceId}`;

const parseJson = (body: Buffer): unknown => {
	try {
		return JSON.parse(body.toString());
	} catch {
		throw new RefusedError({status: 400, type: 'invalid_request', message: 'the body is not JSON'});
	}
};

const answerHeaders = (answer: http.IncomingMessage, requestId: string): http.OutgoingHttpHeaders => ({
	'content-type': answer.headers['content-type'] ?? 'application/json',
	[requestIdHeader]: requestId,
	[hostHeader]: answer.headers[hostHeader],
	...(answer.headers[versionHeader] === undefined ? {} : {[versionHeader]: answer.headers[versionHeader]}),
});

const sendRefusal = (response: http.ServerResponse, {status, type, message}: Refusal, headers: http.OutgoingHttpHeaders = {}): void => {
	const body: ErrorBody = {
		error: {
			type, message, requestId: null, retryAfterMs: null,
		},
	};
	sendJson(response, status, body, headers);
};
