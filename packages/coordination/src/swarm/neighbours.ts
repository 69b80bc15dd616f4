import {rendezvousWeight} from '../utils/rendezvous.js';
import type {SwarmPeer} from './types.js';

export type ChooseNeighboursOptions = {
	readonly self: SwarmPeer;
	readonly manifestId: string;
	readonly peers: readonly SwarmPeer[];
	/** Even; two neighbours come from each ring. */
	readonly count: number;
};

/** Of eight rings one goes over all regions and two over the zones of the region. */
const acrossRegionsShare = 1 / 8;
const acrossZonesShare = 2 / 8;

/**
 * Chooses whom to exchange chunks with. In each of several rings all hosts
 * stand in an order of their own, by hash; a host's neighbours are the one
 * before and the one after it. So every host has the same number of
 * neighbours (one with fewer would finish last), both ends choose each other
 * without a word, and a loss moves only those who stood beside the lost one.
 * Most rings lie within a zone, where links are the cheapest; the others keep
 * the graph whole when a zone is lost.
 */
export const chooseNeighbours = ({self, manifestId, peers, count}: ChooseNeighboursOptions): string[] => {
	const chosen = new Set<string>();
	const rings = Math.max(1, Math.floor(count / 2));
	const acrossRegions = Math.max(1, Math.round(rings * acrossRegionsShare));
	const acrossZones = Math.max(1, Math.round(rings * acrossZonesShare));
	const regionPeers = peers.filter(peer => peer.regionId === self.regionId);
	const zonePeers = regionPeers.filter(peer => peer.zoneId === self.zoneId);
	const addRings = (members: readonly SwarmPeer[], first: number, ringCount: number): void => {
		for (let ring = first; ring < first + ringCount; ring++) {
			for (const hostId of besideOnRing(`${manifestId}/ring/${ring}`, self.hostId, members)) {
				chosen.add(hostId);
			}
		}
	};

	addRings(peers, 0, acrossRegions);
	addRings(regionPeers, acrossRegions, acrossZones);
	addRings(zonePeers, acrossRegions + acrossZones, rings - acrossRegions - acrossZones);
	// Small zones leave places free; further rings over all fill them.
	for (let ring = rings; chosen.size < Math.min(count - 1, peers.length) && ring < 3 * rings; ring++) {
		addRings(peers, ring, 1);
	}

	return [...chosen];
};

type Place = {readonly hostId: string; readonly weight: number};

const isBefore = (a: Place, b: Place): boolean => a.weight < b.weight || (a.weight === b.weight && a.hostId < b.hostId);

/** The members before and after `selfId` on the ring; one member alone is both. */
const besideOnRing = (key: string, selfId: string, members: readonly SwarmPeer[]): string[] => {
	const self: Place = {hostId: selfId, weight: rendezvousWeight(key, selfId)};
	let before: Place | null = null;
	let after: Place | null = null;
	let first: Place | null = null;
	let last: Place | null = null;
	for (const {hostId} of members) {
		const place: Place = {hostId, weight: rendezvousWeight(key, hostId)};
		first = first === null || isBefore(place, first) ? place : first;
		last = last === null || isBefore(last, place) ? place : last;
		if (isBefore(place, self)) {
			before = before === null || isBefore(before, place) ? place : before;
		} else {
			after = after === null || isBefore(place, after) ? place : after;
		}
	}

	return [before ?? last, after ?? first].flatMap(place => place === null ? [] : [place.hostId]);
};
