import type http from 'node:http';
import {
	prefillMs, strictestObjectiveMs, urgencyOf, versionOf, type Candidate, type VersionDue,
} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import {requestHeaders} from './forwarded-headers.js';
import type {Call} from './gateway-call.js';

/** How long before a version is due requests name the version that they expect. */
const dueSoonMs = 500;

const callUrgency = ({objectives, nowMs}: CallContext, call: Call, profile: EngineProfile): number => {
	const {route, team, service, hasComeBack, promptTokens} = call;
	return urgencyOf({
		priority: team?.priority ?? route.priority, hasComeBack, objectiveMs: route.objectiveMs, promptPrefillMs: prefillMs(profile, promptTokens),
		usualSlackMs: strictestObjectiveMs(objectives(service.name), nowMs()) - prefillMs(profile, profile.usualPromptTokens),
	});
};

const noDues: readonly VersionDue[] = [];

export const versionDuesOf = ({dues}: CallContext, {service: {engine}}: Call): readonly VersionDue[] => engine === null ? noDues : dues(engine.model);

/** The version that the selected engine is known to have loaded. */
export const loadedVersion = ({nowMs}: CallContext, {service: {engine}}: Call, candidate: Candidate): number | null => engine === null ? null : versionOf(candidate, engine, nowMs());

/** The version to name in the request; only set once requests may no longer start on older versions, because an engine may switch versions while a request is in transit. */
export const requestedVersion = (context: CallContext, call: Call, candidate: Candidate): number | null => {
	const now = context.nowMs();
	const isDue = versionDuesOf(context, call).some(({dueAtMs}) => dueAtMs < now + dueSoonMs);
	return isDue ? loadedVersion(context, call, candidate) : null;
};

/** The headers sent to the selected endpoint. */
export const endpointHeaders = (context: CallContext, call: Call, progress: CallProgress, candidate: Candidate): http.OutgoingHttpHeaders => {
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

	const version = requestedVersion(context, call, candidate);
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
