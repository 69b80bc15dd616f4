/**
 * What a request may survive: `safe` may run more than once, `unsafe` at most
 * once, `streaming` at most once unless the route can be resumed.
 */
export type RetryClass = 'safe' | 'unsafe' | 'streaming';

/** A share of a route's requests. */
export type RouteTarget = {readonly serviceName: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly retryClass: RetryClass;
	/** The longest time that a caller is kept waiting. */
	readonly timeoutMs: number;
	/** The answer, or its first event, is on time within this. */
	readonly objectiveMs: number;
	/** The longest pause between events that is on time; `null` for plain answers. */
	readonly pauseObjectiveMs: number | null;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Endpoints that one request may be sent to. */
	readonly maxAttempts: number;
	/** Needs no key. */
	readonly isPublic: boolean;
	/** A broken stream may go on elsewhere, behind the last event that arrived. */
	readonly isResumable: boolean;
};

/** What is published of an engine's pace; times are of one step of its batch. */
export type EngineProfile = {
	readonly slots: number;
	/** Steps that the engine takes before it hands out tokens. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	/** For each 1,000 tokens that a writing request has read and written. */
	readonly contextMsPerThousand: number;
	readonly readTokensPerSecond: number;
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	readonly kvCapacityTokens: number;
	readonly model: string;
	readonly chunks: number;
	readonly chunkBytes: number;
	/** How long an engine takes to load staged weights. */
	readonly loadMs: number;
};

/** Where weights come from; its zone is `null` if it is not told. */
export type OriginProfile = {readonly address: string; readonly zoneId: string | null; readonly maxConnections: number; readonly linkMbps: number};

export type Service = {
	readonly name: string;
	/** Connections that an endpoint takes from all callers together. */
	readonly maxConnections: number;
	/** `null` for plain services. */
	readonly engine: EngineProfile | null;
	readonly origin: OriginProfile | null;
};

export type Team = {readonly name: string; readonly keys: readonly string[]; readonly priority: number | null};

/** Bounds on what callers may send. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A complete configuration, as operators hand it in. */
export type RoutingConfiguration = {
	readonly number: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** `null`: callers need no key. */
	readonly teams: readonly Team[] | null;
};
