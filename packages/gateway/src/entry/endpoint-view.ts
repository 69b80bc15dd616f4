import {
	createEndpointHealth, createEndpointLoad, createPathDelay, createRegistry, excuseStall, hasFreshReport, recordAnnouncement, isLaterStart, recordPathDelay, pruneRegistry, withdraw,
	type AgedAnnouncement, type Announcement, type Candidate, type WeightsProof,
} from '@bitternpaddle/coordination';
import type {LoadReport} from '../load/load-report.js';

/** The endpoints of all services that are known to this entry. */
export type EndpointView = {
	recordAnnouncements(announcements: readonly AgedAnnouncement[], nowMs: number): void;
	/** Records an agent's load report on the engine at an address. `waitedMs`: how long it may have waited here before it was read. */
	recordReport(report: LoadReport, nowMs: number, waitedMs?: number): void;
	/** Current delay of the path from the endpoint's host, above the lowest delay observed. */
	pathDelayMs(address: string): number;
	/** Removes an endpoint whose address answered that a different endpoint or a later start runs there. */
	markReplaced(id: string): void;
	/** Endpoints that requests may be sent to. */
	candidates(serviceName: string, nowMs: number): Candidate[];
	/** Allows for a stall of this process in the estimates of all awaited answers. */
	excuseStall(stalledMs: number): void;
	prune(nowMs: number): void;
};

/**
 * Endpoints without an announcement for this long are no longer used, unless their own
 * host still reports on them: they may be disconnected from the core only.
 * Endpoints announce themselves about every second; the core forwards that every 2 to 5 s.
 */
const silentMs = 7000;

type TrackedEndpoint = Candidate & {
	announcement: Announcement;
	readonly firstAnnouncedAtMs: number;
	lastAnnouncedAtMs: number;
	isUnreachable: boolean;
	/** Start of the agent that sent the last report directly; 0 before the first. */
	agentEpoch: number;
};

/** Indexes of the endpoints; reports and requests look them up hundreds of times per second. */
type Lookup = {readonly byAddress: ReadonlyMap<string, readonly TrackedEndpoint[]>; readonly byService: ReadonlyMap<string, readonly TrackedEndpoint[]>};

const groupBy = (endpoints: Iterable<TrackedEndpoint>, keyOf: (announcement: Announcement) => string): Map<string, TrackedEndpoint[]> => {
	const groups = new Map<string, TrackedEndpoint[]>();
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

const noEndpoints: readonly TrackedEndpoint[] = [];

/** Running endpoints are announced more often than this, also when forwarded by the core. */
const replacedSilenceMs = 5000;

/**
 * Whether `other` is the endpoint that runs at the address of both. That is the one
 * announced later, unless its announcements stopped while those of the other continue:
 * then it was a delayed announcement of a start that had already exited and had not
 * been known here before.
 */
const replaces = (other: TrackedEndpoint, {firstAnnouncedAtMs, lastAnnouncedAtMs}: TrackedEndpoint): boolean => other.firstAnnouncedAtMs > firstAnnouncedAtMs
	? lastAnnouncedAtMs - other.lastAnnouncedAtMs < replacedSilenceMs
	: other.lastAnnouncedAtMs - lastAnnouncedAtMs >= replacedSilenceMs;

/** Whether a report proves the weights of the start that was announced, as far as the engine states which one it is. */
const isOfStart = ({engineId, startedAtMs}: Extract<WeightsProof, {type: 'whole'}>, announcement: Announcement): boolean => (engineId ?? announcement.id) === announcement.id
	&& (startedAtMs ?? announcement.startedAtMs) === announcement.startedAtMs;

/** The version that an endpoint was shown to hold whole, after a report that was sent at `sentAtMs`. */
const wholeVersionAfter = (proof: WeightsProof, {announcement, load: {wholeVersion, disproof}}: TrackedEndpoint, sentAtMs: number): number | null => {
	switch (proof.type) {
		case 'unknown': {
			return wholeVersion;
		}

		case 'none': {
			return null;
		}

		case 'whole': {
			if (!isOfStart(proof, announcement)) {
				return null;
			}

			return disproof !== null && sentAtMs <= disproof.atMs ? wholeVersion : proof.version;
		}
	}
};

/** The age of a report when it is read. Records the delay of its path. */
const reportAgeMs = (endpoint: TrackedEndpoint, {epoch, delivery}: LoadReport, nowMs: number, waitedMs: number): number => {
	const {path} = endpoint.load;
	if (delivery.type === 'relayed') {
		path.delayMs = delivery.delayMs;
		return delivery.ageMs + waitedMs;
	}

	if (endpoint.agentEpoch !== epoch) {
		// The clock of another start of the agent has another origin.
		Object.assign(path, createPathDelay());
		endpoint.agentEpoch = epoch;
	}

	return recordPathDelay(path, delivery.sentAtMs, nowMs, waitedMs);
};

export type EndpointViewOptions = {
	/** Called when another start of an endpoint, or another endpoint, takes over an address. */
	onRestart(address: string): void;
};

export const createEndpointView = ({onRestart}: EndpointViewOptions): EndpointView => {
	const registry = createRegistry();
	const tracked = new Map<string, TrackedEndpoint>();
	/** `null` after an endpoint was added, removed or moved. */
	let lookup: Lookup | null = null;

	const current = (): Lookup => {
		lookup ??= {byAddress: groupBy(tracked.values(), ({address}) => address), byService: groupBy(tracked.values(), ({serviceName}) => serviceName)};
		return lookup;
	};

	/** Voids what was shown about a start that has ended: requests selected for it before may not have been sent yet. */
	const voidProof = (id: string): void => {
		const endpoint = tracked.get(id);
		if (endpoint !== undefined) {
			endpoint.load.wholeVersion = null;
		}
	};

	const remove = (id: string): void => {
		voidProof(id);
		if (tracked.delete(id)) {
			lookup = null;
		}
	};

	const updateEndpoint = (id: string): void => {
		const entry = registry.entries.get(id);
		if (entry === undefined) {
			return;
		}

		const {announcement, receivedAtMs} = entry;
		const known = tracked.get(id);
		if (announcement.state === 'gone') {
			if (known !== undefined) {
				// Calls in flight at the endpoint must see that it is leaving. The announcement may state no address.
				known.announcement = {...known.announcement, state: 'gone'};
			}

			remove(id);
			return;
		}

		// A later start of the endpoint does not inherit the load and failures of the previous one.
		if (known === undefined || isLaterStart(known.announcement, announcement)) {
			voidProof(id);
			const isRestart = (current().byAddress.get(announcement.address) ?? noEndpoints).length > 0;
			tracked.set(id, {
				announcement, load: createEndpointLoad(), health: createEndpointHealth(), firstAnnouncedAtMs: receivedAtMs, lastAnnouncedAtMs: receivedAtMs, isUnreachable: false, agentEpoch: 0,
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
		known.lastAnnouncedAtMs = receivedAtMs;
	};

	const isReplaced = (endpoint: TrackedEndpoint): boolean => {
		const atAddress = current().byAddress.get(endpoint.announcement.address) ?? noEndpoints;
		return atAddress.length > 1 && atAddress.some(other => other !== endpoint && replaces(other, endpoint));
	};

	const isUsable = (endpoint: TrackedEndpoint, nowMs: number): boolean => {
		const {load, lastAnnouncedAtMs, isUnreachable} = endpoint;
		return !isUnreachable && (nowMs - lastAnnouncedAtMs < silentMs || hasFreshReport(load, nowMs)) && !isReplaced(endpoint);
	};

	return {
		recordAnnouncements(announcements, nowMs) {
			for (const announcement of announcements) {
				if (recordAnnouncement(registry, announcement, nowMs)) {
					updateEndpoint(announcement.id);
				}
			}
		},
		recordReport(received, nowMs, waitedMs = 0) {
			const {endpointAddress, report} = received;
			for (const endpoint of current().byAddress.get(endpointAddress) ?? noEndpoints) {
				const {load} = endpoint;
				const sentAtMs = nowMs - reportAgeMs(endpoint, received, nowMs, waitedMs);
				endpoint.isUnreachable = report === null;
				if (report === null) {
					load.reportedAtMs = Number.NEGATIVE_INFINITY;
				} else {
					load.wholeVersion = wholeVersionAfter(report.weights, endpoint, sentAtMs);
					load.report = report;
					load.reportedAtMs = sentAtMs;
				}
			}
		},
		pathDelayMs: address => current().byAddress.get(address)?.[0]?.load.path.delayMs ?? 0,
		markReplaced(id) {
			withdraw(registry, id);
			remove(id);
		},
		candidates: (serviceName, nowMs) => (current().byService.get(serviceName) ?? noEndpoints).filter(endpoint => isUsable(endpoint, nowMs)),
		excuseStall(stalledMs) {
			for (const {load} of tracked.values()) {
				excuseStall(load, stalledMs);
			}
		},
		prune(nowMs) {
			pruneRegistry(registry, nowMs);
			for (const id of tracked.keys()) {
				if (!registry.entries.has(id)) {
					remove(id);
				}
			}
		},
	};
};
