import type http from 'node:http';
import {
	prefillMs, strictestObjectiveMs, urgencyOf, versionOf, type Candidate, type VersionDue,
} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import {requestHeaders} from './forwarded-headers.js';
import type {Call} from './gateway-call.js';

const callUrgency = ({objectives, nowMs}: CallContext, call: Call, profile: EngineProfile): number => {
	const {route, team, service, hasComeBack, promptTokens} = call;
	return urgencyOf({
		priority: team?.priority ?? route.priority, hasComeBack, objectiveMs: route.objectiveMs, promptPrefillMs: prefillMs(profile, promptTokens),
		usualSlackMs: strictestObjectiveMs(objectives(service.name), nowMs()) - prefillMs(profile, profile.usualPromptTokens),
	});
};

const noDues: readonly VersionDue[] = [];

export const versionDuesOf = ({dues}: CallContext, {service: {engine}}: Call): readonly VersionDue[] => engine === null ? noDues : dues(engine.model);

/**
 * The version to name in a request to the selected engine: the one that this start of it was
 * shown to hold whole. An engine that holds anything else by the time that the request
 * arrives refuses it. `null` for a plain service, or if no version is shown any more.
 */
export const requestedVersion = ({nowMs}: CallContext, {service: {engine}}: Call, candidate: Candidate): number | null => engine === null ? null : versionOf(candidate, nowMs());

/** The endpoint selected for a request, and the version to name in the request. */
export type EndpointTarget = {readonly candidate: Candidate; readonly version: number | null};

/** Whether a request that names `version` must not be sent: the engine is no longer shown to hold it. */
export const isUnproven = (context: CallContext, call: Call, {candidate, version}: EndpointTarget): boolean => call.service.engine !== null
	&& (version === null || requestedVersion(context, call, candidate) !== version);

/** The headers sent to the selected endpoint. */
export const endpointHeaders = (context: CallContext, call: Call, progress: CallProgress, {candidate, version}: EndpointTarget): http.OutgoingHttpHeaders => {
	const {protocol: {headers: names}, nowMs} = context;
	const {announcement} = candidate;
	const headers = requestHeaders(call.request.headers, names);
	headers[names.deadlineMs] = String(Math.max(1, Math.floor(call.deadlineAtMs - nowMs())));
	headers[names.expectedEndpoint] = announcement.id;
	if (call.team !== null) {
		headers[names.team] = call.team.name;
	}

	if (call.service.engine !== null) {
		headers[names.urgency] = String(callUrgency(context, call, call.service.engine));
	}

	if (version !== null) {
		headers[names.expectedVersion] = String(version);
	}

	if (progress.lastEventId !== null) {
		headers[names.lastEventId] = progress.lastEventId;
	}

	if (call.body !== null) {
		headers['content-length'] = call.body.length;
	}

	return headers;
};
