import type http from 'node:http';
import {
	findRoute, type Route, type RouteTable, type Team,
} from '@bitternpaddle/state';
import {
	drawShare, fingerprintOf, hasComeBefore, noteFirstDeadline, outlineOf, type CallerPatience, type Random,
} from '@bitternpaddle/coordination';
import {BodyTooLargeError, readBody, type Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {sendOwnAnswer, type OwnAnswer} from './answer.js';
import type {Call} from './gateway-call.js';

export type ServeContext = {
	readonly protocol: RequestProtocol;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** `null` until a configuration is known. */
	table(): RouteTable | null;
	/** Resolves once a configuration is known, after `mostMs` at the latest. */
	awaitConfiguration(mostMs: number): Promise<void>;
	/** At an entry that has just started: resolves once it holds the lease, after `mostMs` at the latest. */
	awaitLease(mostMs: number): Promise<void>;
	/** Whether this entry surely knows what is in force. */
	holdsLease(): boolean;
	/** When a caller should come back while the lease is not held. */
	lostCoreRetryMs(): number;
	/** The process ends: connections are closed behind their answers. */
	isLeaving(): boolean;
	/** How long callers of a route wait that come for the first time. */
	patience(routeName: string): CallerPatience;
	run(call: Call): Promise<void>;
	nowMs(): number;
};

/** A route's service comes with the same configuration as the route: if it is missing, the next one will have it. */
const unknownRetryMs = 500;
/** The first configuration is here this long after the start, where any core host is up. */
const configurationWaitMs = 600;
/** An entry that starts with the whole system gets the lease once the core has a leader: a second after its own start. */
const leaseWaitMs = 1500;
/** Of what a caller has left; the rest is for its answer, or its next try. */
const startWaitShare = 0.35;
const bearer = /^bearer\s+(?<key>\S+)\s*$/iv;

type Place = {readonly route: Route; readonly team: Team | null; /** `null`: none is needed. */ readonly key: string | null};

/** Finds a request's route and team; an answer of the entry's own if it may not pass. */
const findPlace = (context: ServeContext, {headers, url = '/'}: http.IncomingMessage): Place | OwnAnswer => {
	const {table, holdsLease} = context;
	const known = table();
	if (known === null) {
		return {status: 503, message: 'no configuration is known here yet', retryAfterMs: context.lostCoreRetryMs()};
	}

	/** What looks forbidden may have been allowed meanwhile, where this entry has lost the core. */
	const forbid = (status: number, message: string): OwnAnswer => holdsLease()
		? {status, message}
		: {status: 503, message: 'the configuration in force is not surely known here', retryAfterMs: context.lostCoreRetryMs()};

	const route = findRoute(known, headers.host ?? '', url.split('?', 1)[0]!);
	if (route === null) {
		return forbid(404, 'no route matches');
	}

	if (known.configuration.teams === null || route.isPublic) {
		return {route, team: null, key: null};
	}

	const key = bearer.exec(headers.authorization ?? '')?.groups?.key;
	const team = key === undefined ? undefined : known.teamsByKey.get(key);
	return key === undefined || team === undefined ? forbid(401, 'the key is not known') : {route, team, key};
};

const isOwnAnswer = (placed: Place | OwnAnswer): placed is OwnAnswer => 'status' in placed;

/** One of the route's services, by weight. */
const drawService = ({targets}: Route, random: Random): string => {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let drawn = drawShare(random) * total;
	for (const {serviceName, weight} of targets) {
		drawn -= weight;
		if (drawn < 0) {
			return serviceName;
		}
	}

	return targets.at(-1)!.serviceName;
};

const positive = (text: string | string[] | undefined): number | null => {
	const value = Number(text);
	return text !== undefined && Number.isFinite(value) && value > 0 ? value : null;
};

/** How long the caller will wait; infinite if it does not say. */
const callerDeadlineMs = ({protocol}: ServeContext, {headers}: http.IncomingMessage): number => positive(headers[protocol.headers.deadlineMs]) ?? Number.POSITIVE_INFINITY;

/**
 * As `findPlace`. At an entry that has just started, a caller that came back waits
 * for the lease: it has no further try. Its place is looked up anew then. What was
 * known before may be a snapshot's: a key that was taken away since would be served
 * once the lease, which says that all is known, is there.
 */
const awaitPlace = async (context: ServeContext, request: http.IncomingMessage): Promise<Place | OwnAnswer> => {
	const deadlineMs = callerDeadlineMs(context, request);
	await context.awaitConfiguration(Math.min(configurationWaitMs, deadlineMs * startWaitShare));
	const placed = findPlace(context, request);
	if (isOwnAnswer(placed) || placed.key === null || context.holdsLease()) {
		return placed;
	}

	const {route} = placed;
	if (!hasComeBefore(context.patience(route.name), {deadlineMs, timeoutMs: route.timeoutMs})) {
		return placed;
	}

	await context.awaitLease(Math.min(leaseWaitMs, deadlineMs * startWaitShare));
	return findPlace(context, request);
};

/** Computes a value when it is first asked for. */
const once = <Value>(compute: () => Value): () => Value => {
	let computed: {readonly value: Value} | null = null;
	return () => {
		computed ??= {value: compute()};
		return computed.value;
	};
};

/** Answers one request of a caller. */
export const serveRequest = async (context: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, {isReused}: {readonly isReused: boolean}): Promise<void> => {
	const {protocol, random, nowMs} = context;
	const receivedAtMs = nowMs();
	if (context.isLeaving()) {
		response.setHeader('connection', 'close');
	}

	const placed = await awaitPlace(context, request);
	if (isOwnAnswer(placed)) {
		refuse(context, request, response, placed);
		return;
	}

	const body = await readWholeBody(context, request, response);
	if (body === 'refused') {
		return;
	}

	const {route, team, key} = placed;
	const deadlineMs = callerDeadlineMs(context, request);
	const patience = context.patience(route.name);
	if (isReused && Number.isFinite(deadlineMs)) {
		noteFirstDeadline(patience, deadlineMs);
	}

	const deadlineAtMs = receivedAtMs + Math.min(route.timeoutMs, deadlineMs);
	const ended = new AbortController();
	const deadline = setTimeout(() => {
		ended.abort();
	}, Math.max(0, deadlineAtMs - nowMs()));
	response.once('close', () => {
		clearTimeout(deadline);
		// Work for a caller that has left is stopped at once, also while it waits its turn.
		if (!response.writableFinished) {
			ended.abort();
		}
	});
	const service = context.table()?.services.get(drawService(route, random));
	if (service === undefined) {
		refuse(context, request, response, {status: 503, message: 'the route\'s service is not known here', retryAfterMs: unknownRetryMs});
		return;
	}

	const asked = {
		method: request.method!, host: request.headers.host ?? '', path: request.url!, teamName: team?.name ?? null, body,
	};
	const tokens = protocol.readTokens(request.headers);
	await context.run({
		requestId: String(request.headers[protocol.headers.requestId] ?? ''), request, response, route, service, team, body, isKeyed: key !== null, receivedAtMs, deadlineAtMs, ended,
		promptTokens: tokens.prompt, mostAnswerTokens: tokens.mostAnswer, hasComeBack: !isReused && hasComeBefore(patience, {deadlineMs, timeoutMs: route.timeoutMs}),
		outline: once(() => outlineOf(asked)), fingerprint: once(() => fingerprintOf(asked)),
		isKeyInForce: () => key === null || context.table()?.teamsByKey.get(key)?.name === team?.name,
	});
};

const refuse = ({logger, metrics, protocol}: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, answer: OwnAnswer): void => {
	metrics.request('none', String(answer.status));
	logger.event('BP4021', {
		requestId: request.headers[protocol.headers.requestId], status: answer.status, reason: answer.message, sent: 0, retryAfterMs: answer.retryAfterMs,
	});
	// What is left of a body would be taken for the next request's head, so it is read and dropped.
	request.resume();
	sendOwnAnswer(response, answer);
};

const readWholeBody = async (context: ServeContext, request: http.IncomingMessage, response: http.ServerResponse) => {
	const {headers} = request;
	if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
		return null;
	}

	try {
		return await readBody(request, context.table()?.configuration.limits.maxBodyBytes);
	} catch (error) {
		if (error instanceof BodyTooLargeError) {
			refuse(context, request, response, {status: 413, message: error.message, isClosing: true});
		} else {
			context.logger.event('BP4025', {requestId: request.headers[context.protocol.headers.requestId], reason: (error as Error).message});
			response.destroy();
		}

		return 'refused';
	}
};
