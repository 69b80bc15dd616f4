import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	findRoute, type Route, type RouteTable, type Team,
} from '@bitternpaddle/state';
import {
	randomFraction, fingerprintOf, isCallerRetry, promptPartOf, recordFirstDeadline, outlineOf, type FirstAttemptDeadlines, type Random,
} from '@bitternpaddle/coordination';
import {
	BodyTooLargeError, ignore, OverloadError, startReadingBody, type BodyReading, type Logger,
} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {defaultCallerLimits} from './front-server.js';
import {createRegionLists} from './region-lists.js';
import {sendLocalReply, type LocalReply} from './local-reply.js';
import type {Call, CancelCause} from './gateway-call.js';

export type ServeContext = {
	readonly protocol: RequestProtocol;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** `null` until a configuration is known. */
	table(): RouteTable | null;
	/** Resolves once a configuration is known, after `maxMs` at the latest. */
	awaitConfiguration(maxMs: number): Promise<void>;
	/** Whether requests may be sent with regard to evacuations: the evacuated zones were confirmed once since the start. */
	knowsEvacuations(): boolean;
	/** Resolves once `knowsEvacuations` returns `true`, after `maxMs` at the latest. */
	awaitEvacuations(maxMs: number): Promise<void>;
	/** After the start of the entry, resolves once it holds the lease, after `maxMs` at the latest. */
	awaitLease(maxMs: number): Promise<void>;
	/** Whether the configuration held by this entry is confirmed to be in force. */
	holdsLease(): boolean;
	/** Retry delay for callers while the lease is not held. */
	lostCoreRetryMs(): number;
	/** Deadlines of first attempts on a route, from which caller retries are recognized. */
	firstAttemptDeadlines(routeName: string): FirstAttemptDeadlines;
	/** Whether one more request may wait for or run at endpoints. @default always */
	hasRoom?(request: http.IncomingMessage): boolean;
	run(call: Call): Promise<void>;
	nowMs(): number;
};

/** Retry delay if the service of a route is unknown. Both arrive in the same configuration, so the next one will contain it. */
const unknownServiceRetryMs = 500;
/** Retry delay while the entry has as many requests in progress as it may have. */
const fullRetryMs = 1000;
/** Time after the start within which the first configuration arrives if any core host is running. */
const configurationWaitMs = 600;
/** An entry that starts together with the whole system gets the lease once the core has a leader, about 1 s after its own start. */
const leaseWaitMs = 1500;
/** Share of a caller's remaining time that may be spent waiting; the rest is left for the answer or the next retry. */
const startWaitShare = 0.35;
const maxAnswerMarginMs = 20;
const answerMarginShare = 0.02;
const bearerPattern = /^bearer\s+(?<key>\S+)\s*$/iv;

type RouteMatch = {
	/** The configuration in which the route and the team were found. */
	readonly table: RouteTable;
	readonly route: Route;
	readonly team: Team | null;
	/** `null` if none is required. */
	readonly key: string | null;
};

const pathOf = ({url = '/'}: http.IncomingMessage): string => url.split('?', 1)[0]!;

/** Finds the route and team of a request; returns a local reply if the request is refused. */
const matchRoute = (context: ServeContext, request: http.IncomingMessage): RouteMatch | LocalReply => {
	const {table, holdsLease} = context;
	const {headers} = request;
	const known = table();
	if (known === null) {
		return {status: 503, message: 'no configuration is known here yet', retryAfterMs: context.lostCoreRetryMs()};
	}

	/** A newer configuration may allow the request if this entry has lost contact with the core. */
	const forbid = (status: number, message: string): LocalReply => holdsLease()
		? {status, message}
		: {status: 503, message: 'the configuration held here is not confirmed to be in force', retryAfterMs: context.lostCoreRetryMs()};

	const route = findRoute(known, headers.host ?? '', pathOf(request));
	if (route === null) {
		return forbid(404, 'no route matches');
	}

	if (known.configuration.teams === null || route.isPublic) {
		return {
			table: known, route, team: null, key: null,
		};
	}

	const key = bearerPattern.exec(headers.authorization ?? '')?.groups?.key;
	const team = key === undefined ? undefined : known.teamsByKey.get(key);
	if (key === undefined || team === undefined) {
		return forbid(401, 'the key is not known');
	}

	return {
		table: known, route, team, key,
	};
};

const isLocalReply = (matched: RouteMatch | LocalReply): matched is LocalReply => 'status' in matched;

/** Selects one of the route's services at random, by weight. */
const pickService = ({targets}: Route, random: Random): string => {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remainder = randomFraction(random) * total;
	for (const {serviceName, weight} of targets) {
		remainder -= weight;
		if (remainder < 0) {
			return serviceName;
		}
	}

	return targets.at(-1)!.serviceName;
};

const parsePositive = (text: string | string[] | undefined): number | null => {
	const value = Number(text);
	return text !== undefined && Number.isFinite(value) && value > 0 ? value : null;
};

/** How long the caller waits for the answer; infinite if it does not state it. */
const callerDeadlineMs = ({protocol}: ServeContext, {headers}: http.IncomingMessage): number => parsePositive(headers[protocol.headers.deadlineMs]) ?? Number.POSITIVE_INFINITY;

/** The caller's clock started before this entry's; without a margin it would give up while its answer to the deadline is on its way. */
const answerMarginMs = (deadlineMs: number): number => Number.isFinite(deadlineMs) ? Math.min(maxAnswerMarginMs, deadlineMs * answerMarginShare) : 0;

/** Whether this entry knows what a request depends on: the evacuated zones and, if it has a key, the keys in force. */
const isStarted = ({holdsLease, knowsEvacuations}: ServeContext, {key}: RouteMatch): boolean => knowsEvacuations() && (key === null || holdsLease());

/** Refuses a request while the evacuated zones are not known: it might be sent into one of them. */
const requireEvacuations = ({knowsEvacuations, lostCoreRetryMs}: ServeContext, matched: RouteMatch | LocalReply): RouteMatch | LocalReply => isLocalReply(matched) || knowsEvacuations()
	? matched
	: {status: 503, message: 'the evacuated zones are not surely known', retryAfterMs: lostCoreRetryMs()};

/**
 * Like `matchRoute`, but at an entry that has just started, a caller retry waits for
 * the evacuated zones and the lease because the caller has no further retry. The route
 * is then matched again: the earlier configuration may come from a snapshot, and a key
 * that was revoked since would otherwise be accepted once the lease is held.
 */
const awaitRouteMatch = async (context: ServeContext, request: http.IncomingMessage): Promise<RouteMatch | LocalReply> => {
	const deadlineMs = callerDeadlineMs(context, request);
	await context.awaitConfiguration(Math.min(configurationWaitMs, deadlineMs * startWaitShare));
	const matched = matchRoute(context, request);
	if (isLocalReply(matched) || isStarted(context, matched)) {
		return matched;
	}

	const {route} = matched;
	if (!isCallerRetry(context.firstAttemptDeadlines(route.name), {deadlineMs, timeoutMs: route.timeoutMs})) {
		return requireEvacuations(context, matched);
	}

	const waitsUntilMs = context.nowMs() + Math.min(leaseWaitMs, deadlineMs * startWaitShare);
	await context.awaitEvacuations(waitsUntilMs - context.nowMs());
	if (matched.key !== null) {
		await context.awaitLease(waitsUntilMs - context.nowMs());
	}

	return requireEvacuations(context, matchRoute(context, request));
};

/** Computes a value on the first call and returns it on later calls. */
const memoize = <Value>(compute: () => Value): () => Value => {
	let computed: {readonly value: Value} | null = null;
	return () => {
		computed ??= {value: compute()};
		return computed.value;
	};
};

/** Handles one request of a caller. */
export const serveRequest = async (context: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, {isReused}: {readonly isReused: boolean}): Promise<void> => {
	const {protocol, random, nowMs} = context;
	const receivedAtMs = nowMs();
	const reading = startReading(context, request);
	const matched = await awaitRouteMatch(context, request);
	if (isLocalReply(matched)) {
		reading?.giveUp(new Error('the request was refused'));
		refuse(context, request, response, matched);
		return;
	}

	const {route, team, key, table: matchedIn} = matched;
	const deadlineMs = callerDeadlineMs(context, request);
	const deadlineAtMs = receivedAtMs + Math.min(route.timeoutMs, deadlineMs - answerMarginMs(deadlineMs));
	const body = await awaitBody(context, request, response, {reading, deadlineAtMs});
	if (body === 'refused') {
		return;
	}

	const firstAttemptDeadlines = context.firstAttemptDeadlines(route.name);
	if (isReused && Number.isFinite(deadlineMs)) {
		recordFirstDeadline(firstAttemptDeadlines, deadlineMs);
	}

	if (context.hasRoom?.(request) === false) {
		refuse(context, request, response, {status: 503, message: 'this entry has too many requests in progress', retryAfterMs: fullRetryMs});
		return;
	}

	const cancellation = new AbortController();
	const deadline = setTimeout(() => {
		cancellation.abort('deadline' satisfies CancelCause);
	}, Math.max(0, deadlineAtMs - nowMs()));
	response.once('close', () => {
		clearTimeout(deadline);
		// Requests of callers that disconnect are aborted at once, also while they wait.
		if (!response.writableFinished) {
			cancellation.abort('callerDisconnected' satisfies CancelCause);
		}
	});
	const service = context.table()?.services.get(pickService(route, random));
	if (service === undefined) {
		refuse(context, request, response, {status: 503, message: 'the route\'s service is not known here', retryAfterMs: unknownServiceRetryMs});
		return;
	}

	const identity = {
		method: request.method!, host: request.headers.host ?? '', path: request.url!, teamName: team?.name ?? null, body,
	};
	const tokens = protocol.readTokens(request.headers);
	await context.run({
		requestId: String(request.headers[protocol.headers.requestId] ?? ''), request, response, route, service, team, body, requiresKey: key !== null, receivedAtMs, deadlineAtMs, cancellation,
		promptTokens: tokens.prompt, answerTokenLimit: tokens.maxAnswer, hasComeBack: !isReused && isCallerRetry(firstAttemptDeadlines, {deadlineMs, timeoutMs: route.timeoutMs}),
		outline: memoize(() => outlineOf(identity)), fingerprint: memoize(() => fingerprintOf(identity)),
		promptParts: memoize(() => (protocol.readPromptParts?.(request.headers) ?? []).map(id => promptPartOf(service, id))),
		isKeyInForce: () => key === null || context.table()?.teamsByKey.get(key)?.name === team?.name,
		regionLists: createRegionLists({
			table: context.table, matchedIn, host: request.headers.host ?? '', path: pathOf(request), route, team, key,
		}),
	});
};

const refuse = ({logger, metrics, protocol}: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, answer: LocalReply): void => {
	metrics.request('none', String(answer.status));
	logger.event('BP4021', {
		requestId: request.headers[protocol.headers.requestId], status: answer.status, reason: answer.message, sent: 0, retryAfterMs: answer.retryAfterMs,
	});
	// Reads and discards the rest of the body, which would otherwise be parsed as the head of the next request; the server bounds it.
	request.resume();
	sendLocalReply(response, answer);
};

/** Begins to read the body of a request, if it has one. */
const startReading = ({table}: ServeContext, request: http.IncomingMessage): BodyReading | null => {
	const {headers} = request;
	if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
		return null;
	}

	const reading = startReadingBody(request, (table()?.configuration.limits ?? defaultCallerLimits).maxBodyBytes);
	// The body may fail before it is awaited.
	reading.body.catch(ignore);
	return reading;
};

/** Thrown to the reader of a body that is not complete when its request is due. */
class BodyOverdueError extends Error {
	override readonly name = 'BodyOverdueError';
}

type AwaitedBody = {readonly reading: BodyReading | null; readonly deadlineAtMs: number};

/** Waits for the body of a request until its deadline; answers the request if the body does not arrive or is too large. */
const awaitBody = async (context: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, {reading, deadlineAtMs}: AwaitedBody): Promise<Buffer | null | 'refused'> => {
	if (reading === null) {
		return null;
	}

	const timer = setTimeout(() => {
		reading.giveUp(new BodyOverdueError('the body did not arrive before the deadline'));
	}, Math.max(0, deadlineAtMs - context.nowMs()));
	try {
		return await reading.body;
	} catch (error) {
		refuseBody(context, request, response, error as Error);
		return 'refused';
	} finally {
		clearTimeout(timer);
	}
};

const refuseBody = (context: ServeContext, request: http.IncomingMessage, response: http.ServerResponse, error: Error): void => {
	if (error instanceof OverloadError) {
		// Its sender has the answer already.
		context.metrics.request('none', '503');
	} else if (error instanceof BodyTooLargeError) {
		refuse(context, request, response, {status: 413, message: error.message, isClosing: true});
	} else if (error instanceof BodyOverdueError) {
		refuse(context, request, response, {status: 408, message: error.message, isClosing: true});
	} else {
		context.logger.event('BP4025', {requestId: request.headers[context.protocol.headers.requestId], reason: error.message});
		response.destroy();
	}
};
