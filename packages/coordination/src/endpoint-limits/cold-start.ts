import type {ColdStart} from '@bitternpaddle/state';

/** The latest announcement of one start of an endpoint. */
export type ColdAnnouncement = {
	/** How much longer it was cold at `madeAtMs`; 0 if it was warm. */
	readonly coldForMs: number;
	/** When it was made; never before the actual time, because the delay up to the first core host is not known. */
	readonly madeAtMs: number;
};

/** Why an endpoint is cold. */
export type ColdCause = 'announced' | 'evacuated';

/** `null` if the endpoint is warm. */
export type ColdPeriod = {readonly untilMs: number; readonly cause: ColdCause} | null;

export type ColdOptions = {
	/** `null` if endpoints of the service are not limited after a start. */
	readonly coldStart: ColdStart | null;
	readonly announcement: ColdAnnouncement;
	/** When the evacuation of the endpoint's zone ended; `null` if the zone was not evacuated. */
	readonly evacuationEndedAtMs: number | null;
	readonly nowMs: number;
};

/** An announcement that was made before the end of an evacuation may be received this much after it. */
const announcementDelayMs = 100;

/**
 * Until when an endpoint is cold. After an evacuation, its zone may have become cold
 * without an announcement, so it counts as cold unless a later announcement says otherwise.
 */
export const coldPeriodOf = ({coldStart, announcement: {coldForMs, madeAtMs}, evacuationEndedAtMs, nowMs}: ColdOptions): ColdPeriod => {
	if (coldStart === null) {
		return null;
	}

	const announcedUntilMs = madeAtMs + coldForMs;
	const evacuatedUntilMs = evacuationEndedAtMs === null || madeAtMs > evacuationEndedAtMs + announcementDelayMs
		? Number.NEGATIVE_INFINITY
		: evacuationEndedAtMs + coldStart.durationMs;
	const untilMs = Math.max(announcedUntilMs, evacuatedUntilMs);
	return untilMs <= nowMs ? null : {untilMs, cause: evacuatedUntilMs > announcedUntilMs ? 'evacuated' : 'announced'};
};

/** How far the requests that a cold endpoint receives in a second may exceed its limit. */
export type ColdBounds = {
	/** Multiple of the limit. */
	readonly overage: number;
	/** Requests in addition to that multiple. */
	readonly slack: number;
};

/** Applies where the settings state no bounds: what an issuer and entries without an issuer send together. */
export const defaultColdBounds: ColdBounds = {overage: 1.5, slack: 0};

/** The part of the limit that entries without an issuer send together; those that reach the issuer are granted the whole. */
const fallbackShare = 0.5;

/** Requests that a cold endpoint may receive in a second while its issuer is in reach of all entries. */
export const coldWindowCount = (perSecond: number): number => Math.max(1, Math.floor(perSecond));

/** Requests in a second that all entries without an issuer send together, beside those with an issuer. */
export const fallbackCount = (perSecond: number, {overage, slack}: ColdBounds): number => {
	const roomCount = Math.floor((perSecond * overage) + slack) - coldWindowCount(perSecond);
	return Math.max(0, Math.min(Math.floor(perSecond * fallbackShare), roomCount));
};

/**
 * The whole number of requests in a second that one entry sends without an issuer. The
 * numbers of all entries add up to `fallbackCount`, whenever each of them sends.
 */
export const fallbackCountOf = (totalCount: number, rank: number, entryCount: number): number => Math.floor(totalCount / entryCount) + (rank < totalCount % entryCount ? 1 : 0);
