import {
	learnPlainTime, plainLatenessMs, recordActive, recordSlowdown, type Candidate, type Placement, type TooLate,
} from '@bitternpaddle/coordination';
import type {AdvertisedLoad} from '../link/request-protocol.js';
import type {AnswerHead} from './attempt.js';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import type {Call} from './gateway-call.js';

/** Records the load that the head of an answer advertises; returns it, or `null` if it is missing or unreadable. */
export const recordLoad = ({protocol, nowMs}: CallContext, {load}: Candidate, {status, headers}: AnswerHead): AdvertisedLoad | null => {
	const text = headers[protocol.headers.load];
	const advertised = typeof text === 'string' ? protocol.readLoad(text) : null;
	if (advertised === null) {
		return null;
	}

	const atMs = nowMs();
	load.advertisedLoad = {...advertised, atMs};
	if (status === 421) {
		// Another start of the endpoint may have sent it, whose state does not apply to this one.
		return advertised;
	}

	load.active = recordActive(load.active, advertised.active, atMs);
	if (advertised.slowdown !== null) {
		load.slowdown = recordSlowdown(load.slowdown, advertised.slowdown, atMs);
	}

	return advertised;
};

type ReceivedAnswer = {readonly head: AnswerHead; readonly advertised: AdvertisedLoad | null; readonly tookMs: number};

/** Learns from an answer of a plain endpoint; returns how late it was. */
export const recordPlainAnswer = ({nowMs}: CallContext, {candidate, expectedMs, lagMs, plain}: Placement, {head, advertised, tookMs}: ReceivedAnswer): number => {
	const answer = {tookMs, advertised, estimate: plain ?? null};
	if (head.status < 300) {
		learnPlainTime(candidate.load, candidate, answer, nowMs());
	}

	return plainLatenessMs(answer, expectedMs - lagMs);
};

/** The figures of an endpoint's slowdown for the log line of an attempt; none for an endpoint that has advertised none. */
export const slowdownFields = ({load: {slowdown, learned}}: Candidate, nowMs: number): Record<string, number> => slowdown === null
	? {}
	: {slowdown: slowdown.latest, slowdownAgeMs: Math.round(nowMs - slowdown.atMs), ...(learned !== null && {usualMs: Math.round(learned.usualMs)})};

/** Records that a request is sent past the endpoints of its own zone. */
export const recordPassedZone = ({metrics, logger, nowMs}: CallContext, {requestId}: Call, {candidate: {announcement}, expectedMs, passedNear}: Placement): void => {
	if (passedNear === undefined) {
		return;
	}

	const {candidate: near, expectedMs: nearExpectedMs} = passedNear;
	metrics.count('slower_zone_avoided', 'Requests that were sent to another zone because the endpoints of their own would take longer.');
	logger.event('BP4063', {
		requestId, endpointId: announcement.id, zoneId: announcement.zoneId, expectedMs: Math.round(expectedMs),
		nearEndpointId: near.announcement.id, nearExpectedMs: Math.round(nearExpectedMs), nearActive: near.load.advertisedLoad?.active ?? null, ...slowdownFields(near, nowMs()),
	});
};

/** Records why a request, or a further attempt, is not sent. */
export const recordTooLate = ({metrics, logger, nowMs}: CallContext, {requestId}: Call, {sent}: CallProgress, tooLate: TooLate | undefined): void => {
	if (tooLate === undefined) {
		return;
	}

	const {placement: {candidate, expectedMs}, remainingMs} = tooLate;
	metrics.count('unanswerable_in_time', 'Requests and further attempts that were not sent because no endpoint could answer in the time left.');
	logger.event('BP4064', {
		requestId, sent, endpointId: candidate.announcement.id, expectedMs: Math.round(expectedMs), remainingMs: Math.round(remainingMs), ...slowdownFields(candidate, nowMs()),
	});
};
