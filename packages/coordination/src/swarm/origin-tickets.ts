import {rendezvousOrder} from '../utils/rendezvous.js';

const lonePatienceFactor = 3;

/**
 * Who may draw which chunk from the origin. A few hosts, the drawers, share
 * the chunks: each chunk has one owner at a time, so one copy leaves the
 * origin, and the origin sees few connections, so the first chunks are whole
 * early instead of all at the end.
 */
export type OriginTickets = {
	readonly drawers: readonly string[];
	/** Drawers without progress while others had some; their chunks are taken over. */
	readonly suspects: Set<string>;
	/** Chunks of each drawer that no neighbour has announced, and when that last changed. */
	readonly unseen: Map<string, {count: number; progressAtMs: number}>;
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
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly drawers: number;
	readonly seen: Uint8Array;
	readonly nowMs: number;
};

export const createOriginTickets = (options: CreateOriginTicketsOptions): OriginTickets => {
	const {selfId, hostIds, manifestId, totalChunks, seen, nowMs} = options;
	const drawers = rendezvousOrder(`${manifestId}/origin`, hostIds).slice(0, options.drawers);
	const owners: string[] = [];
	const unseen = new Map(drawers.map(hostId => [hostId, {count: 0, progressAtMs: nowMs}]));
	for (let chunk = 0; chunk < totalChunks; chunk++) {
		const owner = ownerOrder(manifestId, chunk, drawers)[0]!;
		owners.push(owner);
		if (seen[chunk] === 0) {
			unseen.get(owner)!.count++;
		}
	}

	const tickets: OriginTickets = {
		drawers, suspects: new Set(), unseen, seen, owners, ownChunks: [], ranks: new Int16Array(totalChunks).fill(-1),
	};
	rankChunks(tickets, manifestId, selfId);
	return tickets;
};

const ownerOrder = (manifestId: string, chunk: number, drawers: readonly string[]): string[] => rendezvousOrder(`${manifestId}/${chunk}`, drawers);

const rankChunks = (tickets: OriginTickets, manifestId: string, selfId: string): void => {
	if (!tickets.drawers.includes(selfId)) {
		return;
	}

	const living = tickets.drawers.filter(hostId => !tickets.suspects.has(hostId));
	tickets.ranks = Int16Array.from(tickets.owners, (_, chunk) => ownerOrder(manifestId, chunk, living).indexOf(selfId));
	tickets.ownChunks = [...tickets.ranks.keys()].filter(chunk => tickets.ranks[chunk] === 0);
};

/** A chunk was seen at a neighbour or stored here. */
export const noteSeen = (tickets: OriginTickets, chunk: number, nowMs: number): void => {
	if (tickets.seen[chunk] === 1) {
		return;
	}

	tickets.seen[chunk] = 1;
	const record = tickets.unseen.get(tickets.owners[chunk]!)!;
	record.count--;
	record.progressAtMs = nowMs;
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
 * while others have some is at fault itself. When nobody has progress, the
 * origin may be cut, and taking over then would make several drawers ask for
 * each chunk once it is back: so only a single drawer is suspected, after a
 * longer wait, and only by a host that has no trouble with the origin.
 */
export const suspectDrawers = (tickets: OriginTickets, options: SuspectOptions): void => {
	const {selfId, manifestId, takeoverMs, isOriginFailing, nowMs} = options;
	const unfinished = [...tickets.unseen].filter(([hostId, {count}]) => count > 0 && !tickets.suspects.has(hostId));
	const hasProgress = unfinished.some(([, {progressAtMs}]) => nowMs - progressAtMs < takeoverMs / 2);
	const patienceMs = hasProgress ? takeoverMs : takeoverMs * lonePatienceFactor;
	const stalled = unfinished.filter(([hostId, {progressAtMs}]) => hostId !== selfId && nowMs - progressAtMs > patienceMs);
	if (stalled.length === 0 || (!hasProgress && (isOriginFailing || unfinished.length > 1))) {
		return;
	}

	for (const [hostId] of stalled) {
		tickets.suspects.add(hostId);
	}

	rankChunks(tickets, manifestId, selfId);
};
