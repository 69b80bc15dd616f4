import type {EngineProfile} from '@bitternpaddle/state';
import type {Random} from '../utils/random.js';
import {hasFreshReport} from './endpoint-load.js';
import {slotHoldMs} from './engine-model.js';
import type {Candidate} from './place-request.js';

/** The expected recovery of a service without a serving engine. */
export type EngineOutlook = {
	/** Estimated time until the first engine serves; `null` if unknown. */
	readonly readyInMs: number | null;
	/** Slots of all engines with fresh reports. */
	readonly slots: number;
};

export const engineOutlook = (candidates: readonly Candidate[], nowMs: number): EngineOutlook => {
	const reported = candidates.filter(({load}) => hasFreshReport(load, nowMs));
	const readyTimesMs = reported.flatMap(({load: {report, reportedAtMs}}) => report!.readyInMs === null ? [] : [report!.readyInMs - (nowMs - reportedAtMs)]);
	return {
		readyInMs: readyTimesMs.length === 0 ? null : Math.max(0, Math.min(...readyTimesMs)),
		slots: reported.reduce((sum, {announcement: {slots}}) => sum + slots, 0),
	};
};

/** Retry time while none is known; engines that load or restart are expected to be back by then. */
const defaultRetryMs = 1500;
/** Retries are spread over this time after the first engine is ready; the other engines follow within it. */
const retrySpreadMs = 500;

/** The retry time for a request without an engine. */
export const noEngineRetryMs = ({readyInMs}: EngineOutlook, random: Random): number => (readyInMs ?? defaultRetryMs) + random.between(0, retrySpreadMs);

export type WaitOptions = {
	readonly profile: EngineProfile | null;
	readonly outlook: EngineOutlook;
	/** Whether its caller was refused before and has no further retry. */
	readonly hasComeBack: boolean;
	readonly remainingMs: number;
	/** How long the request has waited at this entry. */
	readonly waitedMs: number;
	/** Whether the previous check decided to hold it. */
	readonly isHeld: boolean;
	/** Requests that this entry holds for the same engines. */
	readonly heldCount: number;
	readonly entryCount: number;
};

/** `brief`: waits briefly while engines switch. `held`: waits until engines have loaded and is then sent as capacity permits. `leave`: is refused. */
export type WaitVerdict = 'brief' | 'held' | 'leave';

type WaitLimit = {readonly maxMs: number; /** Share of the caller's remaining time at its arrival. */ readonly share: number};

/** Engines that switch or restart are out of service for less than this; the caller needs its remaining time for a retry. */
const firstAttemptWait: WaitLimit = {maxMs: 700, share: 0.15};
/** A caller retry has no further retry, so it may wait for engines whose hosts don't know the time yet, as in the first second after a power loss. */
const retryWait: WaitLimit = {maxMs: 1500, share: 0.35};
/** A loaded engine reads back its staged weights and is announced within this time; the other engines follow within it as well. */
const readySlackMs = 400;
/** Share of the engines' slots; the others are left for first attempts when the engines are back. */
const heldShare = 0.8;
/** Share of the time for which a request holds its slot when all slots are taken; just after a start fewer are. */
const answerShare = 0.7;

/** Until when a request may wait for an endpoint that is briefly unavailable. */
export const briefWaitEndsAtMs = ({sinceMs, deadlineAtMs}: {readonly sinceMs: number; readonly deadlineAtMs: number}): number => sinceMs
	+ Math.min(firstAttemptWait.maxMs, (deadlineAtMs - sinceMs) * firstAttemptWait.share);

/** Time from the first token of a usual answer to its last. */
export const answerMs = (profile: EngineProfile): number => slotHoldMs(profile) * answerShare;

/**
 * Decides whether a request without an engine may wait. First attempts are refused
 * soon, with a retry time. A caller retry has no further retry: if refused, all of
 * these would be lost after a power loss (six in a hundred callers in a minute with
 * one) although engines are ready two seconds later. It is held if engines are
 * expected in time, and only as many are held as the engines have slots for; the
 * others are refused at once.
 */
export const decideWait = (options: WaitOptions): WaitVerdict => {
	const {profile, outlook: {readyInMs, slots}, hasComeBack, remainingMs, waitedMs, isHeld, heldCount, entryCount} = options;
	const isWithin = ({maxMs, share}: WaitLimit): boolean => waitedMs < Math.min(maxMs, (remainingMs + waitedMs) * share);
	const isLastTry = profile !== null && hasComeBack;
	// Just after a start no engine is known yet, and few callers have retried.
	const hasSlot = isHeld || slots === 0 || heldCount < slots * heldShare / entryCount;
	if (isLastTry && hasSlot) {
		const isInTime = readyInMs === null ? isWithin(retryWait) : readyInMs + readySlackMs < remainingMs - answerMs(profile);
		if (isInTime) {
			return 'held';
		}
	}

	// A caller refused at once retries when engines are ready; a caller refused after an unsuccessful wait retries later than that.
	const isTooLate = readyInMs !== null && readyInMs > firstAttemptWait.maxMs - waitedMs;
	return isWithin(firstAttemptWait) && !isTooLate ? 'brief' : 'leave';
};
