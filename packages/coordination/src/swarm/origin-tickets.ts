import {rendezvousOrder} from '../utils/rendezvous.js';

const soleFetcherTakeoverFactor = 3;
/** A silence this many times as long as any that a fetcher recovered from is a fault. */
const silenceFactor = 1.5;

/**
 * Determines which host may fetch which chunk from the origin. A few hosts, the
 * origin fetchers, share the chunks. Each chunk has one owner at a time, so one
 * copy leaves the origin. The origin serves few connections, so the first chunks
 * are complete early instead of all at the end.
 */
export type OriginTickets = {
	readonly fetchers: readonly string[];
	/** Hosts in the origin's zone. */
	readonly originZoneIds: ReadonlySet<string>;
	/** Fetchers without progress while others had some; their chunks are taken over. */
	readonly suspects: Set<string>;
	/** For each fetcher, the number of its chunks that no neighbour has announced, and when that number last changed, also as `activeMs`. */
	readonly unseen: Map<string, {count: number; progressAtMs: number; progressAtActiveMs: number}>;
	/** Longest silence, in `activeMs`, after which a fetcher had progress again. */
	maxRecoveredSilenceMs: number;
	/** Total time in which at least one fetcher had progress. */
	activeMs: number;
	/** When any fetcher last had progress. */
	progressAtMs: number;
	/** The part of a silence of all fetchers that exceeds this does not count as time with progress. */
	readonly maxProgressGapMs: number;
	/** 1 for each chunk that was seen at a neighbour or is stored here. */
	readonly seen: Uint8Array;
	/** Owner of each chunk if no fetcher is suspected. */
	readonly owners: readonly string[];
	/** Chunks that this host currently owns. */
	ownChunks: number[];
	/** For each chunk, this host's rank among the fetchers that are not suspected; -1 if it is none of them. */
	ranks: Int16Array;
};

export type CreateOriginTicketsOptions = {
	readonly selfId: string;
	readonly hostIds: readonly string[];
	/** Hosts in the origin's zone, which fetch before all others. @default none */
	readonly originZoneIds?: ReadonlySet<string>;
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly fetcherCount: number;
	readonly seen: Uint8Array;
	readonly maxProgressGapMs: number;
	/** Hosts that are not to be trusted with any chunk. @default none */
	readonly ejected?: ReadonlySet<string>;
	readonly nowMs: number;
};

export const createOriginTickets = (options: CreateOriginTicketsOptions): OriginTickets => {
	const {selfId, hostIds, originZoneIds = noHosts, ejected = noHosts, manifestId, totalChunks, seen, maxProgressGapMs, nowMs} = options;
	const fetchers = originZoneFirst(rendezvousOrder(`${manifestId}/origin`, hostIds), originZoneIds).slice(0, options.fetcherCount);
	const owners: string[] = [];
	const unseen = new Map(fetchers.map(hostId => [hostId, {count: 0, progressAtMs: nowMs, progressAtActiveMs: 0}]));
	for (let chunk = 0; chunk < totalChunks; chunk++) {
		const owner = ownerOrder({manifestId, originZoneIds}, chunk, fetchers)[0]!;
		owners.push(owner);
		if (seen[chunk] === 0) {
			unseen.get(owner)!.count++;
		}
	}

	const tickets: OriginTickets = {
		fetchers, originZoneIds, suspects: new Set(fetchers.filter(hostId => ejected.has(hostId))), unseen, maxRecoveredSilenceMs: 0, activeMs: 0, progressAtMs: nowMs, maxProgressGapMs,
		seen, owners, ownChunks: [], ranks: new Int16Array(totalChunks).fill(-1),
	};
	rankChunks(tickets, manifestId, selfId);
	return tickets;
};

const noHosts: ReadonlySet<string> = new Set();

const originZoneFirst = (hostIds: readonly string[], originZoneIds: ReadonlySet<string>): string[] => [
	...hostIds.filter(hostId => originZoneIds.has(hostId)),
	...hostIds.filter(hostId => !originZoneIds.has(hostId)),
];

type OwnerOrderOptions = {readonly manifestId: string; readonly originZoneIds: ReadonlySet<string>};

/** The fetchers of a chunk in the order in which they become its owner. */
const ownerOrder = ({manifestId, originZoneIds}: OwnerOrderOptions, chunk: number, fetchers: readonly string[]): string[] => originZoneFirst(
	rendezvousOrder(`${manifestId}/${chunk}`, fetchers),
	originZoneIds,
);

const rankChunks = (tickets: OriginTickets, manifestId: string, selfId: string): void => {
	if (!tickets.fetchers.includes(selfId)) {
		return;
	}

	const unsuspected = tickets.fetchers.filter(hostId => !tickets.suspects.has(hostId));
	tickets.ranks = Int16Array.from(tickets.owners, (_, chunk) => ownerOrder({manifestId, originZoneIds: tickets.originZoneIds}, chunk, unsuspected).indexOf(selfId));
	tickets.ownChunks = [...tickets.ranks.keys()].filter(chunk => tickets.ranks[chunk] === 0);
};

/** Records that a chunk was seen at a neighbour or stored here. */
export const recordSeen = (tickets: OriginTickets, chunk: number, nowMs: number): void => {
	if (tickets.seen[chunk] === 1) {
		return;
	}

	tickets.seen[chunk] = 1;
	const owner = tickets.owners[chunk]!;
	const record = tickets.unseen.get(owner)!;
	tickets.activeMs += Math.min(tickets.maxProgressGapMs, nowMs - tickets.progressAtMs);
	tickets.progressAtMs = nowMs;
	if (!tickets.suspects.has(owner)) {
		tickets.maxRecoveredSilenceMs = Math.max(tickets.maxRecoveredSilenceMs, tickets.activeMs - record.progressAtActiveMs);
	}

	record.count--;
	record.progressAtMs = nowMs;
	record.progressAtActiveMs = tickets.activeMs;
};

export type EjectFetcherOptions = {readonly selfId: string; readonly manifestId: string; readonly hostId: string};

/** Takes over the chunks of a host that was ejected, which would otherwise be missing until it has been silent for long enough. */
export const ejectFetcher = (tickets: OriginTickets, {selfId, manifestId, hostId}: EjectFetcherOptions): void => {
	if (tickets.fetchers.includes(hostId) && !tickets.suspects.has(hostId)) {
		tickets.suspects.add(hostId);
		rankChunks(tickets, manifestId, selfId);
	}
};

/** Records that no known host has the chunk any more, so that its owner fetches it again. */
export const recordLost = (tickets: OriginTickets, chunk: number): void => {
	if (tickets.seen[chunk] === 1) {
		tickets.seen[chunk] = 0;
		tickets.unseen.get(tickets.owners[chunk]!)!.count++;
	}

	requeueOwned(tickets, chunk);
};

/** Adds a chunk that this host owns to those to fetch from the origin again. */
export const requeueOwned = ({ranks, ownChunks}: OriginTickets, chunk: number): void => {
	if (ranks[chunk] === 0) {
		ownChunks.push(chunk);
	}
};

export type SuspectOptions = {
	readonly selfId: string;
	readonly manifestId: string;
	readonly takeoverMs: number;
	/** Whether this host's own last fetch from the origin failed. */
	readonly isOriginFailing: boolean;
	readonly nowMs: number;
};

/**
 * Takes over chunks from fetchers that crashed or stalled. A fetcher without
 * progress while others had some is at fault itself. Time in which no fetcher had
 * progress does not count: the origin may have been unreachable, and if the
 * fetchers suspected each other for that, several would request each chunk once
 * it is back. If only one is unfinished, there is no other to compare it with, so
 * it gets more time, and no host that itself fails to reach the origin takes over.
 */
export const suspectStalledFetchers = (tickets: OriginTickets, options: SuspectOptions): void => {
	const {selfId, manifestId, takeoverMs, isOriginFailing, nowMs} = options;
	// The origin serves the fetchers in turn, so on slow links each is silent for a complete round. A lower limit would make every fetcher a suspect and send each chunk from the origin twice.
	const silenceLimitMs = Math.max(takeoverMs, silenceFactor * tickets.maxRecoveredSilenceMs);
	const unfinished = [...tickets.unseen].filter(([hostId, {count}]) => count > 0 && !tickets.suspects.has(hostId));
	const isSoleUnfinished = unfinished.length === 1 && !isOriginFailing;
	const stalled = unfinished.filter(([hostId, {progressAtMs, progressAtActiveMs}]) => hostId !== selfId
		&& (tickets.activeMs - progressAtActiveMs > silenceLimitMs || (isSoleUnfinished && nowMs - progressAtMs > takeoverMs * soleFetcherTakeoverFactor)));
	if (stalled.length === 0) {
		return;
	}

	for (const [hostId] of stalled) {
		tickets.suspects.add(hostId);
	}

	rankChunks(tickets, manifestId, selfId);
};
