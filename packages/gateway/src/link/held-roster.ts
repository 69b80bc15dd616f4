import type {Roster} from './methods.js';

/** What a core host sent, and whether it has had the time to learn of all its followers. */
export type ReceivedRoster = {
	readonly address: string;
	/** `null` if it has not changed. */
	readonly roster: Roster | null;
	readonly isWarmedUp: boolean;
};

/** The roster in force at a process that follows several core hosts. */
export type HeldRoster = {
	/** Returns the roster that is in force from now on, or `null` if it has not changed. */
	receive(received: ReceivedRoster): Roster | null;
};

const withFollowersOf = (roster: Roster, held: Roster): Roster => {
	const listed = new Set(roster.followers.map(({address}) => address));
	const followers = [...roster.followers, ...held.followers.filter(({address}) => !listed.has(address))];
	return {...roster, followers, entryCount: Math.max(roster.entryCount, followers.filter(({role}) => role === 'entry').length)};
};

/**
 * Keeps the followers that a core host does not list only because it has just started
 * or been reached again. Processes that forgot each other for that time would each take
 * the whole of what they share.
 */
export const createHeldRoster = (): HeldRoster => {
	let held: Roster | null = null;
	/** The last roster of a core host that was not warmed up. */
	let incomplete: {readonly address: string; readonly roster: Roster} | null = null;

	const hold = (roster: Roster): Roster => {
		held = roster;
		return roster;
	};

	return {
		receive({address, roster, isWarmedUp}) {
			const latest = roster ?? (incomplete?.address === address ? incomplete.roster : null);
			if (latest === null) {
				return null;
			}

			if (isWarmedUp) {
				incomplete = null;
				return hold(latest);
			}

			if (roster === null) {
				return null;
			}

			incomplete = {address, roster};
			return hold(held === null ? roster : withFollowersOf(roster, held));
		},
	};
};
