import {
	createEndpointHealth, createEndpointLoad, createRegistry, hasFreshReport, hearAnnounced, isLaterStart, notePath, pruneRegistry, withdraw,
	type AgedAnnouncement, type Announcement, type Candidate,
} from '@bitternpaddle/coordination';
import type {LoadReport} from '../load/load-report.js';

/** The endpoints of all services, as this entry sees them. */
export type EndpointView = {
	hear(announcements: readonly AgedAnnouncement[], nowMs: number): void;
	/** An agent told of the engine at an address. */
	hearReport(heard: LoadReport, nowMs: number): void;
	/** How much longer than at its best the way from the endpoint's host takes. */
	pathDelayMs(address: string): number;
	/** An endpoint answered that another one runs at its address, not the start that is known here. */
	end(id: string): void;
	/** Those that may be sent something. */
	candidates(serviceName: string, nowMs: number): Candidate[];
	prune(nowMs: number): void;
};

/**
 * An endpoint that has announced nothing for this long is used no more, unless
 * its own host still reports on it: it may be cut off from the core alone.
 * Announcements come about every second, and the core tells of them every two to five.
 */
const silentMs = 7000;

type Seen = Candidate & {announcement: Announcement; readonly firstHeardAtMs: number; heardAtMs: number; isUnreachable: boolean};

/** Endpoints by what they are looked up by; a fleet's reports and requests look hundreds of times a second. */
type Lookup = {readonly byAddress: ReadonlyMap<string, readonly Seen[]>; readonly byService: ReadonlyMap<string, readonly Seen[]>};

const groupBy = (endpoints: Iterable<Seen>, keyOf: (announcement: Announcement) => string): Map<string, Seen[]> => {
	const groups = new Map<string, Seen[]>();
	for (const endpoint of endpoints) {
		const key = keyOf(endpoint.announcement);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [endpoint]);
		} else {
			group.push(endpoint);
		}
	}

	return groups;
};

const noEndpoints: readonly Seen[] = [];

/** An endpoint that still announces itself is heard of more often than this, also by way of the core. */
const replacedMs = 5000;

/**
 * Whether `other` runs at the address that both name. The later start does, unless
 * it has fallen silent while the other goes on: then it was the late announcement
 * of a start that had ended, unknown here until then.
 */
const replaces = (other: Seen, {firstHeardAtMs, heardAtMs}: Seen): boolean => other.firstHeardAtMs > firstHeardAtMs
	? heardAtMs - other.heardAtMs < replacedMs
	: other.heardAtMs - heardAtMs >= replacedMs;

export type EndpointViewOptions = {
	/** Another start of an endpoint, or another endpoint, took over an address. */
	onRestart(address: string): void;
};

export const createEndpointView = ({onRestart}: EndpointViewOptions): EndpointView => {
	const registry = createRegistry();
	const seen = new Map<string, Seen>();
	/** `null` once an endpoint has come, gone or moved. */
	let lookup: Lookup | null = null;

	const current = (): Lookup => {
		lookup ??= {byAddress: groupBy(seen.values(), ({address}) => address), byService: groupBy(seen.values(), ({serviceName}) => serviceName)};
		return lookup;
	};

	const remove = (id: string): void => {
		if (seen.delete(id)) {
			lookup = null;
		}
	};

	const refresh = (id: string): void => {
		const entry = registry.entries.get(id);
		if (entry === undefined) {
			return;
		}

		const {announcement, heardAtMs} = entry;
		const known = seen.get(id);
		if (announcement.state === 'gone') {
			if (known !== undefined) {
				// Calls that are under way there must see that it leaves.
				known.announcement = announcement;
			}

			remove(id);
			return;
		}

		// A later start of the endpoint has nothing of what was known of the one before: neither its load nor its failures.
		if (known === undefined || isLaterStart(known.announcement, announcement)) {
			const isRestart = (current().byAddress.get(announcement.address) ?? noEndpoints).length > 0;
			seen.set(id, {
				announcement, load: createEndpointLoad(), health: createEndpointHealth(), firstHeardAtMs: heardAtMs, heardAtMs, isUnreachable: false,
			});
			lookup = null;
			if (isRestart) {
				onRestart(announcement.address);
			}

			return;
		}

		if (known.announcement.address !== announcement.address || known.announcement.serviceName !== announcement.serviceName) {
			lookup = null;
		}

		known.announcement = announcement;
		known.heardAtMs = heardAtMs;
	};

	const isReplaced = (endpoint: Seen): boolean => {
		const atAddress = current().byAddress.get(endpoint.announcement.address) ?? noEndpoints;
		return atAddress.length > 1 && atAddress.some(other => other !== endpoint && replaces(other, endpoint));
	};

	const isUsable = (endpoint: Seen, nowMs: number): boolean => {
		const {load, heardAtMs, isUnreachable} = endpoint;
		return !isUnreachable && (nowMs - heardAtMs < silentMs || hasFreshReport(load, nowMs)) && !isReplaced(endpoint);
	};

	return {
		hear(announcements, nowMs) {
			for (const announcement of announcements) {
				if (hearAnnounced(registry, announcement, nowMs)) {
					refresh(announcement.id);
				}
			}
		},
		hearReport({endpointAddress, report, way}, nowMs) {
			for (const endpoint of current().byAddress.get(endpointAddress) ?? noEndpoints) {
				const {load} = endpoint;
				if (way.type === 'direct') {
					notePath(load.path, way.sentAtMs, nowMs);
				} else {
					load.path.delayMs = way.delayMs;
				}

				endpoint.isUnreachable = report === null;
				load.report = report ?? load.report;
				load.reportedAtMs = report === null ? Number.NEGATIVE_INFINITY : nowMs - (way.type === 'direct' ? 0 : way.ageMs);
			}
		},
		pathDelayMs: address => current().byAddress.get(address)?.[0]?.load.path.delayMs ?? 0,
		end(id) {
			withdraw(registry, id);
			remove(id);
		},
		candidates: (serviceName, nowMs) => (current().byService.get(serviceName) ?? noEndpoints).filter(endpoint => isUsable(endpoint, nowMs)),
		prune(nowMs) {
			pruneRegistry(registry, nowMs);
			for (const id of seen.keys()) {
				if (!registry.entries.has(id)) {
					remove(id);
				}
			}
		},
	};
};
