import {rendezvousOrder} from '../utils/rendezvous.js';
import type {SwarmPeer} from './swarm-peer.js';

/**
 * Determines which host of a zone may import a chunk from another zone. Links
 * between zones are slow and charged for: without turns, each host fetches two
 * thirds of a version over them; with turns, a zone of six imports one copy and
 * distributes it internally.
 */
export type ZoneImports = {
	/** This host's position in the import order of each chunk; 0 is first. */
	turns: Int16Array;
	/** When a holder of each chunk became known for the first time. */
	readonly knownAtMs: Float64Array;
};

export const createZoneImports = (totalChunks: number): ZoneImports => ({
	turns: new Int16Array(totalChunks), knownAtMs: new Float64Array(totalChunks).fill(Number.POSITIVE_INFINITY),
});

export const rankZoneImports = (imports: ZoneImports, {self, manifestId, peers}: {self: SwarmPeer; manifestId: string; peers: Iterable<SwarmPeer>}): void => {
	const members = [...peers].filter(({zoneId}) => zoneId === self.zoneId).map(({hostId}) => hostId);
	imports.turns = Int16Array.from(imports.turns, (_, chunk) => rendezvousOrder(`${manifestId}/import/${self.zoneId}/${chunk}`, [self.hostId, ...members]).indexOf(self.hostId));
};

export const recordHolder = ({knownAtMs}: ZoneImports, chunk: number, nowMs: number): void => {
	knownAtMs[chunk] = Math.min(knownAtMs[chunk]!, nowMs);
};

/** Whether this host may fetch the chunk from another zone now. */
export const mayImport = ({turns, knownAtMs}: ZoneImports, chunk: number, waitMs: number, nowMs: number): boolean => nowMs >= knownAtMs[chunk]! + (turns[chunk]! * waitMs);
