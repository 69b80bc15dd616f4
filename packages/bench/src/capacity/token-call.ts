/** The load that a caller process sends. */
export type TokenCall = {
	readonly addresses: readonly string[];
	readonly authorization: string;
	/** Average rate; arrivals are independent of each other. */
	readonly requestsPerSecond: number;
	/** Time until the number of open streams is steady. */
	readonly warmUpMs: number;
	readonly measureMs: number;
	/** Tokens per request. */
	readonly tokens: number;
	readonly seed: number;
};

/** The measurements of a caller process; durations are in microseconds, as encoded histograms. */
export type TokenCallResult = {
	readonly firstTokens: string;
	readonly gaps: string;
	readonly tokensPerSecond: number;
	readonly failed: number;
};
