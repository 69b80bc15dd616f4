import {
	createEndpointHealth, createEndpointLoad, createRegistry, hasFreshReport, hearAnnounced, isLaterStart, notePath, pruneRegistry, withdraw,
	type AgedAnnouncement, type Candidate, type EngineReport,
} from '@bitternpaddle/coordination';

/** The endpoints of all services, as this entry sees them. */
export type EndpointView = {
	hear(announcements: readonly AgedAnnouncement[], nowMs: number): void;
	/** An agent told of the engine at `address`; `null`: it cannot be reached there. */
	hearReport(address: string, heard: {readonly report: EngineReport | null; readonly sentAtMs: number}, nowMs: number): void;
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

type Seen = Candidate & {heardAtMs: number; isUnreachable: boolean};

export const createEndpointView = (): EndpointView => {
	const registry = createRegistry();
	const seen = new Map<string, Seen>();

	const refresh = (id: string): void => {
		const entry = registry.entries.get(id);
		if (entry === undefined) {
			return;
		}

		if (entry.announcement.state === 'gone') {
			seen.delete(id);
			return;
		}

		const before = seen.get(id);
		// A later start of the endpoint has nothing of what was known of the one before: neither its load nor its failures.
		const known = before !== undefined && isLaterStart(before.announcement, entry.announcement) ? undefined : before;

		seen.set(id, {
			announcement: entry.announcement, load: known?.load ?? createEndpointLoad(), health: known?.health ?? createEndpointHealth(),
			heardAtMs: entry.heardAtMs, isUnreachable: known?.isUnreachable ?? false,
		});
	};

	return {
		hear(announcements, nowMs) {
			for (const announcement of announcements) {
				if (hearAnnounced(registry, announcement, nowMs)) {
					refresh(announcement.id);
				}
			}
		},
		hearReport(address, {report, sentAtMs}, nowMs) {
			for (const endpoint of seen.values()) {
				if (endpoint.announcement.address === address) {
					notePath(endpoint.load.path, sentAtMs, nowMs);
					endpoint.isUnreachable = report === null;
					endpoint.load.report = report ?? endpoint.load.report;
					endpoint.load.reportedAtMs = report === null ? Number.NEGATIVE_INFINITY : nowMs;
				}
			}
		},
		end(id) {
			withdraw(registry, id);
			seen.delete(id);
		},
		candidates: (serviceName, nowMs) => [...seen.values()].filter(({announcement, load, heardAtMs, isUnreachable}) => announcement.serviceName === serviceName
			&& !isUnreachable && (nowMs - heardAtMs < silentMs || hasFreshReport(load, nowMs))),
		prune(nowMs) {
			pruneRegistry(registry, nowMs);
			for (const id of seen.keys()) {
				if (!registry.entries.has(id)) {
					seen.delete(id);
				}
			}
		},
	};
};
