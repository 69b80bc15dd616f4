import type {AgedAnnouncement, Announcement, EndpointState} from './types.js';

export type RegistryEntry = {
	announcement: Announcement;
	heardAtMs: number;
	/** Position of the last change, for readers that follow the registry. */
	position: number;
	positionedAtMs: number;
};

/** The endpoints that have announced themselves; soft state, rebuilt from their announcements. */
export type Registry = {
	readonly entries: Map<string, RegistryEntry>;
	position: number;
	/** Position of the last change that readers should hear of at once. */
	urgentPosition: number;
};

/** How long ended and silent endpoints are kept, so that a late announcement is told from a new start. */
const keepMs = 60_000;

/** Who told of an announcement: the endpoint itself, or another host that it told. */
export type AnnouncementSource = 'endpoint' | 'host';

/**
 * How often readers are told that an endpoint still announces itself. All
 * announcements to all readers would be most of what is sent between regions;
 * what an endpoint told another host, that host tells the same readers.
 */
const refreshMs: Record<AnnouncementSource, number> = {endpoint: 2000, host: 4000};

const rank: Record<EndpointState, number> = {ready: 0, draining: 1, gone: 2};

export const createRegistry = (): Registry => ({entries: new Map(), position: 0, urgentPosition: 0});

const isNews = (known: Announcement, heard: Announcement): boolean => known.state !== heard.state
	|| known.address !== heard.address
	|| known.models.length !== heard.models.length
	|| known.models.some((held, index) => held.model !== heard.models[index]!.model || held.version !== heard.models[index]!.version);

/** Whether `heard` is of a later start than `known`. */
export const isLaterStart = (known: Announcement, heard: Announcement): boolean => heard.startedAtMs > known.startedAtMs;

/**
 * Takes an announcement; `false` if a later one is known. One that was delayed
 * must not bring back an endpoint that has since left or begun to drain. An
 * endpoint that starts again under its id counts from anew: its later start
 * replaces all that the one before said, also that it is gone, and what the one
 * before said is never heard again, by whichever host it comes. By the sequence
 * alone the restarted endpoint would get no work until its count had passed the
 * old one, and never if the old start had left.
 */
export const hearAnnounced = (registry: Registry, heard: AgedAnnouncement, nowMs: number, source: AnnouncementSource = 'endpoint'): boolean => {
	const {ageMs, ...announcement} = heard;
	const known = registry.entries.get(heard.id);
	if (known === undefined || isLaterStart(known.announcement, announcement)) {
		registry.position++;
		registry.entries.set(heard.id, {
			announcement, heardAtMs: nowMs - ageMs, position: registry.position, positionedAtMs: nowMs,
		});
		registry.urgentPosition = registry.position;
		return true;
	}

	if (isLaterStart(announcement, known.announcement)) {
		return false;
	}

	const isEnd = rank[heard.state] === 2 && known.announcement.state !== 'gone';
	if (known.announcement.state === 'gone' || (heard.sequence <= known.announcement.sequence && !isEnd)) {
		return false;
	}

	const isNew = isNews(known.announcement, announcement);
	if (isNew || nowMs - known.positionedAtMs >= refreshMs[source]) {
		registry.position++;
		known.position = registry.position;
		known.positionedAtMs = nowMs;
	}

	if (isNew) {
		registry.urgentPosition = registry.position;
	}

	known.announcement = {...announcement, sequence: Math.max(announcement.sequence, known.announcement.sequence)};
	known.heardAtMs = Math.max(known.heardAtMs, nowMs - ageMs);
	return true;
};

const endEntry = (registry: Registry, entry: RegistryEntry): void => {
	registry.position++;
	entry.announcement = {...entry.announcement, state: 'gone'};
	entry.position = registry.position;
	entry.positionedAtMs = Number.POSITIVE_INFINITY;
	registry.urgentPosition = registry.position;
};

/** The endpoint has left; `false` if it is not known, or another start of it is. `startedAtMs`: the start that left; `null` if that was not told. */
export const withdraw = (registry: Registry, id: string, startedAtMs: number | null = null): boolean => {
	const entry = registry.entries.get(id);
	if (entry === undefined || (startedAtMs !== null && startedAtMs !== entry.announcement.startedAtMs)) {
		return false;
	}

	if (entry.announcement.state !== 'gone') {
		endEntry(registry, entry);
	}

	return true;
};

/** Everything that changed behind `position`. */
export const announcedSince = ({entries}: Registry, position: number, nowMs: number): AgedAnnouncement[] => {
	const changed: AgedAnnouncement[] = [];
	for (const entry of entries.values()) {
		if (entry.position > position) {
			changed.push({...entry.announcement, ageMs: Math.max(0, nowMs - entry.heardAtMs)});
		}
	}

	return changed;
};

/** Forgets what has been silent for long. */
export const pruneRegistry = ({entries}: Registry, nowMs: number): void => {
	for (const [id, {heardAtMs}] of entries) {
		if (nowMs - heardAtMs > keepMs) {
			entries.delete(id);
		}
	}
};
