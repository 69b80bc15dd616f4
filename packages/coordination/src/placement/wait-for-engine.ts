import type {EngineProfile} from '@bitternpaddle/state';
import type {Random} from '../utils/random.js';
import {hasFreshReport} from './endpoint-load.js';
import {holdingMs} from './engine-model.js';
import type {Candidate} from './place-request.js';

/** What is to come of a service whose engines serve nobody now. */
export type EngineOutlook = {
	/** When the first one will most likely serve; `null` if nobody can tell. */
	readonly readyInMs: number | null;
	/** Places of all engines that their own hosts report on. */
	readonly slots: number;
};

export const engineOutlook = (candidates: readonly Candidate[], nowMs: number): EngineOutlook => {
	const reported = candidates.filter(({load}) => hasFreshReport(load, nowMs));
	const readyIns = reported.flatMap(({load: {report, reportedAtMs}}) => report!.readyInMs === null ? [] : [report!.readyInMs - (nowMs - reportedAtMs)]);
	return {
		readyInMs: readyIns.length === 0 ? null : Math.max(0, Math.min(...readyIns)),
		slots: reported.reduce((sum, {announcement: {slots}}) => sum + slots, 0),
	};
};

/** A caller that found no engine comes back once engines that load or restart have had the time. */
const unknownReturnMs = 1500;
/** Callers come back spread over this behind the first engine that is ready: the others follow within it. */
const returnSpreadMs = 500;

/** When a caller for whom there is no engine should come back. */
export const noEngineReturnMs = ({readyInMs}: EngineOutlook, random: Random): number => (readyInMs ?? unknownReturnMs) + random.between(0, returnSpreadMs);

export type WaitOptions = {
	readonly profile: EngineProfile | null;
	readonly outlook: EngineOutlook;
	/** Its caller was sent away before, and has no further try. */
	readonly hasComeBack: boolean;
	readonly remainingMs: number;
	/** How long the request has waited here. */
	readonly waitedMs: number;
	/** It was found worth holding at the look before. */
	readonly isHeld: boolean;
	/** Requests that are held here for the same engines. */
	readonly heldCount: number;
	readonly entryCount: number;
};

/** `brief`: for a moment, as engines switch. `held`: until engines that are being filled are ready; then it goes in as there is room. `leave`: it gets its final answer. */
export type WaitVerdict = 'brief' | 'held' | 'leave';

type WaitLimit = {readonly mostMs: number; /** Of what the caller had left when it came. */ readonly share: number};

/** Engines that switch or restart are out for less than this; of what a caller has left, the rest is for its next try. */
const firstWait: WaitLimit = {mostMs: 700, share: 0.15};
/** A caller that has come back has no next try: it may wait for engines whose hosts cannot tell yet, as in the first second after a loss of power. */
const lastWait: WaitLimit = {mostMs: 1500, share: 0.35};
/** An engine that is filled reads back what is staged and is told; the engines after it follow within this. */
const readySlackMs = 400;
/** Of the engines' places; the rest is for those who come first when the engines are back. */
const heldShare = 0.8;
/** Of the time for which a request holds its place when all are taken; right after a start fewer are. */
const answerShare = 0.7;

/** Until when a request may wait for an endpoint that is briefly unavailable. */
export const briefWaitEndsAtMs = ({sinceMs, deadlineAtMs}: {readonly sinceMs: number; readonly deadlineAtMs: number}): number => sinceMs
	+ Math.min(firstWait.mostMs, (deadlineAtMs - sinceMs) * firstWait.share);

/** How long a usual answer takes from its first token to its last. */
export const answerMs = (profile: EngineProfile): number => holdingMs(profile) * answerShare;

/**
 * Whether a request for which there is no engine may wait. A caller that comes for
 * the first time is sent away soon, with a time to come back. One that has come
 * back has no further try: sent away, all of those are lost after a loss of power,
 * six in a hundred of the callers of a minute with one, though engines are ready two
 * seconds later. It is held if they are expected in time, and as many are held as
 * the engines have places; the others get their final answer at once.
 */
export const decideWait = (options: WaitOptions): WaitVerdict => {
	const {profile, outlook: {readyInMs, slots}, hasComeBack, remainingMs, waitedMs, isHeld, heldCount, entryCount} = options;
	const isWithin = ({mostMs, share}: WaitLimit): boolean => waitedMs < Math.min(mostMs, (remainingMs + waitedMs) * share);
	const isLastTry = profile !== null && hasComeBack;
	// Right after a start no engine is known, and few have come back yet.
	const hasPlace = isHeld || slots === 0 || heldCount < slots * heldShare / entryCount;
	if (isLastTry && hasPlace) {
		const isInTime = readyInMs === null ? isWithin(lastWait) : readyInMs + readySlackMs < remainingMs - answerMs(profile);
		if (isInTime) {
			return 'held';
		}
	}

	// Told at once it comes back when engines are ready; told after a wait in vain, later.
	const isTooLate = readyInMs !== null && readyInMs > firstWait.mostMs - waitedMs;
	return isWithin(firstWait) && !isTooLate ? 'brief' : 'leave';
};
