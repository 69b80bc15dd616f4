import type {SwarmPeer} from '@bitternpaddle/coordination';

export type LinkMode = 'duplex' | 'shared';

export type LinkModel = {
	readonly mode: LinkMode;
	/** Time that one chunk occupies a host's link. */
	readonly chunkMs: number;
	/** The origin sends a chunk in this time. */
	readonly originChunkMs: number;
	/** One way, between availability zones of a region. */
	readonly zoneLatencyMs: number;
	/** One way, between regions. */
	readonly regionLatencyMs: number;
	/** Handling of one request for a chunk. */
	readonly requestOverheadMs: number;
};

/** A direction of a host's link that serves one chunk after the other. */
export type Link = {
	freeAtMs: number;
	/** No byte passes from `stalledFromMs` to `stalledUntilMs`. */
	stalledFromMs: number;
	stalledUntilMs: number;
};

const createLink = (): Link => ({freeAtMs: 0, stalledFromMs: Number.POSITIVE_INFINITY, stalledUntilMs: Number.POSITIVE_INFINITY});

/** In the shared case both directions are one link, so a chunk in delays a chunk out. */
export const createHostLinks = (mode: LinkMode): {out: Link; in: Link} => {
	const out = createLink();
	return {out, in: mode === 'shared' ? out : createLink()};
};

export const createOriginLink = createLink;

/** Occupies the link for `durationMs` from `earliestMs` or as soon as it is free; gives begin and end. */
export const occupy = (link: Link, earliestMs: number, durationMs: number): {startMs: number; endMs: number} => {
	let startMs = Math.max(earliestMs, link.freeAtMs);
	if (startMs >= link.stalledFromMs && startMs < link.stalledUntilMs) {
		startMs = link.stalledUntilMs;
	}

	const isCrossing = startMs < link.stalledFromMs && startMs + durationMs > link.stalledFromMs;
	const endMs = startMs + durationMs + (isCrossing ? link.stalledUntilMs - link.stalledFromMs : 0);
	link.freeAtMs = endMs;
	return {startMs, endMs};
};

const withinZoneLatencyMs = 0.2;

export const latencyBetween = (model: LinkModel, a: SwarmPeer, b: SwarmPeer): number => {
	if (a.regionId !== b.regionId) {
		return model.regionLatencyMs;
	}

	return a.zoneId === b.zoneId ? withinZoneLatencyMs : model.zoneLatencyMs;
};
