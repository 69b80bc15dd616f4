/** From `dueAtMs` on, no request may start on weights older than `version`. */
export type VersionDue = {readonly version: number; readonly dueAtMs: number};

/** The start of a request may take half as long again as estimated. */
const expectationFactor = 1.5;
const pathMs = 300;
/**
 * A request can be delayed on a slow link for more than a second before the engine
 * receives it (1.4 s at a fifth of a link's bandwidth), and cannot be recalled: its
 * engine would start it on weights that are no longer allowed. An engine that is among
 * the last to switch is most likely behind such a link. This is too long for all
 * engines: while hardly any has the new weights, as when two versions are published in
 * succession, every request would be refused.
 */
const slowPathMs = 1700;
/** Once this share of the engines serves the new weights, the others count as the last. */
const majorityShare = 0.5;

/** The estimated start of a request at an engine. */
export type ExpectedStart = {
	readonly expectedMs: number;
	/** Whether the path to the engine is, or most likely is, slower than it appears. */
	readonly isPathSlow: boolean;
};

/** Whether most engines serve the newest weights; `versions` are those that the engines serve. */
export const isMostlySwitched = (versions: ReadonlyArray<number | null>, dues: readonly VersionDue[]): boolean => {
	const newest = Math.max(0, ...dues.map(({version}) => version));
	return versions.filter(version => version !== null && version >= newest).length >= versions.length * majorityShare;
};

/** Whether a request that is sent now with this estimated start may start on weights of `version`. */
export const mayStartOn = (version: number, dues: readonly VersionDue[], {expectedMs, isPathSlow}: ExpectedStart, nowMs: number): boolean => dues
	.every(due => version >= due.version || nowMs + (expectedMs * expectationFactor) + (isPathSlow ? slowPathMs : pathMs) < due.dueAtMs);

/** How long a request that was sent to an engine with `version` may wait for its start; `null` for no limit. */
export const startWithinMs = (version: number, dues: readonly VersionDue[], nowMs: number): number | null => {
	const pending = dues.filter(due => version < due.version).map(({dueAtMs}) => dueAtMs - nowMs);
	return pending.length === 0 ? null : Math.max(0, Math.min(...pending));
};
