import {confirmedRevision, type Presence} from '@bitternpaddle/coordination';
import type {HostReport} from '@bitternpaddle/protocol';
import {callRpc} from '@bitternpaddle/transport';

/** One host as seen by queries. */
export type RegisteredHost = {readonly report: HostReport; readonly lastSeenAtMs: number};
export type HostRegistry = ReadonlyMap<string, RegisteredHost>;

/** A report as one control host received it; of several, the one with the highest session comes from the control host that the host watched last. */
export type SessionReport = {readonly session: number; readonly report: HostReport};

const reportsTimeoutMs = 1500;

/**
 * Load and transfer progress are kept at the control host that a host watches
 * and are fetched only for a query, so that they cost the leader nothing
 * otherwise.
 */
export const gatherReports = async (addresses: readonly string[], own: readonly SessionReport[]): Promise<HostReport[]> => {
	const gathered = await Promise.all(addresses.map(async address => callRpc<SessionReport[]>({
		address, method: 'control.reports', params: {}, timeoutMs: reportsTimeoutMs,
	}).catch(() => [])));
	const latest = new Map<string, SessionReport>();
	for (const sessionReport of [...own, ...gathered.flat()]) {
		// A control host still lists a host for a while after that host has moved to another one.
		if (sessionReport.session >= (latest.get(sessionReport.report.hostId)?.session ?? 0)) {
			latest.set(sessionReport.report.hostId, sessionReport);
		}
	}

	return [...latest.values()].map(({report}) => report);
};

/** The state of each host, with the more recent report where one was gathered. */
export const viewHosts = (presence: Presence, gathered: readonly HostReport[], nowMs: number): HostRegistry => {
	const latestReports = new Map(gathered.map(report => [report.hostId, report]));
	return new Map([...presence.hosts].map(([hostId, {report}]) => [hostId, {
		report: {...(latestReports.get(hostId) ?? report), revision: confirmedRevision(presence, hostId)},
		lastSeenAtMs: presence.silent.get(hostId) ?? nowMs,
	}]));
};
