/**
 * How often a request may run: `safe` more than once, `unsafe` at most once,
 * `streaming` at most once unless the route is resumable.
 */
export type RetryClass = 'safe' | 'unsafe' | 'streaming';

/** A service that receives a share of a route's requests, in proportion to `weight`. */
export type RouteTarget = {readonly serviceName: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly prefix: string;
	readonly retryClass: RetryClass;
	/** Maximum time until a caller gets a response. */
	readonly timeoutMs: number;
	/** Objective for the time until the answer or, in a stream, its first event. */
	readonly objectiveMs: number;
	/** Objective for the pause between the events of a stream; `null` for plain answers. */
	readonly pauseObjectiveMs: number | null;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of endpoints that a request is sent to. */
	readonly maxAttempts: number;
	/** Callers need no key. */
	readonly isPublic: boolean;
	/** An interrupted stream may be resumed at another endpoint after the last received event. */
	readonly isResumable: boolean;
	/** Regions whose endpoints may serve the route; empty or absent for no restriction. */
	readonly allowedRegionIds?: readonly string[];
};

/** Published performance figures of an engine; times are per step of its batch. */
export type EngineProfile = {
	readonly slots: number;
	/** Steps that the engine takes before it returns tokens. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	/** Additional step time for each 1,000 tokens of context (prompt and decoded answer) of a decoding request. */
	readonly contextMsPerThousand: number;
	readonly readTokensPerSecond: number;
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	readonly kvCapacityTokens: number;
	readonly model: string;
	readonly chunks: number;
	readonly chunkBytes: number;
	/** Time that an engine needs to load staged weights. */
	readonly loadMs: number;
	/** Path at which an engine answers health checks, with its id; missing if there is none. */
	readonly healthPath?: string;
};

/** The origin of weights; its zone is `null` if unknown. */
export type OriginProfile = {readonly address: string; readonly zoneId: string | null; readonly maxConnections: number; readonly linkMbps: number};

/** An endpoint tolerates only a limited rate of requests for some time after its start, or after it has become cold again. */
export type ColdStart = {readonly durationMs: number; /** Requests per second, sent by all entries together. */ readonly perSecond: number};

export type Service = {
	readonly name: string;
	/** Maximum number of connections that an endpoint accepts from all callers together. */
	readonly maxConnections: number;
	/** `null` for plain services. */
	readonly engine: EngineProfile | null;
	readonly origin: OriginProfile | null;
	/** `null` or absent if its endpoints are not limited after a start. */
	readonly coldStart?: ColdStart | null;
};

export type Team = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Takes precedence over the priority of the route; `null` for none. */
	readonly priority: number | null;
	/** Regions whose endpoints may serve the team, in addition to the route's restriction; empty or absent for no restriction. */
	readonly allowedRegionIds?: readonly string[];
};

/** Limits on callers' requests and connections. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A complete configuration, as submitted by operators. */
export type RoutingConfiguration = {
	readonly number: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** `null`: callers need no key. */
	readonly teams: readonly Team[] | null;
};
