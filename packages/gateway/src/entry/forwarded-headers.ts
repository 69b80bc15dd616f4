import type http from 'node:http';
import type {HeaderNames} from '../link/request-protocol.js';

/** Headers that apply to a single connection and must not be forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length',
]);

const namedByConnection = ({connection}: http.IncomingHttpHeaders): ReadonlySet<string> => new Set((connection ?? '').toLowerCase().split(',').map(name => name.trim()));

const forwardable = (headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders => {
	const named = namedByConnection(headers);
	return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopByHopHeaders.has(name) && !named.has(name)));
};

/** The caller's headers that are forwarded to an endpoint. The key is meant for the entry only, and callers must not set headers that the entry sets itself. */
export const requestHeaders = (headers: http.IncomingHttpHeaders, names: HeaderNames): http.OutgoingHttpHeaders => {
	const internal = new Set(['authorization', names.team, names.expectedEndpoint, names.expectedVersion, names.urgency, names.deadlineMs]);
	return Object.fromEntries(Object.entries(forwardable(headers)).filter(([name]) => !internal.has(name)));
};

/** The endpoint's headers that are forwarded to the caller. */
export const answerHeaders = (headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders => forwardable(headers);
