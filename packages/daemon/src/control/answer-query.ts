import type {
	Condition, HostReport, InForceResult, QueryRow, Show,
} from '@bitternpaddle/protocol';
import {
	adapterKeyOf, defaultObjective, evacuatedZoneIds, fleetsWithAdapter, knownZoneIds, mayServe, type AdapterRecord, type Catalog, type HostRecord,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {HostRegistry} from './host-view.js';

export type QueryView = {
	readonly catalog: Catalog;
	readonly registry: HostRegistry;
	/** On which hosts the newest revision is in force. */
	readonly inForce: InForceResult;
	readonly nowMs: number;
	/** A host that has not renewed its lease for this long is out of service. */
	readonly leaseMs: number;
};

/** All rows of one subject, before the conditions are applied. */
const rowsOf = (view: QueryView, subject: Show['subject']): QueryRow[] => match(subject)
	.with('replicas', () => replicaRows(view))
	.with('transfers', () => liveReports(view).flatMap(report => transferRows(report)))
	.with('hosts', () => hostRows(view))
	.with('revision', () => [revisionRow(view)])
	.with('models', () => Object.entries(view.catalog.models).map(([model, {traffic}]) => ({
		model, traffic: traffic.map(share => `${share.fleetId} ${share.percent}%`).join(', '),
	})))
	.with('versions', () => Object.values(view.catalog.versions).map(({versionId, manifestId, isWithdrawn}) => ({version: versionId, manifest: manifestId, withdrawn: isWithdrawn})))
	.with('adapters', () => Object.entries(view.catalog.adapters).map(([key, adapter]) => adapterRow(view.catalog, key, adapter)))
	.with('fleets', () => Object.values(view.catalog.fleets).map(fleet => ({
		fleet: fleet.fleetId, provider: fleet.provider, version: fleet.versionId, replicas: fleet.replicas,
		zones: fleet.zoneIds.join(', '), loaded: fleet.isLoaded, ready: readyReplicas(view.catalog, fleet.fleetId, fleet.versionId),
	})))
	.with('services', () => Object.entries(view.catalog.services).map(([service, {repeatable, objective = defaultObjective}]) => ({
		service, repeatable, whole: objective.answeredWholePercent, firstToken: objective.firstTokenPercent, withinMs: objective.firstTokenMs,
	})))
	.with('teams', () => Object.entries(view.catalog.teams).map(([team, {share}]) => ({team, share})))
	.with('moves', () => Object.values(view.catalog.rollouts).map(rollout => ({
		model: rollout.modelId, from: rollout.fromFleetId, to: rollout.toFleetId, state: rollout.state, moved: rollout.movedPercent, of: rollout.percent,
		step: rollout.step, detail: rollout.detail,
	})))
	.with('zones', () => zoneRows(view))
	// Only the entries record requests; the entry that receives the query gathers them.
	.with('requests', () => [])
	.exhaustive();

const isLive = (view: QueryView, hostId: string): boolean => {
	const lastSeen = view.registry.get(hostId);
	return lastSeen !== undefined && view.nowMs - lastSeen.lastSeenAtMs < view.leaseMs;
};

const liveReports = (view: QueryView): HostReport[] => [...view.registry.values()]
	.filter(({report}) => isLive(view, report.hostId))
	.map(({report}) => report);

const readyReplicas = (catalog: Catalog, fleetId: string, versionId: string): number => Object.values(catalog.hosts)
	.filter(host => host.assignment?.fleetId === fleetId && host.readyVersionId === versionId)
	.length;

const adapterRow = (catalog: Catalog, key: string, {adapterId, versionId, manifestId, isWithdrawn}: AdapterRecord): QueryRow => ({
	adapter: key, version: versionId, manifest: manifestId, withdrawn: isWithdrawn,
	fleets: fleetsWithAdapter(catalog, key).map(({fleetId}) => fleetId).join(', '),
	ready: Object.values(catalog.hosts).filter(host => host.readyVersionId === versionId && host.readyAdapterIds?.includes(adapterId)).length,
});

const replicaRows = ({catalog}: QueryView): QueryRow[] => Object.values(catalog.hosts)
	.filter(host => host.assignment !== null)
	.map(({announcement, assignment, readyVersionId, readyAdapterIds = [], status}) => ({
		host: announcement.hostId, zone: announcement.zoneId, fleet: assignment!.fleetId, version: assignment!.versionId,
		ready: readyVersionId === assignment!.versionId, serving: readyVersionId, adapters: readyAdapterIds.join(', '), status,
	}));

const transferRows = ({hostId, transfers}: HostReport): QueryRow[] => transfers.map(transfer => ({
	host: hostId, version: transfer.adapterId === undefined ? transfer.versionId : adapterKeyOf(transfer.versionId, transfer.adapterId),
	state: transfer.state, chunks: `${transfer.heldChunks}/${transfer.totalChunks}`,
	originBytes: transfer.originBytes, peerBytes: transfer.peerBytes, detail: transfer.detail,
}));

const hostRows = (view: QueryView): QueryRow[] => {
	const agents = Object.values(view.catalog.hosts).map(({announcement, status, isEvacuated}) => ({
		host: announcement.hostId, role: 'agent', zone: announcement.zoneId, service: announcement.serviceId, provider: announcement.provider,
		status: isLive(view, announcement.hostId) ? orderedStatusOf({status, isEvacuated}) : 'silent', revision: view.registry.get(announcement.hostId)?.report.revision ?? 0,
		address: announcement.address,
	}));
	const entries = liveReports(view)
		.filter(report => report.role === 'entry')
		.map(report => ({
			host: report.hostId, role: 'entry', zone: null, service: null, provider: null, status: 'serving', revision: report.revision, address: report.address,
		}));
	return [...agents, ...entries];
};

/** A drain or stop is shown in preference to the evacuation, because it remains when the zone is restored. */
const orderedStatusOf = ({status, isEvacuated}: Pick<HostRecord, 'status' | 'isEvacuated'>): string => status === 'serving' && isEvacuated ? 'evacuated' : status;

/** Whether entries may send requests to the host. */
const isServing = (view: QueryView, host: HostRecord): boolean => isLive(view, host.announcement.hostId)
	&& mayServe(host)
	&& (host.announcement.kind === 'plain' || (host.assignment !== null && host.readyVersionId !== null));

const zoneRows = (view: QueryView): QueryRow[] => {
	const counts = new Map(knownZoneIds(view.catalog).map(zoneId => [zoneId, {hosts: 0, serving: 0}]));
	for (const host of Object.values(view.catalog.hosts)) {
		const count = counts.get(host.announcement.zoneId)!;
		count.hosts++;
		count.serving += isServing(view, host) ? 1 : 0;
	}

	const evacuated = new Set(evacuatedZoneIds(view.catalog));
	return [...counts].map(([zone, count]) => ({zone, ...count, evacuated: evacuated.has(zone)}));
};

const revisionRow = ({inForce}: QueryView): QueryRow => ({
	revision: inForce.revision, inForce: inForce.inForce, hosts: inForce.hosts, missing: inForce.missing.join(', '), outOfService: inForce.outOfService.join(', '),
});

const compare = (left: QueryRow[string] | undefined, {operator, value}: Condition): boolean => {
	const order = typeof left === 'number' ? left - Number(value) : String(left).localeCompare(value);
	return match(operator)
		.with('=', () => order === 0)
		.with('!=', () => order !== 0)
		.with('<', () => order < 0)
		.with('<=', () => order <= 0)
		.with('>', () => order > 0)
		.with('>=', () => order >= 0)
		.exhaustive();
};

const sortByFirstColumn = (rows: readonly QueryRow[]): QueryRow[] => rows.toSorted((a, b) => {
	const [first = ''] = Object.values(a).map(String);
	const [second = ''] = Object.values(b).map(String);
	return first.localeCompare(second, 'en', {numeric: true});
});

/** Rows that meet every condition, sorted by their first column. */
export const selectRows = (rows: readonly QueryRow[], where: readonly Condition[]): QueryRow[] => sortByFirstColumn(rows)
	.filter(row => where.every(condition => compare(row[condition.field], condition)));

export const answerQuery = (view: QueryView, {subject, where}: Show): QueryRow[] => selectRows(rowsOf(view, subject), where);
