import {match} from 'ts-pattern';
import type {Departure} from './document.js';

/** Bounds the snapshot; endpoints that leave within a retention period are far fewer. The oldest departure is forgotten first. */
export const maxDepartures = 4096;

/** Whether `known` says all that `departure` does. A later start supersedes an earlier one; within a start, `gone` is final. */
export const includesDeparture = (known: Departure, departure: Departure): boolean => {
	if (known.startedAtMs !== departure.startedAtMs) {
		return known.startedAtMs > departure.startedAtMs;
	}

	return known.state === 'gone' || (departure.state === 'draining' && known.sequence >= departure.sequence);
};

export const isSameDeparture = (a: Departure, b: Departure): boolean => a.id === b.id && a.startedAtMs === b.startedAtMs && match([a, b])
	.with([{state: 'gone'}, {state: 'gone'}], () => true)
	.with([{state: 'draining'}, {state: 'draining'}], ([first, second]) => first.sequence === second.sequence)
	.otherwise(() => false);

export type DeparturesChange = {readonly added: readonly Departure[]; readonly removed: readonly Departure[]};

/** Returns the departures after a change, at most one of each id and the oldest first; `departures` itself if the change adds or removes none. */
export const changeDepartures = (departures: readonly Departure[], {added, removed}: DeparturesChange): readonly Departure[] => {
	const byId = new Map(departures.map(departure => [departure.id, departure]));
	let isChanged = false;
	for (const departure of removed) {
		const known = byId.get(departure.id);
		if (known !== undefined && isSameDeparture(known, departure)) {
			byId.delete(departure.id);
			isChanged = true;
		}
	}

	for (const departure of added) {
		const known = byId.get(departure.id);
		if (known === undefined || !includesDeparture(known, departure)) {
			byId.delete(departure.id);
			byId.set(departure.id, departure);
			isChanged = true;
		}
	}

	return isChanged ? [...byId.values()].slice(-maxDepartures) : departures;
};
