import {confirmedRevision, type Presence} from '@bitternpaddle/coordination';
import type {HostReport} from '@bitternpaddle/protocol';
import {callRpc} from '@bitternpaddle/transport';

/** One host as questions see it. */
export type SeenHost = {readonly report: HostReport; readonly heardAtMs: number};
export type HostRegistry = ReadonlyMap<string, SeenHost>;

/** A report as one control host heard it; the greatest session is the host's last place. */
export type PlacedReport = {readonly session: number; readonly report: HostReport};

const reportsTimeoutMs = 1500;

/**
 * Load and progress of transfers stay at the control host at which a host
 * watches; they are fetched when somebody asks, so that they cost the leader
 * nothing while nobody does.
 */
export const gatherReports = async (addresses: readonly string[], own: readonly PlacedReport[]): Promise<HostReport[]> => {
	const gathered = await Promise.all(addresses.map(async address => callRpc<PlacedReport[]>({
		address, method: 'control.reports', params: {}, timeoutMs: reportsTimeoutMs,
	}).catch(() => [])));
	const latest = new Map<string, PlacedReport>();
	for (const placed of [...own, ...gathered.flat()]) {
		// A host that turned elsewhere is still known for a while where it was.
		if (placed.session >= (latest.get(placed.report.hostId)?.session ?? 0)) {
			latest.set(placed.report.hostId, placed);
		}
	}

	return [...latest.values()].map(({report}) => report);
};

/** What is known of each host, with the fresher report where one was gathered. */
export const viewHosts = (presence: Presence, gathered: readonly HostReport[], nowMs: number): HostRegistry => {
	const fresh = new Map(gathered.map(report => [report.hostId, report]));
	return new Map([...presence.hosts].map(([hostId, {report}]) => [hostId, {
		report: {...(fresh.get(hostId) ?? report), revision: confirmedRevision(presence, hostId)},
		heardAtMs: presence.silent.get(hostId) ?? nowMs,
	}]));
};
