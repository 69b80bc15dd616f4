import {rendezvousWeight} from '../utils/rendezvous.js';
import type {SwarmPeer} from './types.js';

export type ChooseNeighboursOptions = {
	readonly self: SwarmPeer;
	readonly manifestId: string;
	readonly peers: readonly SwarmPeer[];
	/** Number of neighbours; must be even, since each ring contributes two. */
	readonly count: number;
};

/** Of eight rings, one spans all regions and two span the zones of the host's region. */
const crossRegionRingShare = 1 / 8;
const crossZoneRingShare = 2 / 8;

/**
 * Chooses the neighbours with which to exchange chunks. Each of several rings
 * orders all hosts by a different hash; a host's neighbours are its predecessor
 * and successor. So every host has the same number of neighbours (one with fewer
 * would finish last), both sides choose each other without communication, and the
 * loss of a host affects only its neighbours. Most rings are within a zone, where
 * links are cheapest; the others keep the graph connected if a zone is lost.
 */
export const chooseNeighbours = ({self, manifestId, peers, count}: ChooseNeighboursOptions): string[] => {
	const chosen = new Set<string>();
	const rings = Math.max(1, Math.floor(count / 2));
	const crossRegionRings = Math.max(1, Math.round(rings * crossRegionRingShare));
	const crossZoneRings = Math.max(1, Math.round(rings * crossZoneRingShare));
	const regionPeers = peers.filter(peer => peer.regionId === self.regionId);
	const zonePeers = regionPeers.filter(peer => peer.zoneId === self.zoneId);
	const addRings = (members: readonly SwarmPeer[], first: number, ringCount: number): void => {
		for (let ring = first; ring < first + ringCount; ring++) {
			for (const hostId of adjacentOnRing(`${manifestId}/ring/${ring}`, self.hostId, members)) {
				chosen.add(hostId);
			}
		}
	};

	addRings(peers, 0, crossRegionRings);
	addRings(regionPeers, crossRegionRings, crossZoneRings);
	addRings(zonePeers, crossRegionRings + crossZoneRings, rings - crossRegionRings - crossZoneRings);
	// Small zones yield too few neighbours; further rings over all hosts add the missing ones.
	for (let ring = rings; chosen.size < Math.min(count - 1, peers.length) && ring < 3 * rings; ring++) {
		addRings(peers, ring, 1);
	}

	return [...chosen];
};

type RingPosition = {readonly hostId: string; readonly weight: number};

const isBefore = (a: RingPosition, b: RingPosition): boolean => a.weight < b.weight || (a.weight === b.weight && a.hostId < b.hostId);

/** The predecessor and successor of `selfId` on the ring; the same host if there is only one other member. */
const adjacentOnRing = (key: string, selfId: string, members: readonly SwarmPeer[]): string[] => {
	const self: RingPosition = {hostId: selfId, weight: rendezvousWeight(key, selfId)};
	let before: RingPosition | null = null;
	let after: RingPosition | null = null;
	let first: RingPosition | null = null;
	let last: RingPosition | null = null;
	for (const {hostId} of members) {
		const position: RingPosition = {hostId, weight: rendezvousWeight(key, hostId)};
		first = first === null || isBefore(position, first) ? position : first;
		last = last === null || isBefore(last, position) ? position : last;
		if (isBefore(position, self)) {
			before = before === null || isBefore(before, position) ? position : before;
		} else {
			after = after === null || isBefore(position, after) ? position : after;
		}
	}

	return [before ?? last, after ?? first].flatMap(position => position === null ? [] : [position.hostId]);
};
