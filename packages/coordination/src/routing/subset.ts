import {rendezvousWeight} from '../utils/rendezvous.js';
import type {HostState} from './host-state.js';
import type {RouterState, Tier} from './types.js';

/**
 * Whether this entry is among the `entriesPerEndpoint` that the host draws by
 * rendezvous hash. Because the host draws its entries and not the other way
 * round, every host has as many; and an entry that goes moves only what it held.
 */
export const isDrawnBy = ({options}: RouterState, {entriesAhead}: HostState): boolean => entriesAhead < options.entriesPerEndpoint;

export const countEntriesAhead = ({otherEntries}: RouterState, hostId: string, weight: number): number => {
	let ahead = 0;
	for (const entryId of otherEntries) {
		ahead += rendezvousWeight(entryId, hostId) > weight ? 1 : 0;
	}

	return ahead;
};

/**
 * An entry also keeps some hosts of each distance for itself: a group of ten
 * hosts would otherwise be unknown to most entries. Returns the host that fell
 * out, if any.
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

/** Takes a host out; returns the one that comes in for it, if any. */
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
