import {createHash} from 'node:crypto';
import type {Follower, Roster} from '../link/methods.js';

type Seen = {readonly follower: Follower; seenAtMs: number};

/** Processes that ask this core host for news, by address. */
export type Followers = {
	note(follower: Follower, nowMs: number): void;
	/** What `follower` has to know of the others; up to `rosterAgeMs` old. */
	roster(follower: Follower, coreAddresses: readonly string[], nowMs: number): Roster;
	/** Whether someone has come or gone since a roster was made that is still given out. */
	isStale(): boolean;
};

/** Longer than a follower's question stays open and its next one takes; one that has not asked for this long is gone or cut off. */
const followerLossMs: Record<Follower['role'], number> = {core: 2500, entry: 2500, agent: 5500};
/**
 * A roster is kept for so long, whoever comes or goes. While two hundred processes
 * start within half a second, each that comes would otherwise be told of by itself.
 */
export const rosterAgeMs = 400;
/** How often those that are gone are looked for. */
const sweepMs = 250;

const isSame = (a: Follower, b: Follower): boolean => a.role === b.role && a.zoneId === b.zoneId && a.regionId === b.regionId
	&& a.endpointAddress === b.endpointAddress && a.serviceName === b.serviceName;

/**
 * Entries concern all but core hosts, for the reports that they are sent and pass on;
 * agents concern those of the same service, for its weights. All else would cost
 * a fleet more with each host than any of them uses.
 */
const concerns = (reader: Follower, other: Follower): boolean => {
	switch (reader.role) {
		case 'core': {
			return false;
		}

		case 'entry': {
			return other.role === 'entry';
		}

		case 'agent': {
			return other.role === 'entry' || (other.role === 'agent' && other.serviceName === reader.serviceName);
		}
	}
};

type Kept = {readonly revision: number; readonly coreText: string; readonly madeAtMs: number; readonly roster: Roster};

/**
 * Rosters are kept until someone comes or goes. Made anew for each question of
 * each follower, they would take most of a core host's processor time.
 */
export const createFollowers = (): Followers => {
	const seen = new Map<string, Seen>();
	const kept = new Map<string, Kept>();
	let revision = 0;
	let sweptAtMs = Number.NEGATIVE_INFINITY;

	const sweep = (nowMs: number): void => {
		if (nowMs - sweptAtMs < sweepMs) {
			return;
		}

		sweptAtMs = nowMs;
		for (const [address, {follower, seenAtMs}] of seen) {
			if (nowMs - seenAtMs > followerLossMs[follower.role]) {
				seen.delete(address);
				revision++;
			}
		}
	};

	const make = (reader: Follower, coreAddresses: readonly string[]): Roster => {
		const all = [...seen.values()].map(({follower}) => follower);
		const followers = all.filter(other => concerns(reader, other)).toSorted((a, b) => a.address < b.address ? -1 : 1);
		const entryCount = all.filter(({role}) => role === 'entry').length;
		const hash = createHash('sha1').update(JSON.stringify([coreAddresses, entryCount, followers])).digest('hex').slice(0, 12);
		return {
			hash, coreAddresses: [...coreAddresses], entryCount, followers,
		};
	};

	return {
		note(follower, nowMs) {
			const known = seen.get(follower.address);
			if (known !== undefined && isSame(known.follower, follower)) {
				known.seenAtMs = nowMs;
				return;
			}

			seen.set(follower.address, {follower, seenAtMs: nowMs});
			revision++;
		},
		roster(reader, coreAddresses, nowMs) {
			sweep(nowMs);
			const core = coreAddresses.toSorted();
			const coreText = core.join(',');
			const name = reader.role === 'agent' ? `agent ${reader.serviceName}` : reader.role;
			const before = kept.get(name);
			if (before !== undefined && (nowMs - before.madeAtMs < rosterAgeMs || (before.revision === revision && before.coreText === coreText))) {
				return before.roster;
			}

			const roster = make(reader, core);
			kept.set(name, {
				revision, coreText, madeAtMs: nowMs, roster,
			});
			return roster;
		},
		isStale: () => [...kept.values()].some(roster => roster.revision !== revision),
	};
};
