import type {AttemptRecord, QueryRow, RequestRecord} from '@bitternpaddle/protocol';
import {requiredAdaptersOf, type Catalog, type HostRecord} from '@bitternpaddle/state';

const row = (afterMs: number | null, event: string, detail: string): QueryRow => ({afterMs, event, detail});

const attemptOutcomeOf = ({verdict, reason, endedAfterMs, startedAfterMs}: AttemptRecord): string => {
	if (endedAfterMs === null) {
		return 'in progress';
	}

	const tookMs = endedAfterMs - startedAfterMs;
	return verdict === 'ran' ? `answers after ${tookMs} ms` : `${verdict} after ${tookMs} ms: ${reason}`;
};

const requestOutcomeOf = ({state, status, verdict, reason, versionId}: RequestRecord): string => {
	const what = [state, status === null ? null : `status ${status}`, versionId === null ? null : `version ${versionId}`, verdict, reason];
	return what.filter(part => part !== null).join(', ');
};

/** The events of one request that an entry has recorded, in order. */
export const explainRequest = (record: RequestRecord): QueryRow[] => [
	row(0, 'arrived', `at ${record.entryId}, ${new Date(record.arrivedAtMs).toISOString()}, team ${record.teamId}, for ${record.target} (service ${record.serviceId})`),
	...record.attempts.map(attempt => row(attempt.startedAfterMs, `attempt ${attempt.number}`, `host ${attempt.hostId}: ${attemptOutcomeOf(attempt)}`)),
	...(record.firstByteAfterMs === null ? [] : [row(record.firstByteAfterMs, 'first byte', 'of the answer')]),
	row(record.endedAfterMs, record.endedAfterMs === null ? 'in flight' : 'ended', requestOutcomeOf(record)),
];

export const requestRow = (record: RequestRecord, nowMs: number): QueryRow => ({
	request: record.requestId, entry: record.entryId, team: record.teamId, target: record.target, host: record.attempts.at(-1)?.hostId ?? null,
	attempts: record.attempts.length, ageMs: Math.max(0, nowMs - record.arrivedAtMs), answering: record.attempts.at(-1)?.verdict === 'ran',
});

export type ReplicaView = {
	readonly catalog: Catalog;
	readonly hostId: string;
	/** The host's row of `show hosts`, and its rows of `show transfers`. */
	readonly hostRow: QueryRow | undefined;
	readonly transferRows: readonly QueryRow[];
};

type Finding = {readonly aspect: string; readonly isFine: boolean; readonly finding: string};

const leaseFinding = ({hostRow}: ReplicaView): Finding => hostRow?.status === 'silent'
	? {aspect: 'lease', isFine: false, finding: 'control has received no report from the host for longer than a lease: the host refuses new requests'}
	: {aspect: 'lease', isFine: true, finding: 'renewed'};

const revisionFinding = ({catalog, hostRow}: ReplicaView): Finding => {
	const revision = Number(hostRow?.revision ?? 0);
	const isFine = revision >= catalog.revision;
	const finding = isFine ? `at revision ${revision}, which is in force` : `at revision ${revision}, behind revision ${catalog.revision}`;
	return {aspect: 'configuration', isFine, finding};
};

const statusFinding = ({status, isEvacuated}: HostRecord, hostId: string): Finding => status === 'serving'
	? {aspect: 'order', isFine: true, finding: isEvacuated ? 'none for the host itself' : 'may serve'}
	: {aspect: 'order', isFine: false, finding: `${status} by an operator's order${status === 'draining' ? `; "undrain host ${hostId}" takes it back` : ''}`};

const evacuationFinding = ({announcement: {zoneId}, isEvacuated}: HostRecord): Finding | null => isEvacuated
	? {aspect: 'zone', isFine: false, finding: `${zoneId} is evacuated by an operator's order; "restore zone ${zoneId}" takes it back`}
	: null;

const assignmentFinding = ({announcement, assignment, isEvacuated}: HostRecord): Finding => {
	if (announcement.kind === 'plain') {
		return {aspect: 'assignment', isFine: true, finding: `plain service ${announcement.serviceId}, needs no assignment`};
	}

	if (assignment === null && isEvacuated) {
		return {aspect: 'assignment', isFine: false, finding: `none while zone ${announcement.zoneId} is evacuated`};
	}

	return assignment === null
		? {aspect: 'assignment', isFine: false, finding: `no loaded fleet of provider ${announcement.provider} needs the host in ${announcement.zoneId}`}
		: {aspect: 'assignment', isFine: true, finding: `${assignment.versionId} for fleet ${assignment.fleetId}, fencing number ${assignment.fencingNumber}`};
};

const weightsFinding = ({announcement, assignment, readyVersionId}: HostRecord): Finding | null => {
	if (announcement.kind === 'plain' || assignment === null) {
		return null;
	}

	return readyVersionId === assignment.versionId
		? {aspect: 'weights', isFine: true, finding: `the engine holds ${readyVersionId}`}
		: {aspect: 'weights', isFine: false, finding: `the engine holds ${readyVersionId ?? 'nothing'}, ${assignment.versionId} is assigned`};
};

const adaptersFinding = (catalog: Catalog, {announcement, assignment, readyVersionId, readyAdapterIds = []}: HostRecord): Finding | null => {
	const ordered = requiredAdaptersOf(catalog, announcement.hostId)?.adapters.map(({adapterId}) => adapterId) ?? [];
	if (ordered.length === 0 && readyAdapterIds.length === 0) {
		return null;
	}

	const missing = ordered.filter(adapterId => readyVersionId !== assignment!.versionId || !readyAdapterIds.includes(adapterId));
	const surplus = readyAdapterIds.filter(adapterId => !ordered.includes(adapterId));
	return {
		aspect: 'adapters', isFine: missing.length === 0 && surplus.length === 0,
		finding: [
			`the engine holds ${readyAdapterIds.join(', ') || 'none'} beside ${readyVersionId ?? 'no version'}`,
			...(missing.length === 0 ? [] : [`${missing.join(', ')} ordered for ${assignment!.versionId} and not loaded`]),
			...(surplus.length === 0 ? [] : [`${surplus.join(', ')} not ordered`]),
		].join('; '),
	};
};

const transferFinding = (transfer: QueryRow): Finding => ({
	aspect: 'transfer', isFine: transfer.state !== 'failed',
	finding: `${String(transfer.version)} ${String(transfer.state)}, ${String(transfer.chunks)} chunks, ${String(transfer.originBytes)} bytes from the origin, ${String(transfer.peerBytes)} from peers`
		+ (transfer.detail === '' || transfer.detail === null ? '' : `; last: ${String(transfer.detail)}`),
});

/** Explains why a replica serves or does not, by every condition that a request is checked against. */
export const explainReplica = (view: ReplicaView): QueryRow[] => {
	const host = view.catalog.hosts[view.hostId];
	if (host === undefined) {
		return [{aspect: 'serving', fine: false, finding: `no host ${view.hostId} has announced itself, or it was lost and has not come back`}];
	}

	const findings = [
		leaseFinding(view),
		revisionFinding(view),
		statusFinding(host, view.hostId),
		evacuationFinding(host),
		assignmentFinding(host),
		weightsFinding(host),
		adaptersFinding(view.catalog, host),
		...view.transferRows.map(transfer => transferFinding(transfer)),
	].filter(finding => finding !== null);
	const failedAspects = findings.filter(({isFine}) => !isFine).map(({aspect}) => aspect);
	const verdict = failedAspects.length === 0 ? 'yes' : `no, or not for long: look at ${failedAspects.join(', ')}`;
	return [
		{aspect: 'serving', fine: failedAspects.length === 0, finding: verdict},
		...findings.map(({aspect, isFine, finding}) => ({aspect, fine: isFine, finding})),
	];
};
