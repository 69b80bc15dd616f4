import type http from 'node:http';
import type {LimitNotice, PauseNotice} from '@bitternpaddle/coordination';
import type {RoutingConfiguration} from '@bitternpaddle/state';

/** Lower-case names of the headers exchanged between callers, entries and endpoints. */
export type HeaderNames = {
	/** Id of a request; an endpoint repeats it in its answer. */
	readonly requestId: string;
	/** How long the sender waits for an answer, in ms. */
	readonly deadlineMs: string;
	/** The run of an endpoint for which a request is intended; any other run refuses it. */
	readonly expectedEndpoint: string;
	/** The version of the weights for which a request is intended. */
	readonly expectedVersion: string;
	/** The team to which the caller's key belongs. */
	readonly team: string;
	/** Set by an endpoint that did not run the request. */
	readonly notRun: string;
	/** The endpoint's signature of an answer. */
	readonly signature: string;
	/** Priority from 0 to 9; 0 is served first from the endpoint's queue. */
	readonly urgency: string;
	/** The endpoint's load, see `readLoad`. */
	readonly load: string;
	/** Id of the last event that the caller received before its stream broke. */
	readonly lastEventId: string;
};

/** A decoded configuration, or the problems of an invalid one. */
export type DecodedConfiguration
	= | {readonly type: 'configuration'; readonly configuration: RoutingConfiguration}
		| {readonly type: 'invalid'; readonly problems: readonly string[]};

/** Number of prompt tokens and maximum number of answer tokens; 0 for a value that the request does not give. */
export type RequestTokens = {readonly prompt: number; readonly maxAnswer: number};

/** The load of an endpoint as advertised in the head of an answer. */
export type AdvertisedLoad = {
	/** Running and waiting requests. */
	readonly active: number;
	/** The number of requests that it runs concurrently; `null` if not given. */
	readonly slots: number | null;
	/** How long work takes on its host at the moment, relative to its usual duration (1); `null` if not given. */
	readonly slowdown: number | null;
};

/** The protocol of callers and endpoints, as far as an entry needs it. */
export type RequestProtocol = {
	readonly headers: HeaderNames;
	decodeConfiguration(text: string): DecodedConfiguration;
	/** Reads the token counts in a request's headers. */
	readTokens(headers: http.IncomingHttpHeaders): RequestTokens;
	/** The ids of the prompt parts that other requests may share, in order; empty if the request names none or they cannot be read. @default empty */
	readPromptParts?(headers: http.IncomingHttpHeaders): readonly string[];
	/** Parses the load header; `null` if it is invalid. */
	readLoad(text: string): AdvertisedLoad | null;
	/** The request rate limit advertised in the headers of an endpoint's answer. */
	readLimit(headers: http.IncomingHttpHeaders): LimitNotice;
	/** Whether the headers of an endpoint's answer say that it is leaving. */
	isLeaving(headers: http.IncomingHttpHeaders): boolean;
	/** The pause requested in the headers of an answer with which an endpoint refuses a request. */
	readPause(headers: http.IncomingHttpHeaders): PauseNotice;
};
