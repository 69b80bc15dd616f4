import type {EngineProfile} from '@bitternpaddle/state';
import {hasFreshReport, sentSinceReport, type EndpointLoad} from './endpoint-load.js';
import {slowdownAt} from './slowdown.js';

/** Requests that an engine has or is about to receive, as far as this entry knows. */
export type EngineDemand = {
	/** Running, queued and in flight. */
	readonly active: number;
	/** Prompt tokens to be prefilled before a further request's prompt. */
	readonly pendingPrefillTokens: number;
	readonly pace: number;
};

/**
 * Share of the running requests that are still in prefill, which is a small part of
 * the second or so that a request runs. Requests that a report counts as queued have
 * not been prefilled at all.
 */
const prefillShare = 0.04;

/** The pace of an engine: from its report, unless a later answer advertised it. */
const paceOf = (load: EndpointLoad, nowMs: number): number => {
	const {slowdown, report, reportedAtMs} = load;
	if (slowdown === null || slowdown.atMs <= reportedAtMs) {
		return report?.pace ?? 1;
	}

	return hasFreshReport(load, nowMs) ? slowdown.latest : slowdownAt(slowdown, nowMs);
};

/** `queuedAheadShare`: the part of the engine's queue that starts before the request. */
export const demandOf = (profile: EngineProfile, load: EndpointLoad, nowMs: number, queuedAheadShare = 1): EngineDemand => {
	if (!hasFreshReport(load, nowMs)) {
		const own = [...load.awaiting.values()];
		return {active: Math.max(load.outstanding, load.report?.running ?? 0), pendingPrefillTokens: sumTokens(own), pace: paceOf(load, nowMs)};
	}

	const {running, queued: allQueued} = load.report!;
	const queued = allQueued * queuedAheadShare;
	const since = sentSinceReport(load);
	return {
		// This entry's own requests count from the moment they are sent, even if the engine has not received them yet.
		active: Math.max(running + queued + since.length, load.outstanding - (allQueued - queued)),
		pendingPrefillTokens: (profile.usualPromptTokens * (queued + (running * prefillShare))) + sumTokens(since),
		pace: paceOf(load, nowMs),
	};
};

const sumTokens = (requests: ReadonlyArray<{readonly promptTokens: number}>): number => {
	let tokens = 0;
	for (const {promptTokens} of requests) {
		tokens += promptTokens;
	}

	return tokens;
};

/** Duration of one pass while `decodingCount` requests are being decoded, without the prefill that interrupts them. */
export const passMs = (profile: EngineProfile, decodingCount: number): number => {
	const contextThousands = (profile.usualPromptTokens + (profile.usualAnswerTokens / 2)) / 1000;
	return profile.stepsPerPass * (profile.stepMs + (decodingCount * (profile.perSequenceMs + (profile.contextMsPerThousand * contextThousands))));
};

/** Prefill time of a prompt. */
export const prefillMs = (profile: EngineProfile, tokens: number): number => tokens * 1000 / profile.readTokensPerSecond;

/**
 * How long a usual request holds its slot when all slots are taken. Prefill pauses
 * decoding: one usual prompt is prefilled between two starts.
 */
export const slotHoldMs = (profile: EngineProfile): number => {
	const passes = profile.usualAnswerTokens / profile.stepsPerPass;
	const decodeMs = passes * passMs(profile, profile.slots);
	return decodeMs + (profile.slots * prefillMs(profile, profile.usualPromptTokens));
};

/** How long a further request waits for a slot. */
export const slotWaitMs = (profile: EngineProfile, active: number): number => {
	const ahead = active - profile.slots + 1;
	return ahead <= 0 ? 0 : ahead * slotHoldMs(profile) / profile.slots;
};

/**
 * Covers a few prompts ahead at an engine with a free slot, which take a quarter of
 * the time. With complete prompts ahead included, engines would appear to have spare
 * capacity under sustained overload.
 */
const spareFactor = 1.25;

/** Time to the first token of a usual request at an engine with a free slot. */
export const spareFirstTokenMs = (profile: EngineProfile): number => spareFactor * ((1.5 * passMs(profile, profile.slots)) + prefillMs(profile, profile.usualPromptTokens));

/**
 * Time to the first token of a further request: the wait for a slot, the prefill of
 * the prompts ahead, the current pass, and its own prefill.
 */
export const firstTokenMs = (profile: EngineProfile, demand: EngineDemand, promptTokens: number): number => {
	const decodingCount = Math.min(demand.active, profile.slots);
	const waitMs = slotWaitMs(profile, demand.active);
	const aheadPrefillMs = waitMs > 0 ? 0 : prefillMs(profile, demand.pendingPrefillTokens);
	return demand.pace * (waitMs + aheadPrefillMs + (1.5 * passMs(profile, decodingCount)) + prefillMs(profile, promptTokens));
};
