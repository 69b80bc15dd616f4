/** What a caller process is told to send. */
export type TokenCall = {
	readonly addresses: readonly string[];
	readonly authorization: string;
	/** In the long run; the callers are independent of each other. */
	readonly requestsPerSecond: number;
	/** Until as many streams are open as there will be. */
	readonly warmUpMs: number;
	readonly measureMs: number;
	/** Of each request. */
	readonly tokens: number;
	readonly seed: number;
};

/** What a caller process saw; times in microseconds, as encoded histograms. */
export type TokenCallResult = {
	readonly firstTokens: string;
	readonly gaps: string;
	readonly tokensPerSecond: number;
	readonly failed: number;
};
