import type {SwarmPeer} from '@bitternpaddle/coordination';

/** `duplex`: each direction of a host's link has the full rate; `shared`: both directions share it. */
export type LinkMode = 'duplex' | 'shared';

export type LinkModel = {
	readonly mode: LinkMode;
	/** Time that one chunk occupies a host's link. */
	readonly chunkMs: number;
	/** Time in which the origin sends one chunk. */
	readonly originChunkMs: number;
	/** One-way latency between availability zones of a region. */
	readonly zoneLatencyMs: number;
	/** One-way latency between regions. */
	readonly regionLatencyMs: number;
	/** Processing time of one request for a chunk. */
	readonly requestOverheadMs: number;
};

/** One direction of a host's link, which transfers one chunk at a time. */
export type Link = {
	freeAtMs: number;
	/** Start of the period, until `stalledUntilMs`, in which the link transfers nothing. */
	stalledFromMs: number;
	stalledUntilMs: number;
};

const createLink = (): Link => ({freeAtMs: 0, stalledFromMs: Number.POSITIVE_INFINITY, stalledUntilMs: Number.POSITIVE_INFINITY});

/** Creates the links of a host. In `shared` mode both directions are one link, so that receiving a chunk delays sending one. */
export const createHostLinks = (mode: LinkMode): {out: Link; in: Link} => {
	const out = createLink();
	return {out, in: mode === 'shared' ? out : createLink()};
};

export const createOriginLink = createLink;

/** Occupies the link for `durationMs`, starting at `earliestMs` or as soon as the link is free; returns start and end. */
export const occupy = (link: Link, earliestMs: number, durationMs: number): {startMs: number; endMs: number} => {
	let startMs = Math.max(earliestMs, link.freeAtMs);
	if (startMs >= link.stalledFromMs && startMs < link.stalledUntilMs) {
		startMs = link.stalledUntilMs;
	}

	const spansStall = startMs < link.stalledFromMs && startMs + durationMs > link.stalledFromMs;
	const endMs = startMs + durationMs + (spansStall ? link.stalledUntilMs - link.stalledFromMs : 0);
	link.freeAtMs = endMs;
	return {startMs, endMs};
};

const intraZoneLatencyMs = 0.2;

export const latencyBetween = (model: LinkModel, a: SwarmPeer, b: SwarmPeer): number => {
	if (a.regionId !== b.regionId) {
		return model.regionLatencyMs;
	}

	return a.zoneId === b.zoneId ? intraZoneLatencyMs : model.zoneLatencyMs;
};
