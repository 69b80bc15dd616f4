import {
	isCrashingPart, minExits, surpriseOf, type PartEvidence,
} from './judge-part.js';
import {modelOfPart, type PromptPart} from './prompt-part.js';

/** A run that broke when its endpoint exited. Times are by the reader's monotonic clock. */
export type PartSighting = {
	readonly address: string;
	readonly atMs: number;
	/** Equal for requests with the same content. */
	readonly request: string;
	/** All of one model. */
	readonly parts: readonly PromptPart[];
	/** The entry whose attempt broke. */
	readonly seenBy: string;
	/** Whether its answer had begun only just before, or not at all: a part crashes its endpoints when they begin to write. */
	readonly isFresh: boolean;
};

/** How long an answer that has just begun is fresh. */
const freshMs = 1000;

export const isFreshRun = (answeringMs: number): boolean => answeringMs <= freshMs;

/** One exit of an endpoint, with the runs that it broke. */
export type PartExit = {
	readonly address: string;
	readonly atMs: number;
	readonly model: string;
	/** By request. */
	readonly runs: Map<string, Pick<PartSighting, 'parts' | 'seenBy' | 'isFresh'>>;
	/** The verdict that explains it. */
	attributedTo: PartVerdict | null;
};

export type PartVerdictEvidence = Pick<PartSighting, 'address' | 'atMs' | 'seenBy'>;

/** Quarantines prompt parts: a request with all of them is sent to no endpoint. */
export type PartVerdict = {
	/** More than one only if they were in the same requests at all exits and in no completed run since. */
	parts: readonly PromptPart[];
	/** The first exit. A completed run after it clears a part. */
	readonly sinceMs: number;
	/** Exits attributed to the parts, the latest last; only the last `maxEvidence` are kept. */
	readonly evidence: PartVerdictEvidence[];
	/** When requests with the parts may be tried again. */
	untilMs: number;
};

type Completion = {atMs: number; /** Kept until then. */ keptUntilMs: number; /** Sent to other entries until then. */ repeatedUntilMs: number};

/** Number of runs that completed in the period that begins at `fromMs`. */
type CompletionCount = {readonly fromMs: number; count: number};

/**
 * The prompt parts of runs that broke at recent exits of endpoints, what speaks for and
 * against each of them, and the parts that crash their endpoints. Empty as long as no
 * endpoint exits.
 */
export type PartLedger = {
	/** Oldest first. */
	readonly exits: PartExit[];
	/** Includes expired verdicts during their probation; by `keyOfParts`. */
	readonly verdicts: Map<string, PartVerdict>;
	/** When a run with the part last completed. */
	readonly completions: Map<PromptPart, Completion>;
	/** Completed runs by model, whatever their parts; oldest first. */
	readonly completionCounts: Map<string, CompletionCount[]>;
	/** The parts at all exits and in all verdicts. */
	readonly parts: Set<PromptPart>;
};

/** Sightings at one address within this time belong to one exit: endpoints take longer to restart. */
const sameExitMs = 500;
/** Exits within this time count as one moment. */
const sameMomentMs = 250;
const exitRetentionMs = 600_000;
/** A verdict holds for this long after the last exit, so that a repaired endpoint is tried again. */
const verdictDurationMs = 600_000;
/** For this long after a verdict expires, one more exit renews it. */
const probationMs = 3_600_000;
const completionRetentionMs = 60_000;
/** By then, an update has reached all entries in reach. */
const repeatedMs = 5000;
const countPeriodMs = 500;
/** After this time, all entries have reported the runs that broke at an exit. */
const settledMs = 300;
/** Exits at which only some parts of a verdict were present that narrow it to these. */
const minFurtherExits = 2;
/** Runs without these parts that must complete meanwhile; otherwise a part that most requests share could remain. */
const minFurtherCompletions = 8;
const maxExits = 128;
const maxRuns = 64;
const maxVerdicts = 64;
const maxCompletions = 1024;
const maxModels = 64;
const maxEvidence = 8;

export const createPartLedger = (): PartLedger => ({
	exits: [], verdicts: new Map(), completions: new Map(), completionCounts: new Map(), parts: new Set(),
});

export const hasPartRecords = ({exits, verdicts}: PartLedger): boolean => exits.length > 0 || verdicts.size > 0;

/** Whether exits of the last minute are not attributed to any part yet, so that completed runs are evidence. */
export const isUndecided = ({exits}: PartLedger, nowMs: number): boolean => exits.some(({attributedTo, atMs}) => attributedTo === null && nowMs - atMs < completionRetentionMs);

/** Those of a request's parts that the ledger has records of. */
export const knownParts = (ledger: PartLedger, parts: readonly PromptPart[]): PromptPart[] => parts.filter(part => ledger.parts.has(part));

export const keyOfParts = (parts: readonly PromptPart[]): string => parts.toSorted().join(',');

const hasAll = (parts: readonly PromptPart[], required: readonly PromptPart[]): boolean => required.every(part => parts.includes(part));

/** The verdict in force on some of a request's parts; `null` if there is none. */
export const partVerdictOn = (ledger: PartLedger, parts: readonly PromptPart[], nowMs: number): PartVerdict | null => {
	if (ledger.verdicts.size === 0) {
		return null;
	}

	const known = knownParts(ledger, parts);
	return known.length === 0 ? null : [...ledger.verdicts.values()].find(verdict => nowMs < verdict.untilMs && hasAll(known, verdict.parts)) ?? null;
};

const dropOldest = <Key>(map: Map<Key, unknown>, maxSize: number): void => {
	for (const key of map.keys()) {
		if (map.size <= maxSize) {
			return;
		}

		map.delete(key);
	}
};

const indexParts = ({exits, verdicts, parts}: PartLedger): void => {
	parts.clear();
	for (const {runs} of exits) {
		for (const run of runs.values()) {
			for (const part of run.parts) {
				parts.add(part);
			}
		}
	}

	for (const verdict of verdicts.values()) {
		for (const part of verdict.parts) {
			parts.add(part);
		}
	}
};

/** Removes expired records, and the oldest of those beyond the limits. */
export const prunePartLedger = (ledger: PartLedger, nowMs: number): void => {
	const {exits, verdicts, completions, completionCounts} = ledger;
	exits.splice(0, exits.length, ...exits.filter(({atMs}) => nowMs - atMs <= exitRetentionMs).slice(-maxExits));
	for (const [key, {untilMs}] of verdicts) {
		if (nowMs >= untilMs + probationMs) {
			verdicts.delete(key);
		}
	}

	for (const [part, {keptUntilMs}] of completions) {
		if (nowMs >= keptUntilMs) {
			completions.delete(part);
		}
	}

	for (const [model, counts] of completionCounts) {
		const kept = counts.filter(({fromMs}) => nowMs - fromMs <= exitRetentionMs);
		if (exits.length === 0 || kept.length === 0) {
			completionCounts.delete(model);
		} else {
			counts.splice(0, counts.length, ...kept);
		}
	}

	dropOldest(verdicts, maxVerdicts);
	dropOldest(completions, maxCompletions);
	dropOldest(completionCounts, maxModels);
	indexParts(ledger);
};

const isSameExit = (exit: {readonly address: string; readonly atMs: number}, {address, atMs}: {readonly address: string; readonly atMs: number}): boolean =>
	exit.address === address && Math.abs(exit.atMs - atMs) < sameExitMs;

const hasRunWith = ({runs}: PartExit, parts: readonly PromptPart[]): boolean => [...runs.values()].some(run => hasAll(run.parts, parts));

const addExit = (exits: PartExit[], {address, atMs, parts}: PartSighting): PartExit => {
	const exit: PartExit = {
		address, atMs, model: modelOfPart(parts[0]!), runs: new Map(), attributedTo: null,
	};
	const later = exits.findIndex(other => other.atMs > atMs);
	exits.splice(later === -1 ? exits.length : later, 0, exit);
	return exit;
};

const isCleared = ({completions}: PartLedger, part: PromptPart, sinceMs: number): boolean => (completions.get(part)?.atMs ?? Number.NEGATIVE_INFINITY) > sinceMs;

const addEvidence = (verdict: PartVerdict, {address, atMs, seenBy}: PartVerdictEvidence): void => {
	if (!verdict.evidence.some(known => isSameExit(known, {address, atMs}))) {
		verdict.evidence.push({address, atMs, seenBy});
		verdict.evidence.sort((a, b) => a.atMs - b.atMs);
		verdict.evidence.splice(0, Math.max(0, verdict.evidence.length - maxEvidence));
	}

	verdict.untilMs = Math.max(verdict.untilMs, atMs + verdictDurationMs);
};

const changeParts = ({verdicts, exits}: PartLedger, verdict: PartVerdict, parts: readonly PromptPart[]): void => {
	verdicts.delete(keyOfParts(verdict.parts));
	verdict.parts = parts;
	if (parts.length > 0) {
		verdicts.set(keyOfParts(parts), verdict);
		return;
	}

	for (const exit of exits.filter(({attributedTo}) => attributedTo === verdict)) {
		exit.attributedTo = null;
	}
};

/** Attributes an exit to the verdicts on parts of a run that broke there; returns those that had expired. */
const attribute = ({verdicts}: PartLedger, exit: PartExit, sighting: PartSighting): PartVerdict[] => {
	const renewed: PartVerdict[] = [];
	for (const verdict of verdicts.values()) {
		if (sighting.atMs >= verdict.sinceMs && hasAll(sighting.parts, verdict.parts)) {
			if (sighting.atMs >= verdict.untilMs) {
				renewed.push(verdict);
			}

			exit.attributedTo ??= verdict;
			addEvidence(verdict, sighting);
		}
	}

	return renewed;
};

export type PartLedgerUpdate = {
	/** Sightings that were not known before. */
	readonly sightings: readonly PartSighting[];
	/** Verdicts that are renewed. */
	readonly verdicts: readonly PartVerdict[];
};

/** Records runs that broke at exits; extends the verdicts on their parts. */
export const addPartSightings = (ledger: PartLedger, sightings: readonly PartSighting[], nowMs: number): PartLedgerUpdate => {
	const verdicts = new Set<PartVerdict>();
	const recorded = sightings.filter(sighting => {
		const {parts, request, seenBy, atMs, isFresh} = sighting;
		if (parts.length === 0 || nowMs - atMs > exitRetentionMs) {
			return false;
		}

		const exit = ledger.exits.find(each => isSameExit(each, sighting)) ?? addExit(ledger.exits, sighting);
		if (exit.runs.has(request) || exit.runs.size >= maxRuns) {
			return false;
		}

		exit.runs.set(request, {parts, seenBy, isFresh});
		for (const part of parts) {
			ledger.parts.add(part);
		}

		for (const verdict of attribute(ledger, exit, sighting)) {
			verdicts.add(verdict);
		}

		return true;
	});
	if (ledger.exits.length > maxExits) {
		prunePartLedger(ledger, nowMs);
	}

	return {sightings: recorded, verdicts: [...verdicts]};
};

/** Unattributed exits at which fresh runs with the part broke since one with it last completed, oldest first. */
type Suspect = {readonly part: PromptPart; readonly exits: Set<PartExit>; readonly requests: Set<string>; brokenRuns: number};

const freshRunsOf = ({runs}: PartExit): Array<[string, {readonly parts: readonly PromptPart[]}]> => [...runs].filter(([, {isFresh}]) => isFresh);

const suspectsOf = (ledger: PartLedger, exits: readonly PartExit[]): Suspect[] => {
	const suspects = new Map<PromptPart, Suspect>();
	for (const exit of exits) {
		for (const [request, {parts}] of freshRunsOf(exit)) {
			for (const part of parts) {
				if (!isCleared(ledger, part, exit.atMs)) {
					const suspect = suspects.get(part) ?? {
						part, exits: new Set(), requests: new Set(), brokenRuns: 0,
					};
					suspects.set(part, suspect);
					suspect.exits.add(exit);
					suspect.requests.add(request);
					suspect.brokenRuns++;
				}
			}
		}
	}

	return [...suspects.values()].filter(suspect => suspect.exits.size >= minExits);
};

const countMoments = (exits: readonly PartExit[]): number => {
	let moments = 0;
	let lastMs = Number.NEGATIVE_INFINITY;
	for (const {atMs} of exits) {
		if (atMs - lastMs >= sameMomentMs) {
			moments++;
			lastMs = atMs;
		}
	}

	return moments;
};

const sumOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

const countCompletions = ({completionCounts}: PartLedger, model: string, sinceMs: number): number => {
	let sum = 0;
	for (const {fromMs, count} of completionCounts.get(model) ?? []) {
		sum += fromMs >= sinceMs ? count : 0;
	}

	return sum;
};

const evidenceOf = (ledger: PartLedger, exits: readonly PartExit[], {exits: own, requests, brokenRuns}: Suspect): PartEvidence => {
	const [first] = own;
	const {atMs: sinceMs, model} = first!;
	const untilMs = [...own].at(-1)!.atMs;
	const others = exits.filter(exit => exit.model === model && exit.atMs >= sinceMs && exit.atMs <= untilMs && !own.has(exit));
	const exitSizes = [...own].map(exit => freshRunsOf(exit).length);
	const otherExitSizes = others.map(exit => freshRunsOf(exit).length);
	return {
		exits: own.size, otherExits: others.length, requests: requests.size, moments: countMoments([...own]), exitSizes, otherExitSizes,
		brokenRuns: sumOf([...exitSizes, ...otherExitSizes]), brokenRunsWithPart: brokenRuns, completions: countCompletions(ledger, model, sinceMs),
	};
};

/** The parts that are in all runs with the suspected one that broke, and in no run that completed since: nothing tells them apart. */
const inseparableParts = (ledger: PartLedger, {part, exits}: Suspect): PromptPart[] => {
	const [first] = exits;
	const runs = [...exits].flatMap(exit => freshRunsOf(exit).map(([, run]) => run).filter(({parts}) => parts.includes(part)));
	return runs[0]!.parts.filter(other => other === part || (!isCleared(ledger, other, first!.atMs) && runs.every(({parts}) => parts.includes(other))));
};

const condemn = (ledger: PartLedger, suspect: Suspect): PartVerdict => {
	const {part, exits} = suspect;
	const [first] = exits;
	const parts = inseparableParts(ledger, suspect);
	const verdict: PartVerdict = {
		parts, sinceMs: first!.atMs, evidence: [], untilMs: Number.NEGATIVE_INFINITY,
	};
	for (const exit of exits) {
		exit.attributedTo = verdict;
		const run = [...exit.runs.values()].find(each => each.parts.includes(part))!;
		addEvidence(verdict, {address: exit.address, atMs: exit.atMs, seenBy: run.seenBy});
	}

	ledger.verdicts.set(keyOfParts(parts), verdict);
	return verdict;
};

/** Parts of a verdict in fresh runs that broke at an exit. */
const partsAt = ({parts}: PartVerdict, exit: PartExit): PromptPart[] => parts.filter(part => freshRunsOf(exit).some(([, run]) => run.parts.includes(part)));

/** Removes the parts from a verdict without which further endpoints exit: they were in the requests by coincidence. */
const narrowVerdict = (ledger: PartLedger, verdict: PartVerdict, nowMs: number): boolean => {
	const further = ledger.exits.filter(({attributedTo, atMs}) => attributedTo === null && atMs >= verdict.sinceMs && nowMs - atMs >= settledMs)
		.filter(exit => !hasRunWith(exit, verdict.parts));
	const exitsOf = (part: PromptPart): PartExit[] => further.filter(exit => partsAt(verdict, exit).includes(part));
	const [most] = verdict.parts.map(part => exitsOf(part)).toSorted((a, b) => b.length - a.length);
	if (most === undefined || most.length < minFurtherExits) {
		return false;
	}

	const remaining = verdict.parts.filter(part => exitsOf(part).length === most.length);
	const [{atMs: sinceMs, model}] = most as [PartExit];
	if (remaining.length === verdict.parts.length || countCompletions(ledger, model, sinceMs) < minFurtherCompletions) {
		return false;
	}

	changeParts(ledger, verdict, remaining);
	for (const exit of most) {
		exit.attributedTo = verdict;
		addEvidence(verdict, {address: exit.address, atMs: exit.atMs, seenBy: [...exit.runs.values()].find(({parts}) => hasAll(parts, remaining))?.seenBy ?? ''});
	}

	return true;
};

/** Narrows verdicts on several parts to those that further exits have in common; returns the changed ones. */
export const narrowVerdicts = (ledger: PartLedger, nowMs: number): PartVerdict[] => [...ledger.verdicts.values()].filter(verdict => verdict.parts.length > 1 && narrowVerdict(ledger, verdict, nowMs));

/** A verdict, with the evidence for it and the exits that it explains. */
export type NewPartVerdict = {readonly verdict: PartVerdict; readonly evidence: PartEvidence; readonly exits: readonly PartExit[]};

type JudgedSuspect = {readonly suspect: Suspect; readonly evidence: PartEvidence};

/** Whether another part explains the same exits and more, or the same with fewer runs, so that the part may only have been in the same requests. */
const isDominated = ({suspect, evidence}: JudgedSuspect, others: readonly JudgedSuspect[]): boolean => others.some(other =>
	(other.suspect.exits.size > suspect.exits.size || other.evidence.brokenRunsWithPart < evidence.brokenRunsWithPart)
	&& [...suspect.exits].every(exit => other.suspect.exits.has(exit)));

/** The part that the most evidence speaks against. */
const findCrashingPart = (ledger: PartLedger, nowMs: number): JudgedSuspect | undefined => {
	const exits = ledger.exits.filter(({attributedTo, atMs}) => attributedTo === null && nowMs - atMs >= settledMs);
	const suspects = suspectsOf(ledger, exits).map(suspect => ({suspect, evidence: evidenceOf(ledger, exits, suspect)}));
	return suspects
		.filter(judged => isCrashingPart(judged.evidence) && !isDominated(judged, suspects))
		.toSorted((a, b) => surpriseOf(b.evidence) - surpriseOf(a.evidence))[0];
};

/** Reaches the verdicts for which there is enough evidence now. */
export const judgeParts = (ledger: PartLedger, nowMs: number): NewPartVerdict[] => {
	const verdicts: NewPartVerdict[] = [];
	for (let found = findCrashingPart(ledger, nowMs); found !== undefined; found = findCrashingPart(ledger, nowMs)) {
		const {suspect, evidence} = found;
		verdicts.push({verdict: condemn(ledger, suspect), evidence, exits: [...suspect.exits]});
	}

	return verdicts;
};

/** Counts runs of a model that completed at `atMs` or up to half a second later. */
export const countPartCompletions = ({completionCounts}: PartLedger, model: string, count: number, atMs: number): void => {
	const counts = completionCounts.get(model) ?? [];
	completionCounts.set(model, counts);
	const period = counts.findLast(({fromMs}) => fromMs <= atMs && atMs - fromMs < countPeriodMs);
	if (period === undefined) {
		counts.push({fromMs: atMs, count});
	} else {
		period.count += count;
	}
};

/** Records that a run with a part completed; returns the verdicts that this lifts or extends to more requests. */
export const clearPart = (ledger: PartLedger, part: PromptPart, atMs: number, nowMs: number): PartVerdict[] => {
	const known = ledger.completions.get(part);
	if (known !== undefined && known.atMs >= atMs) {
		return [];
	}

	const completion: Completion = {atMs, keptUntilMs: Math.max(known?.keptUntilMs ?? 0, nowMs + completionRetentionMs), repeatedUntilMs: nowMs + repeatedMs};
	ledger.completions.delete(part);
	ledger.completions.set(part, completion);
	const changed = [...ledger.verdicts.values()].filter(({parts, sinceMs}) => parts.includes(part) && atMs > sinceMs);
	for (const verdict of changed) {
		// Another entry that has not heard of the completion may still send the verdict.
		completion.keptUntilMs = Math.max(completion.keptUntilMs, verdict.untilMs);
		changeParts(ledger, verdict, verdict.parts.filter(other => other !== part));
	}

	return changed;
};

/** Adopts the verdict of another entry as far as no completed run that is known here contradicts it; returns it if that changes which requests are refused. */
export const adoptPartVerdict = (ledger: PartLedger, {parts, sinceMs, evidence, untilMs}: PartVerdict, nowMs: number): PartVerdict | null => {
	const cleared = parts.filter(part => isCleared(ledger, part, sinceMs));
	for (const part of cleared) {
		ledger.completions.get(part)!.repeatedUntilMs = nowMs + repeatedMs;
	}

	const remaining = parts.filter(part => !cleared.includes(part));
	if (remaining.length === 0 || nowMs >= untilMs + probationMs) {
		return null;
	}

	const covering = [...ledger.verdicts.values()].find(verdict => hasAll(remaining, verdict.parts));
	const isNew = covering === undefined || (nowMs >= covering.untilMs && nowMs < untilMs);
	const verdict: PartVerdict = covering ?? {
		parts: remaining, sinceMs, evidence: [], untilMs,
	};
	for (const exit of evidence) {
		addEvidence(verdict, exit);
	}

	for (const exit of ledger.exits.filter(each => evidence.some(known => isSameExit(each, known)) || (each.atMs >= verdict.sinceMs && hasRunWith(each, verdict.parts)))) {
		exit.attributedTo ??= verdict;
	}

	if (covering === undefined) {
		for (const wider of ledger.verdicts.values()) {
			if (hasAll(wider.parts, remaining)) {
				ledger.verdicts.delete(keyOfParts(wider.parts));
			}
		}

		ledger.verdicts.set(keyOfParts(remaining), verdict);
		for (const part of remaining) {
			ledger.parts.add(part);
		}

		dropOldest(ledger.verdicts, maxVerdicts);
	}

	return isNew ? verdict : null;
};

/** Sightings to send to other entries again: recent ones that are not explained yet. */
export const partSightingsToRepeat = ({exits}: PartLedger, nowMs: number): PartSighting[] => exits
	.filter(({attributedTo, atMs}) => attributedTo === null && nowMs - atMs < repeatedMs)
	.flatMap(({address, atMs, runs}) => [...runs].map(([request, run]) => ({
		address, atMs, request, ...run,
	})));

/** Completions to send to other entries again. */
export const partCompletionsToRepeat = ({completions}: PartLedger, nowMs: number): Array<{readonly part: PromptPart; readonly atMs: number}> => [...completions]
	.filter(([, {repeatedUntilMs}]) => nowMs < repeatedUntilMs)
	.map(([part, {atMs}]) => ({part, atMs}));
