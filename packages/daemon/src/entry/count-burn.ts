import {countSample, type BurnCounter, type RouteTarget} from '@bitternpaddle/coordination';
import type {RequestRecord} from '@bitternpaddle/protocol';
import {defaultObjective, modelOfVersion, type Catalog} from '@bitternpaddle/state';

/** Maps each model to the service whose hosts serve it; built once per revision. */
export const servicesOfModels = (catalog: Catalog): Map<string, string> => {
	const services = new Map<string, string>();
	for (const {announcement, assignment} of Object.values(catalog.hosts)) {
		if (assignment !== null) {
			services.set(modelOfVersion(assignment.versionId), announcement.serviceId);
		}
	}

	return services;
};

/** A model that no host serves is counted under its own name. */
export const serviceOfTarget = (services: ReadonlyMap<string, string>, target: RouteTarget): string => target.type === 'service'
	? target.serviceId
	: services.get(target.modelId) ?? target.modelId;

const firstServerErrorStatus = 500;
const firstClientErrorStatus = 400;

/**
 * Counts a request that has ended towards its service's objectives. Requests
 * that the caller abandoned or that were invalid (4xx) are not counted, since
 * the service owed no answer to them.
 */
export const countRequest = (counter: BurnCounter, catalog: Catalog, record: RequestRecord): void => {
	const status = record.status ?? 0;
	const isCallerFault = record.state === 'abandoned' || (record.state === 'answered' && status >= firstClientErrorStatus && status < firstServerErrorStatus);
	if (isCallerFault) {
		return;
	}

	const {firstTokenMs} = catalog.services[record.serviceId]?.objective ?? defaultObjective;
	countSample(counter, {
		serviceId: record.serviceId,
		teamId: record.teamId,
		atMs: record.arrivedAtMs + record.endedAfterMs!,
		isComplete: record.state === 'answered' && status < firstServerErrorStatus,
		firstTokenMs: record.firstByteAfterMs,
		firstTokenBoundMs: firstTokenMs,
	});
};
