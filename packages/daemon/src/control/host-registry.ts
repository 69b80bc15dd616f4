import type {HostReport} from '@bitternpaddle/protocol';
import type {Catalog, Change, Readiness} from '@bitternpaddle/state';

/** The last report of one host, with this control host's clock. */
export type HeardReport = {readonly report: HostReport; readonly heardAtMs: number};

/** What hosts said lately. Never in the log: it is renewed every second and worthless after a few. */
export type HostRegistry = Map<string, HeardReport>;

export const hearReport = (registry: HostRegistry, report: HostReport, nowMs: number): void => {
	registry.set(report.hostId, {report, heardAtMs: nowMs});
};

export type PlanOptions = {
	readonly catalog: Catalog;
	readonly registry: HostRegistry;
	readonly nowMs: number;
	/** Since when this host leads; hosts get the whole bound to report to a new leader. */
	readonly leadingSinceMs: number;
	readonly hostLossMs: number;
};

/** The changes that follow from reports: who came, who is lost, which versions are ready. */
export const planMembershipChanges = ({catalog, registry, nowMs, leadingSinceMs, hostLossMs}: PlanOptions): Change[] => {
	const changes: Change[] = [];
	const readiness: Readiness[] = [];
	for (const {report} of registry.values()) {
		const {announcement, readyVersionId, isLeaving} = report;
		if (announcement === null) {
			continue;
		}

		const {hostId, incarnation} = announcement;
		const known = catalog.hosts[hostId];
		if (isLeaving) {
			if (known?.announcement.incarnation === incarnation) {
				changes.push({type: 'hostLeft', hostId, incarnation});
			}
		} else if (known === undefined || known.announcement.incarnation < incarnation) {
			changes.push({type: 'hostJoined', announcement});
		} else if (known.announcement.incarnation === incarnation && known.readyVersionId !== readyVersionId) {
			readiness.push({hostId, incarnation, versionId: readyVersionId});
		}
	}

	if (readiness.length > 0) {
		changes.push({type: 'replicasChanged', readiness});
	}

	return [...changes, ...planLosses({
		catalog, registry, nowMs, leadingSinceMs, hostLossMs,
	})];
};

const planLosses = ({catalog, registry, nowMs, leadingSinceMs, hostLossMs}: PlanOptions): Change[] => Object.values(catalog.hosts)
	.filter(({announcement}) => nowMs - Math.max(leadingSinceMs, registry.get(announcement.hostId)?.heardAtMs ?? 0) > hostLossMs)
	.map(({announcement: {hostId, incarnation}}) => ({type: 'hostLeft', hostId, incarnation}));
