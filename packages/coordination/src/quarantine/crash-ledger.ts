import type {AnswerStage, BrokenAttempt} from './broken-attempts.js';
import {isCrashCause} from './judge-suspect.js';
import {outlineIn, type RequestFingerprint, type RequestOutline} from './request-fingerprint.js';

/** A request was at an endpoint when that exited; times are by the reader's monotonic clock. */
export type CrashSighting = BrokenAttempt;

/** A request ran to completion at some endpoint. */
export type Clearance = {readonly fingerprint: RequestFingerprint; readonly atMs: number};

/** One exit of an endpoint, with the requests that were there. */
export type EndpointExit = {
	readonly address: string;
	readonly atMs: number;
	/** The requests that were there, with the progress of each. */
	readonly suspects: Map<RequestFingerprint, AnswerStage>;
	/** The request that the exit is attributed to, or `promptPart`; `null` if the evidence identifies none. */
	culprit: RequestFingerprint | typeof promptPart | null;
};

/** Culprit of an exit that is attributed to a part of a prompt. */
const promptPart = 'prompt part';

/** Quarantines a request: it is sent to no endpoint. */
export type Verdict = {
	readonly fingerprint: RequestFingerprint;
	readonly sinceMs: number;
	/** The exits attributed to it, the latest last; only the last `maxEvidence` are kept. */
	readonly evidence: Array<Omit<CrashSighting, 'fingerprint'>>;
	/** When the request may be tried again. */
	untilMs: number;
};

/**
 * The requests that were present at recent exits of endpoints, and those that caused
 * them. Sightings only add to it, in any order and any number of times, so that all
 * entries reach the same verdicts.
 */
export type CrashLedger = {
	/** Oldest first, except those attributed to a request long ago. */
	readonly ends: EndpointExit[];
	/** Includes expired verdicts during their probation. */
	readonly verdicts: Map<RequestFingerprint, Verdict>;
	/** When each request last ran to completion; earlier sightings are ignored. */
	readonly clearedAtMs: Map<RequestFingerprint, number>;
	/** The outlines of all suspects and verdicts. */
	readonly outlines: Set<RequestOutline>;
};

/** Fewer exits than this quarantine no request. */
const minExits = 3;
/** Sightings at one address within this time belong to one exit: endpoints take longer to restart. */
const sameExitMs = 500;
/** A verdict holds for this long after the last exit, so that a repaired endpoint is tried again. */
const verdictDurationMs = 600_000;
/** For this long after a verdict expires, one more exit renews it. */
const probationMs = 3_600_000;
const exitRetentionMs = 600_000;
/** Exits this close to each other may have a common cause. */
const correlationWindowMs = 10_000;
const clearanceRetentionMs = 60_000;
const maxExits = 256;
const maxSuspects = 128;
const maxVerdicts = 256;
const maxClearances = 1024;
/** More than any verdict requires. */
const maxEvidence = 8;

export const createCrashLedger = (): CrashLedger => ({
	ends: [], verdicts: new Map(), clearedAtMs: new Map(), outlines: new Set(),
});

/** Whether a request with this outline may be in the ledger; otherwise its body need not be hashed. */
export const mayHaveRecords = ({outlines}: CrashLedger, outline: RequestOutline): boolean => outlines.has(outline);

export const isEmpty = ({ends, verdicts}: CrashLedger): boolean => ends.length === 0 && verdicts.size === 0;

/** The verdict on a request, if one is in force. */
export const verdictOn = ({verdicts}: CrashLedger, fingerprint: RequestFingerprint, nowMs: number): Verdict | null => {
	const verdict = verdicts.get(fingerprint);
	return verdict !== undefined && nowMs < verdict.untilMs ? verdict : null;
};

const rebuildOutlines = ({ends, verdicts, outlines}: CrashLedger): void => {
	outlines.clear();
	for (const {suspects} of ends) {
		for (const fingerprint of suspects.keys()) {
			outlines.add(outlineIn(fingerprint));
		}
	}

	for (const fingerprint of verdicts.keys()) {
		outlines.add(outlineIn(fingerprint));
	}
};

const dropOldest = <Key>(map: Map<Key, unknown>, maxSize: number): void => {
	for (const key of map.keys()) {
		if (map.size <= maxSize) {
			return;
		}

		map.delete(key);
	}
};

/** Removes expired records, and the oldest of those beyond the limits. */
export const pruneLedger = (ledger: CrashLedger, nowMs: number): void => {
	const {ends, verdicts, clearedAtMs} = ledger;
	const kept = ends.filter(({atMs, suspects}) => nowMs - atMs <= exitRetentionMs && suspects.size > 0).slice(-maxExits);
	ends.splice(0, ends.length, ...kept);
	for (const [fingerprint, {untilMs}] of verdicts) {
		if (nowMs >= untilMs + probationMs) {
			verdicts.delete(fingerprint);
		}
	}

	for (const [fingerprint, atMs] of clearedAtMs) {
		if (nowMs - atMs > clearanceRetentionMs) {
			clearedAtMs.delete(fingerprint);
		}
	}

	dropOldest(verdicts, maxVerdicts);
	dropOldest(clearedAtMs, maxClearances);
	rebuildOutlines(ledger);
};

/** Of several copies at one exit, the one that may have caused it counts, not one that waited behind it. */
const stageRank: Record<AnswerStage, number> = {waiting: 0, answering: 1, begun: 2};

const findExit = (exits: readonly EndpointExit[], {address, atMs}: CrashSighting): EndpointExit | undefined => exits.find(exit => exit.address === address && Math.abs(exit.atMs - atMs) < sameExitMs);

const addExit = (exits: EndpointExit[], {address, atMs}: CrashSighting): EndpointExit => {
	const exit: EndpointExit = {
		address, atMs, suspects: new Map(), culprit: null,
	};
	const later = exits.findIndex(other => other.atMs > atMs);
	exits.splice(later === -1 ? exits.length : later, 0, exit);
	return exit;
};

/** Extends the verdict on a request that was at one more exit; returns `true` if the verdict had expired. */
const extendVerdict = (verdict: Verdict, {address, atMs, stage}: CrashSighting): boolean => {
	if (verdict.evidence.some(known => known.address === address && Math.abs(known.atMs - atMs) < sameExitMs)) {
		return false;
	}

	const hadExpired = atMs >= verdict.untilMs;
	verdict.evidence.push({address, atMs, stage});
	verdict.evidence.sort((a, b) => a.atMs - b.atMs);
	verdict.evidence.splice(0, Math.max(0, verdict.evidence.length - maxEvidence));
	verdict.untilMs = Math.max(verdict.untilMs, atMs + verdictDurationMs);
	return hadExpired;
};

/** Records one sighting; returns `false` if it was known. A verdict that it renews is added to `renewed`. */
const recordSighting = ({ends, verdicts, clearedAtMs}: CrashLedger, sighting: CrashSighting, renewed: Verdict[]): boolean => {
	const {fingerprint, atMs} = sighting;
	if (atMs <= (clearedAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY)) {
		return false;
	}

	const exit = findExit(ends, sighting) ?? addExit(ends, sighting);
	const known = exit.suspects.get(fingerprint);
	if (known === undefined ? exit.suspects.size >= maxSuspects : stageRank[sighting.stage] <= stageRank[known]) {
		return false;
	}

	exit.suspects.set(fingerprint, sighting.stage);
	const verdict = verdicts.get(fingerprint);
	if (verdict !== undefined) {
		exit.culprit ??= fingerprint;
		if (extendVerdict(verdict, sighting)) {
			renewed.push(verdict);
		}
	}

	return true;
};

type Suspect = {readonly fingerprint: RequestFingerprint; readonly ends: readonly EndpointExit[]};

const isUnexplained = ({culprit, suspects}: EndpointExit): boolean => culprit === null && suspects.size > 0;

/** The requests that were present at unattributed exits, the most frequent first. */
const suspectsOf = ({ends}: CrashLedger): Suspect[] => {
	const exitsOf = new Map<RequestFingerprint, EndpointExit[]>();
	for (const exit of ends.filter(each => isUnexplained(each))) {
		for (const fingerprint of exit.suspects.keys()) {
			const known = exitsOf.get(fingerprint);
			if (known === undefined) {
				exitsOf.set(fingerprint, [exit]);
			} else {
				known.push(exit);
			}
		}
	}

	return [...exitsOf].map(([fingerprint, own]) => ({fingerprint, ends: own})).toSorted((a, b) => b.ends.length - a.ends.length);
};

/** The number of unattributed exits around those of a suspect, including its own. */
const countNearby = (ledger: CrashLedger, {fingerprint, ends}: Suspect): number => {
	const lastMs = ends.at(-1)!.atMs;
	return ledger.ends.filter(exit => isUnexplained(exit) && (exit.suspects.has(fingerprint) || (exit.atMs > lastMs - correlationWindowMs && exit.atMs <= lastMs))).length;
};

const commonStageOf = ({fingerprint, ends}: Suspect): AnswerStage | null => {
	const [first, ...further] = new Set(ends.map(({suspects}) => suspects.get(fingerprint)!));
	return further.length === 0 ? first! : null;
};

const findCulprit = (ledger: CrashLedger, quarantinedElsewhere: ReadonlySet<RequestFingerprint>): Suspect | undefined => {
	const suspects = suspectsOf(ledger);
	return suspects.find((suspect, index) => {
		const {fingerprint, ends} = suspect;
		return ends.length >= minExits && (quarantinedElsewhere.has(fingerprint) || isCrashCause({
			ends: ends.length,
			nearbyExits: countNearby(ledger, suspect),
			isMostFrequent: index === 0 && (suspects[1]?.ends.length ?? 0) < ends.length,
			commonStage: commonStageOf(suspect),
		}));
	});
};

/** Attributes the exits of a request to it; they no longer count against the other requests that were there. */
const quarantine = ({verdicts}: CrashLedger, {fingerprint, ends}: Suspect, nowMs: number): Verdict => {
	for (const exit of ends) {
		exit.culprit = fingerprint;
	}

	const verdict: Verdict = {
		fingerprint, sinceMs: nowMs, evidence: ends.map(({address, atMs, suspects}) => ({address, atMs, stage: suspects.get(fingerprint)!})).slice(-maxEvidence),
		untilMs: ends.at(-1)!.atMs + verdictDurationMs,
	};
	verdicts.set(fingerprint, verdict);
	return verdict;
};

/** Attributes exits to a prompt part; they no longer count against whole requests, and verdicts for which too few others remain are lifted. */
export const attributeToPart = ({ends, verdicts}: CrashLedger, exits: ReadonlyArray<Pick<CrashSighting, 'address' | 'atMs'>>): void => {
	const isExplained = ({address, atMs}: Pick<CrashSighting, 'address' | 'atMs'>): boolean => exits.some(exit => exit.address === address && Math.abs(exit.atMs - atMs) < sameExitMs);
	for (const end of ends.filter(each => isExplained(each))) {
		end.culprit = promptPart;
	}

	for (const [fingerprint, {evidence}] of verdicts) {
		const kept = evidence.filter(exit => !isExplained(exit));
		if (kept.length < evidence.length) {
			evidence.splice(0, evidence.length, ...kept);
			if (kept.length < minExits) {
				verdicts.delete(fingerprint);
			}
		}
	}
};

export type LedgerUpdate = {
	/** Sightings that were not known before. */
	readonly sightings: readonly CrashSighting[];
	/** Verdicts that result from them, both new and renewed. */
	readonly verdicts: readonly Verdict[];
};

const noFingerprints: ReadonlySet<RequestFingerprint> = new Set();

/** Records sightings from this entry or another, and re-evaluates the suspects. Other entries may have had more evidence, so their verdicts are adopted. */
export const addSightings = (ledger: CrashLedger, sightings: readonly CrashSighting[], nowMs: number, quarantinedElsewhere = noFingerprints): LedgerUpdate => {
	const verdicts: Verdict[] = [];
	const newSightings = sightings.filter(sighting => recordSighting(ledger, sighting, verdicts));
	const hasAllVerdicts = [...quarantinedElsewhere].every(fingerprint => ledger.verdicts.has(fingerprint));
	if (newSightings.length === 0 && hasAllVerdicts) {
		return {sightings: newSightings, verdicts: []};
	}

	for (let culprit = findCulprit(ledger, quarantinedElsewhere); culprit !== undefined; culprit = findCulprit(ledger, quarantinedElsewhere)) {
		verdicts.push(quarantine(ledger, culprit, nowMs));
	}

	pruneLedger(ledger, nowMs);
	return {sightings: newSightings, verdicts};
};

/** Discards evidence from before a completed run; lifts the verdict if too little is left. */
const discardClearedEvidence = ({verdicts}: CrashLedger, {fingerprint, atMs}: Clearance): void => {
	const verdict = verdicts.get(fingerprint);
	if (verdict === undefined) {
		return;
	}

	const kept = verdict.evidence.filter(exit => exit.atMs > atMs);
	verdict.evidence.splice(0, verdict.evidence.length, ...kept);
	if (kept.length < minExits) {
		verdicts.delete(fingerprint);
	}
};

/** Records that a request ran to completion, which shows that it does not crash its endpoints; returns `false` if that was known. */
export const clearRequest = (ledger: CrashLedger, clearance: Clearance, nowMs: number): boolean => {
	const {fingerprint, atMs} = clearance;
	const isNew = atMs > (ledger.clearedAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY);
	if (!isNew) {
		return false;
	}

	ledger.clearedAtMs.set(fingerprint, atMs);
	discardClearedEvidence(ledger, clearance);
	for (const exit of ledger.ends) {
		if (exit.atMs <= atMs && exit.suspects.delete(fingerprint) && exit.culprit === fingerprint) {
			exit.culprit = null;
		}
	}

	pruneLedger(ledger, nowMs);
	return true;
};
