import type {EngineProfile} from '@bitternpaddle/state';
import {hasFreshReport, sentSinceReport, type EndpointLoad} from './endpoint-load.js';

/** Requests that an engine has or is about to get, as far as this caller can tell. */
export type EngineDemand = {
	/** Running, waiting and on their way. */
	readonly active: number;
	/** Prompt tokens that are still to be read before a further request is. */
	readonly unreadTokens: number;
	readonly pace: number;
};

/**
 * Of the requests that a report counts as waiting none has been read; of those
 * that run, this share is still being read: reading a prompt is a small part of
 * the second or so that a request runs.
 */
const readingShare = 0.04;

export const demandOf = (profile: EngineProfile, load: EndpointLoad, nowMs: number): EngineDemand => {
	if (!hasFreshReport(load, nowMs)) {
		const own = [...load.awaiting.values()];
		return {active: Math.max(load.outstanding, load.report?.running ?? 0), unreadTokens: sumTokens(own), pace: load.report?.pace ?? 1};
	}

	const {running, queued, pace} = load.report!;
	const since = sentSinceReport(load);
	return {
		// What this caller has there is there, also while the engine has not yet received it.
		active: Math.max(running + queued + since.length, load.outstanding),
		unreadTokens: (profile.usualPromptTokens * (queued + (running * readingShare))) + sumTokens(since),
		pace,
	};
};

const sumTokens = (requests: ReadonlyArray<{readonly promptTokens: number}>): number => {
	let tokens = 0;
	for (const {promptTokens} of requests) {
		tokens += promptTokens;
	}

	return tokens;
};

/** How long one pass takes with `writers` requests writing, without what is read beside them. */
export const passMs = (profile: EngineProfile, writers: number): number => {
	const contextThousands = (profile.usualPromptTokens + (profile.usualAnswerTokens / 2)) / 1000;
	return profile.stepsPerPass * (profile.stepMs + (writers * (profile.perSequenceMs + (profile.contextMsPerThousand * contextThousands))));
};

/** How long a prompt is read. */
export const readMs = (profile: EngineProfile, tokens: number): number => tokens * 1000 / profile.readTokensPerSecond;

/**
 * How long a usual request holds its slot when all slots are taken. Reading
 * stops the writers: between two starts, one usual prompt is read.
 */
export const holdingMs = (profile: EngineProfile): number => {
	const passes = profile.usualAnswerTokens / profile.stepsPerPass;
	const writingMs = passes * passMs(profile, profile.slots);
	return writingMs + (profile.slots * readMs(profile, profile.usualPromptTokens));
};

/** How long a further request waits for a slot. */
export const slotWaitMs = (profile: EngineProfile, active: number): number => {
	const ahead = active - profile.slots + 1;
	return ahead <= 0 ? 0 : ahead * holdingMs(profile) / profile.slots;
};

/**
 * What begins behind a few other prompts: a place is free, and a quarter of the time
 * is for them. With whole prompts before it, engines would seem to have room under
 * lasting overload.
 */
const spareFactor = 1.25;

/** When a usual request begins at an engine that has a place free. */
export const spareFirstTokenMs = (profile: EngineProfile): number => spareFactor * ((1.5 * passMs(profile, profile.slots)) + readMs(profile, profile.usualPromptTokens));

/**
 * When a further request would get its first token: it waits for a slot, for
 * the prompts before it, for the pass that runs, and for its own.
 */
export const firstTokenMs = (profile: EngineProfile, demand: EngineDemand, promptTokens: number): number => {
	const writers = Math.min(demand.active, profile.slots);
	const waitMs = slotWaitMs(profile, demand.active);
	const beforeMs = waitMs > 0 ? 0 : readMs(profile, demand.unreadTokens);
	return demand.pace * (waitMs + beforeMs + (1.5 * passMs(profile, writers)) + readMs(profile, promptTokens));
};
