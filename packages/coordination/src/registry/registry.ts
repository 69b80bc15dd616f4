import type {AgedAnnouncement, Announcement} from './types.js';

export type RegistryEntry = {
	announcement: Announcement;
	receivedAtMs: number;
	/** Sequence of the latest announcement of this start as `ready`; -1 if there is none. */
	readySequence: number;
	/** Position of the last change, for readers that follow the registry. */
	position: number;
	positionedAtMs: number;
};

/** The endpoints that have announced themselves; soft state that is rebuilt from their announcements. */
export type Registry = {
	readonly entries: Map<string, RegistryEntry>;
	position: number;
	/** Position of the last change that readers should receive at once. */
	urgentPosition: number;
};

/** How long endpoints that have left or are silent are kept, so that a late announcement is distinguished from a new start. */
const retentionMs = 60_000;

/** The sender of an announcement: the endpoint itself, or another host that received it from the endpoint. */
export type AnnouncementSource = 'endpoint' | 'host';

/**
 * How often readers are informed that an endpoint still announces itself. Sending all
 * announcements to all readers would be most of the traffic between regions.
 * Announcements from another host are refreshed less often, because that host sends
 * them to the same readers.
 */
const refreshIntervalMs: Record<AnnouncementSource, number> = {endpoint: 2000, host: 4000};

export const createRegistry = (): Registry => ({entries: new Map(), position: 0, urgentPosition: 0});

const hasChanged = (known: Announcement, received: Announcement): boolean => known.state !== received.state
	|| known.address !== received.address
	|| known.models.length !== received.models.length
	|| known.models.some((knownModel, index) => knownModel.model !== received.models[index]!.model || knownModel.version !== received.models[index]!.version);

/** Differences of the delays of announcements; a shorter extension of the cold period is attributed to them. */
const delayToleranceMs = 100;

/** When the cold period that an announcement states ends; in the past if the endpoint is warm. */
const coldUntilMs = ({coldForMs = 0}: Announcement, madeAtMs: number): number => madeAtMs + coldForMs;

/** Whether an endpoint has become cold again, or stays cold for longer than known. */
const isColdLonger = ({announcement: known, receivedAtMs}: RegistryEntry, received: Announcement, madeAtMs: number): boolean => (received.coldForMs ?? 0) > 0
	&& coldUntilMs(received, madeAtMs) > coldUntilMs(known, receivedAtMs) + delayToleranceMs;

/** Whether `received` is from a later start than `known`. */
export const isLaterStart = (known: Announcement, received: Announcement): boolean => received.startedAtMs > known.startedAtMs;

/**
 * Records an announcement; returns `false` if a later one is known. A delayed
 * announcement must not restore an endpoint that has since left or started to drain.
 * The sequence starts again with each start of an endpoint: a later start replaces
 * everything that the previous one announced, including that it has left, and
 * announcements of the previous one are ignored from then on, whichever host sends
 * them. By the sequence alone, a restarted endpoint would get no work until its
 * sequence exceeded the old one, and never if the old start had left.
 */
export const recordAnnouncement = (registry: Registry, received: AgedAnnouncement, nowMs: number, source: AnnouncementSource = 'endpoint'): boolean => {
	const {ageMs, ...announcement} = received;
	const known = registry.entries.get(received.id);
	if (known === undefined || isLaterStart(known.announcement, announcement)) {
		registry.position++;
		registry.entries.set(received.id, {
			announcement, receivedAtMs: nowMs - ageMs, readySequence: announcement.state === 'ready' ? announcement.sequence : -1, position: registry.position, positionedAtMs: nowMs,
		});
		registry.urgentPosition = registry.position;
		return true;
	}

	if (isLaterStart(announcement, known.announcement)) {
		return false;
	}

	if (received.state === 'gone') {
		// The retention period counts from the departure.
		known.receivedAtMs = Math.max(known.receivedAtMs, nowMs - ageMs);
		return markGone(registry, known);
	}

	if (known.announcement.state === 'gone') {
		return false;
	}

	if (received.sequence <= known.announcement.sequence) {
		return false;
	}

	const isChanged = hasChanged(known.announcement, announcement) || isColdLonger(known, announcement, nowMs - ageMs);
	if (isChanged || nowMs - known.positionedAtMs >= refreshIntervalMs[source]) {
		registry.position++;
		known.position = registry.position;
		known.positionedAtMs = nowMs;
	}

	if (isChanged) {
		registry.urgentPosition = registry.position;
	}

	known.announcement = announcement;
	known.readySequence = announcement.state === 'ready' ? announcement.sequence : known.readySequence;
	known.receivedAtMs = Math.max(known.receivedAtMs, nowMs - ageMs);
	return true;
};

/** Returns `false` if the endpoint had already left. */
const markGone = (registry: Registry, entry: RegistryEntry): boolean => {
	if (entry.announcement.state === 'gone') {
		return false;
	}

	registry.position++;
	entry.announcement = {...entry.announcement, state: 'gone'};
	entry.position = registry.position;
	entry.positionedAtMs = Number.POSITIVE_INFINITY;
	registry.urgentPosition = registry.position;
	return true;
};

/** Records that an endpoint has left; returns `false` if it is not known or a different start of it is. `startedAtMs` identifies the start that left; `null` if unknown. */
export const withdraw = (registry: Registry, id: string, startedAtMs: number | null = null): boolean => {
	const entry = registry.entries.get(id);
	if (entry === undefined || (startedAtMs !== null && startedAtMs !== entry.announcement.startedAtMs)) {
		return false;
	}

	markGone(registry, entry);
	return true;
};

/** Returns everything that changed after `position`. */
export const announcementsSince = ({entries}: Registry, position: number, nowMs: number): AgedAnnouncement[] => {
	const changed: AgedAnnouncement[] = [];
	for (const entry of entries.values()) {
		if (entry.position > position) {
			changed.push({...entry.announcement, ageMs: Math.max(0, nowMs - entry.receivedAtMs)});
		}
	}

	return changed;
};

/** Removes endpoints that have been silent for the retention period. */
export const pruneRegistry = ({entries}: Registry, nowMs: number): void => {
	for (const [id, {receivedAtMs}] of entries) {
		if (nowMs - receivedAtMs > retentionMs) {
			entries.delete(id);
		}
	}
};
