import {rendezvousWeight} from '../utils/rendezvous.js';
import type {HostState} from './host-state.js';
import type {RouterState, Tier} from './types.js';

/**
 * Whether this entry is among the `entriesPerEndpoint` entries assigned to the host
 * by rendezvous hashing. Because entries are selected per host and not hosts per
 * entry, every host has equally many, and an entry that leaves affects only its own hosts.
 */
export const isInSubset = ({options}: RouterState, {entriesAhead}: HostState): boolean => entriesAhead < options.entriesPerEndpoint;

export const countEntriesAhead = ({otherEntries}: RouterState, hostId: string, weight: number): number => {
	let ahead = 0;
	for (const entryId of otherEntries) {
		ahead += rendezvousWeight(entryId, hostId) > weight ? 1 : 0;
	}

	return ahead;
};

/**
 * An entry also keeps a minimum number of hosts per tier; otherwise most entries
 * would have no host of a group of ten. Returns the host that was displaced, if any.
 */
export const offerToMinimum = ({options: {minimumPerTier}}: RouterState, {minimum}: Tier, host: HostState): HostState | null => {
	const worst = minimum.at(-1);
	if (minimum.length >= minimumPerTier && (worst === undefined || worst.weight >= host.weight)) {
		return null;
	}

	const position = minimum.findIndex(other => other.weight < host.weight);
	minimum.splice(position === -1 ? minimum.length : position, 0, host);
	return minimum.length > minimumPerTier ? minimum.pop()! : null;
};

/** Removes a host; returns its replacement, if any. */
export const removeFromMinimum = ({minimum, members}: Tier, host: HostState): HostState | null => {
	const position = minimum.indexOf(host);
	if (position === -1) {
		return null;
	}

	minimum.splice(position, 1);
	let best: HostState | null = null;
	for (const member of members) {
		const isBetter = best === null || member.weight > best.weight;
		if (isBetter && !minimum.includes(member)) {
			best = member;
		}
	}

	if (best !== null) {
		minimum.push(best);
	}

	return best;
};
