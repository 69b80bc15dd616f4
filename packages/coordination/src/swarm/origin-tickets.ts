import {rendezvousOrder} from '../utils/rendezvous.js';

const lonePatienceFactor = 3;
/** A silence this many times as long as one that a drawer came back from is a fault. */
const silenceFactor = 1.5;

/**
 * Who may draw which chunk from the origin. A few hosts, the drawers, share
 * the chunks: each chunk has one owner at a time, so one copy leaves the
 * origin, and the origin sees few connections, so the first chunks are whole
 * early instead of all at the end.
 */
export type OriginTickets = {
	readonly drawers: readonly string[];
	/** Hosts beside the origin. */
	readonly nearIds: ReadonlySet<string>;
	/** Drawers without progress while others had some; their chunks are taken over. */
	readonly suspects: Set<string>;
	/** Chunks of each drawer that no neighbour has announced, and the last change of that: when, and at which `activeMs`. */
	readonly unseen: Map<string, {count: number; progressAtMs: number; progressAtActiveMs: number}>;
	/** Longest silence, in `activeMs`, after which a drawer had progress again. */
	longestSilenceMs: number;
	/** How long, all in all, some drawer had progress. */
	activeMs: number;
	/** When any drawer last had progress. */
	progressAtMs: number;
	/** A longer silence of all drawers is not counted as time in which there was progress. */
	readonly gapMs: number;
	/** 1 for each chunk that was once seen at a neighbour or here. */
	readonly seen: Uint8Array;
	/** Owner of each chunk when no drawer is suspected. */
	readonly owners: readonly string[];
	/** Chunks that this host owns now. */
	ownChunks: number[];
	/** For each chunk this host's rank among the drawers that are not suspected; -1 for none. */
	ranks: Int16Array;
};

export type CreateOriginTicketsOptions = {
	readonly selfId: string;
	readonly hostIds: readonly string[];
	/** Hosts beside the origin, which draw before all others. @default none */
	readonly nearIds?: ReadonlySet<string>;
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly drawers: number;
	readonly seen: Uint8Array;
	readonly gapMs: number;
	readonly nowMs: number;
};

export const createOriginTickets = (options: CreateOriginTicketsOptions): OriginTickets => {
	const {selfId, hostIds, nearIds = noHosts, manifestId, totalChunks, seen, gapMs, nowMs} = options;
	const drawers = nearFirst(rendezvousOrder(`${manifestId}/origin`, hostIds), nearIds).slice(0, options.drawers);
	const owners: string[] = [];
	const unseen = new Map(drawers.map(hostId => [hostId, {count: 0, progressAtMs: nowMs, progressAtActiveMs: 0}]));
	for (let chunk = 0; chunk < totalChunks; chunk++) {
		const owner = ownerOrder({manifestId, nearIds}, chunk, drawers)[0]!;
		owners.push(owner);
		if (seen[chunk] === 0) {
			unseen.get(owner)!.count++;
		}
	}

	const tickets: OriginTickets = {
		drawers, nearIds, suspects: new Set(), unseen, longestSilenceMs: 0, activeMs: 0, progressAtMs: nowMs, gapMs, seen, owners, ownChunks: [], ranks: new Int16Array(totalChunks).fill(-1),
	};
	rankChunks(tickets, manifestId, selfId);
	return tickets;
};

const noHosts: ReadonlySet<string> = new Set();

const nearFirst = (hostIds: readonly string[], nearIds: ReadonlySet<string>): string[] => [
	...hostIds.filter(hostId => nearIds.has(hostId)),
	...hostIds.filter(hostId => !nearIds.has(hostId)),
];

type OwnerOptions = {readonly manifestId: string; readonly nearIds: ReadonlySet<string>};

/** Who draws a chunk, and who after that. */
const ownerOrder = ({manifestId, nearIds}: OwnerOptions, chunk: number, drawers: readonly string[]): string[] => nearFirst(rendezvousOrder(`${manifestId}/${chunk}`, drawers), nearIds);

const rankChunks = (tickets: OriginTickets, manifestId: string, selfId: string): void => {
	if (!tickets.drawers.includes(selfId)) {
		return;
	}

	const living = tickets.drawers.filter(hostId => !tickets.suspects.has(hostId));
	tickets.ranks = Int16Array.from(tickets.owners, (_, chunk) => ownerOrder({manifestId, nearIds: tickets.nearIds}, chunk, living).indexOf(selfId));
	tickets.ownChunks = [...tickets.ranks.keys()].filter(chunk => tickets.ranks[chunk] === 0);
};

/** A chunk was seen at a neighbour or stored here. */
export const noteSeen = (tickets: OriginTickets, chunk: number, nowMs: number): void => {
	if (tickets.seen[chunk] === 1) {
		return;
	}

	tickets.seen[chunk] = 1;
	const owner = tickets.owners[chunk]!;
	const record = tickets.unseen.get(owner)!;
	tickets.activeMs += Math.min(tickets.gapMs, nowMs - tickets.progressAtMs);
	tickets.progressAtMs = nowMs;
	if (!tickets.suspects.has(owner)) {
		tickets.longestSilenceMs = Math.max(tickets.longestSilenceMs, tickets.activeMs - record.progressAtActiveMs);
	}

	record.count--;
	record.progressAtMs = nowMs;
	record.progressAtActiveMs = tickets.activeMs;
};

/** Nobody around has the chunk any more; its owner draws it again. */
export const noteLost = (tickets: OriginTickets, chunk: number): void => {
	if (tickets.seen[chunk] === 1) {
		tickets.seen[chunk] = 0;
		tickets.unseen.get(tickets.owners[chunk]!)!.count++;
	}

	reclaim(tickets, chunk);
};

/** Puts a chunk that this host owns back among those to draw. */
export const reclaim = ({ranks, ownChunks}: OriginTickets, chunk: number): void => {
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
 * Takes over from drawers that died or stalled. A drawer without progress
 * while others had some is at fault itself. Time in which nobody had progress
 * does not count: the origin may have been cut, and if the drawers suspected
 * each other for it, several would ask for each chunk once it is back. When
 * only one is left, there is nobody to compare it with: it is given longer,
 * and no host that has trouble with the origin itself takes over.
 */
export const suspectDrawers = (tickets: OriginTickets, options: SuspectOptions): void => {
	const {selfId, manifestId, takeoverMs, isOriginFailing, nowMs} = options;
	// The origin serves the drawers in turn, so on slow links each is silent for a whole round; a limit below that makes every drawer a suspect and each chunk leave the origin twice.
	const silenceLimitMs = Math.max(takeoverMs, silenceFactor * tickets.longestSilenceMs);
	const unfinished = [...tickets.unseen].filter(([hostId, {count}]) => count > 0 && !tickets.suspects.has(hostId));
	const isAlone = unfinished.length === 1 && !isOriginFailing;
	const stalled = unfinished.filter(([hostId, {progressAtMs, progressAtActiveMs}]) => hostId !== selfId
		&& (tickets.activeMs - progressAtActiveMs > silenceLimitMs || (isAlone && nowMs - progressAtMs > takeoverMs * lonePatienceFactor)));
	if (stalled.length === 0) {
		return;
	}

	for (const [hostId] of stalled) {
		tickets.suspects.add(hostId);
	}

	rankChunks(tickets, manifestId, selfId);
};
