import type http from 'node:http';
import type {LimitNotice, PauseNotice} from '@bitternpaddle/coordination';
import type {RoutingConfiguration} from '@bitternpaddle/state';

/** Names of headers, in lower case, between callers, entries and endpoints. */
export type HeaderNames = {
	/** Tells requests apart; an endpoint repeats it in its answer. */
	readonly requestId: string;
	/** How long the sender waits, in ms. */
	readonly deadlineMs: string;
	/** The start of an endpoint that a request is meant for; any other refuses it. */
	readonly expectedEndpoint: string;
	/** The version of the weights that a request is meant for. */
	readonly expectedVersion: string;
	/** The team whose key the caller holds. */
	readonly team: string;
	/** The endpoint's word that it did not run the request. */
	readonly notRun: string;
	/** The endpoint's signature under an answer. */
	readonly signature: string;
	/** 0 to 9; 0 goes first in the endpoint's queue. */
	readonly urgency: string;
	/** What the endpoint is doing, see `readActive`. */
	readonly load: string;
	/** The last event that a caller of a broken stream has. */
	readonly lastEventId: string;
};

/** An invalid configuration's problems, or the configuration. */
export type DecodedConfiguration
	= | {readonly type: 'configuration'; readonly configuration: RoutingConfiguration}
		| {readonly type: 'invalid'; readonly problems: readonly string[]};

/** Tokens of the prompt, and the most that the answer may have; 0 for what a request does not tell. */
export type RequestTokens = {readonly prompt: number; readonly mostAnswer: number};

/** What an entry must know of the protocol that its callers and endpoints speak. */
export type RequestProtocol = {
	readonly headers: HeaderNames;
	decodeConfiguration(text: string): DecodedConfiguration;
	/** What a request tells of its size in tokens. */
	readTokens(headers: http.IncomingHttpHeaders): RequestTokens;
	/** Running and waiting requests in the load header; `null` if it cannot be read. */
	readActive(text: string): number | null;
	/** The request rate limit advertised in the headers of an endpoint's answer. */
	readLimit(headers: http.IncomingHttpHeaders): LimitNotice;
	/** Whether the headers of an endpoint's answer say that it is leaving. */
	isLeaving(headers: http.IncomingHttpHeaders): boolean;
	/** The pause requested in the headers of an answer with which an endpoint refuses a request. */
	readPause(headers: http.IncomingHttpHeaders): PauseNotice;
};
