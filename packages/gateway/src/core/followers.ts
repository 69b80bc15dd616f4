import {createHash} from 'node:crypto';
import type {Follower, Roster} from '../link/methods.js';

type SeenFollower = {readonly follower: Follower; seenAtMs: number};

/** Processes that poll this core host for updates, by address. */
export type Followers = {
	record(follower: Follower, nowMs: number): void;
	/** Roster of the processes that are relevant to `follower`; up to `rosterCacheMs` old. */
	roster(follower: Follower, coreAddresses: readonly string[], nowMs: number): Roster;
	/** Whether a follower has joined or left since a roster that is still cached was built. */
	isStale(): boolean;
};

/** Longer than a follower's long poll plus the start of the next one; a follower that has not polled for this long is down or disconnected. */
const followerTimeoutMs: Record<Follower['role'], number> = {core: 2500, entry: 2500, agent: 5500};
/**
 * Minimum time for which a roster is cached, even if followers join or leave. When two
 * hundred processes start within half a second, each of them would otherwise be
 * announced individually.
 */
export const rosterCacheMs = 400;
/** Minimum interval between removals of followers that have timed out. */
const sweepIntervalMs = 250;

const isSame = (a: Follower, b: Follower): boolean => a.role === b.role && a.zoneId === b.zoneId && a.regionId === b.regionId
	&& a.endpointAddress === b.endpointAddress && a.serviceName === b.serviceName;

/**
 * Entries are relevant to all followers except core hosts, because they receive and
 * relay load reports; agents are relevant to agents of the same service, which exchange
 * its weights. Other entries in a roster would add cost with each host of a fleet and
 * no reader would use them.
 */
const isRelevantTo = (reader: Follower, other: Follower): boolean => {
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

type CachedRoster = {readonly revision: number; readonly coreText: string; readonly builtAtMs: number; readonly roster: Roster};

/**
 * Rosters are cached until a follower joins or leaves. Building one for every poll of
 * every follower would take most of a core host's CPU time.
 */
export const createFollowers = (): Followers => {
	const seen = new Map<string, SeenFollower>();
	const rosterCache = new Map<string, CachedRoster>();
	let revision = 0;
	let lastSweepAtMs = Number.NEGATIVE_INFINITY;

	const sweep = (nowMs: number): void => {
		if (nowMs - lastSweepAtMs < sweepIntervalMs) {
			return;
		}

		lastSweepAtMs = nowMs;
		for (const [address, {follower, seenAtMs}] of seen) {
			if (nowMs - seenAtMs > followerTimeoutMs[follower.role]) {
				seen.delete(address);
				revision++;
			}
		}
	};

	const buildRoster = (reader: Follower, coreAddresses: readonly string[]): Roster => {
		const all = [...seen.values()].map(({follower}) => follower);
		const followers = all.filter(other => isRelevantTo(reader, other)).toSorted((a, b) => a.address < b.address ? -1 : 1);
		const entryCount = all.filter(({role}) => role === 'entry').length;
		const hash = createHash('sha1').update(JSON.stringify([coreAddresses, entryCount, followers])).digest('hex').slice(0, 12);
		return {
			hash, coreAddresses: [...coreAddresses], entryCount, followers,
		};
	};

	return {
		record(follower, nowMs) {
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
			const cacheKey = reader.role === 'agent' ? `agent ${reader.serviceName}` : reader.role;
			const cached = rosterCache.get(cacheKey);
			if (cached !== undefined && (nowMs - cached.builtAtMs < rosterCacheMs || (cached.revision === revision && cached.coreText === coreText))) {
				return cached.roster;
			}

			const roster = buildRoster(reader, core);
			rosterCache.set(cacheKey, {
				revision, coreText, builtAtMs: nowMs, roster,
			});
			return roster;
		},
		isStale: () => [...rosterCache.values()].some(roster => roster.revision !== revision),
	};
};
