import type {AnswerStage, BrokenAttempt} from './broken-attempts.js';
import {isCondemned} from './judge-suspect.js';
import {outlineIn, type RequestFingerprint, type RequestOutline} from './request-fingerprint.js';

/** A request was at an endpoint when that ended; times are by the reader's steady clock. */
export type CrashSighting = BrokenAttempt;

/** A request ran to its end at some endpoint. */
export type Clearance = {readonly fingerprint: RequestFingerprint; readonly atMs: number};

/** One end of an endpoint, with the requests that were there. */
export type EndpointEnd = {
	readonly address: string;
	readonly atMs: number;
	/** With how far each had come. */
	readonly suspects: Map<RequestFingerprint, AnswerStage>;
	/** The request that it is put down to; `null` while none stands out. */
	culprit: RequestFingerprint | null;
};

/** A request that is sent to no endpoint. */
export type Verdict = {
	readonly fingerprint: RequestFingerprint;
	readonly sinceMs: number;
	/** The endpoints that ended under it, the latest last; the first of more than `mostEvidence` are dropped. */
	readonly evidence: Array<Omit<CrashSighting, 'fingerprint'>>;
	/** When the request is tried again. */
	untilMs: number;
};

/**
 * Which requests were at the endpoints that ended lately, and which of them ended
 * those endpoints. Grows by sightings only, in any order and any number of times,
 * so that all entries come to the same verdicts.
 */
export type CrashLedger = {
	/** Oldest first, without those that were put down to a request long ago. */
	readonly ends: EndpointEnd[];
	/** Also those that have run out, while they are on probation. */
	readonly verdicts: Map<RequestFingerprint, Verdict>;
	/** When each request was last seen to run to its end; sightings from before count no more. */
	readonly clearedAtMs: Map<RequestFingerprint, number>;
	/** Of all suspects and verdicts. */
	readonly outlines: Set<RequestOutline>;
};

/** Fewer ends than this condemn nobody. */
const leastEnds = 3;
/** Sightings of one address within this are of one end: endpoints need longer to be back. */
const sameEndMs = 500;
/** A verdict holds this long after the last end, so that a mended endpoint gets its try. */
const verdictMs = 600_000;
/** For this long behind it one more end is enough. */
const probationMs = 3_600_000;
const endsKeptMs = 600_000;
/** Ends this close to each other may have one cause. */
const seriesMs = 10_000;
const clearanceKeptMs = 60_000;
const mostEnds = 256;
const mostSuspects = 128;
const mostVerdicts = 256;
const mostClearances = 1024;
/** More than any verdict needs. */
const mostEvidence = 8;

export const createCrashLedger = (): CrashLedger => ({
	ends: [], verdicts: new Map(), clearedAtMs: new Map(), outlines: new Set(),
});

/** Whether a request with this outline may be known here; without it no body need be hashed. */
export const mayBeKnown = ({outlines}: CrashLedger, outline: RequestOutline): boolean => outlines.has(outline);

export const isEmpty = ({ends, verdicts}: CrashLedger): boolean => ends.length === 0 && verdicts.size === 0;

/** The verdict on a request, if one is in force. */
export const verdictOn = ({verdicts}: CrashLedger, fingerprint: RequestFingerprint, nowMs: number): Verdict | null => {
	const verdict = verdicts.get(fingerprint);
	return verdict !== undefined && nowMs < verdict.untilMs ? verdict : null;
};

const noteOutlines = ({ends, verdicts, outlines}: CrashLedger): void => {
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

const dropFirst = <Key>(map: Map<Key, unknown>, most: number): void => {
	for (const key of map.keys()) {
		if (map.size <= most) {
			return;
		}

		map.delete(key);
	}
};

/** Forgets what has expired, and the oldest of what is beyond the bounds. */
export const pruneLedger = (ledger: CrashLedger, nowMs: number): void => {
	const {ends, verdicts, clearedAtMs} = ledger;
	const kept = ends.filter(({atMs, suspects}) => nowMs - atMs <= endsKeptMs && suspects.size > 0).slice(-mostEnds);
	ends.splice(0, ends.length, ...kept);
	for (const [fingerprint, {untilMs}] of verdicts) {
		if (nowMs >= untilMs + probationMs) {
			verdicts.delete(fingerprint);
		}
	}

	for (const [fingerprint, atMs] of clearedAtMs) {
		if (nowMs - atMs > clearanceKeptMs) {
			clearedAtMs.delete(fingerprint);
		}
	}

	dropFirst(verdicts, mostVerdicts);
	dropFirst(clearedAtMs, mostClearances);
	noteOutlines(ledger);
};

/** Of several copies at one end, that one counts which may have ended it: not one that waited behind it. */
const stageRank: Record<AnswerStage, number> = {waiting: 0, answering: 1, begun: 2};

const findEnd = (ends: readonly EndpointEnd[], {address, atMs}: CrashSighting): EndpointEnd | undefined => ends.find(end => end.address === address && Math.abs(end.atMs - atMs) < sameEndMs);

const addEnd = (ends: EndpointEnd[], {address, atMs}: CrashSighting): EndpointEnd => {
	const end: EndpointEnd = {
		address, atMs, suspects: new Map(), culprit: null,
	};
	const later = ends.findIndex(other => other.atMs > atMs);
	ends.splice(later === -1 ? ends.length : later, 0, end);
	return end;
};

/** A condemned request was at one more end: the verdict holds on. `true` if it had run out before. */
const extendVerdict = (verdict: Verdict, {address, atMs, stage}: CrashSighting): boolean => {
	if (verdict.evidence.some(known => known.address === address && Math.abs(known.atMs - atMs) < sameEndMs)) {
		return false;
	}

	const hadRunOut = atMs >= verdict.untilMs;
	verdict.evidence.push({address, atMs, stage});
	verdict.evidence.sort((a, b) => a.atMs - b.atMs);
	verdict.evidence.splice(0, Math.max(0, verdict.evidence.length - mostEvidence));
	verdict.untilMs = Math.max(verdict.untilMs, atMs + verdictMs);
	return hadRunOut;
};

/** Takes one sighting in; `false` if it was known. A verdict that it renews is added to `renewed`. */
const takeSighting = ({ends, verdicts, clearedAtMs}: CrashLedger, sighting: CrashSighting, renewed: Verdict[]): boolean => {
	const {fingerprint, atMs} = sighting;
	if (atMs <= (clearedAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY)) {
		return false;
	}

	const end = findEnd(ends, sighting) ?? addEnd(ends, sighting);
	const known = end.suspects.get(fingerprint);
	if (known === undefined ? end.suspects.size >= mostSuspects : stageRank[sighting.stage] <= stageRank[known]) {
		return false;
	}

	end.suspects.set(fingerprint, sighting.stage);
	const verdict = verdicts.get(fingerprint);
	if (verdict !== undefined) {
		end.culprit ??= fingerprint;
		if (extendVerdict(verdict, sighting)) {
			renewed.push(verdict);
		}
	}

	return true;
};

type Suspect = {readonly fingerprint: RequestFingerprint; readonly ends: readonly EndpointEnd[]};

const isUnexplained = ({culprit, suspects}: EndpointEnd): boolean => culprit === null && suspects.size > 0;

/** Who was at ends that nobody is known to have caused, the most frequent first. */
const suspectsOf = ({ends}: CrashLedger): Suspect[] => {
	const endsOf = new Map<RequestFingerprint, EndpointEnd[]>();
	for (const end of ends.filter(each => isUnexplained(each))) {
		for (const fingerprint of end.suspects.keys()) {
			const known = endsOf.get(fingerprint);
			if (known === undefined) {
				endsOf.set(fingerprint, [end]);
			} else {
				known.push(end);
			}
		}
	}

	return [...endsOf].map(([fingerprint, own]) => ({fingerprint, ends: own})).toSorted((a, b) => b.ends.length - a.ends.length);
};

/** Unexplained ends around those of a suspect, its own among them. */
const countAround = (ledger: CrashLedger, {fingerprint, ends}: Suspect): number => {
	const lastMs = ends.at(-1)!.atMs;
	return ledger.ends.filter(end => isUnexplained(end) && (end.suspects.has(fingerprint) || (end.atMs > lastMs - seriesMs && end.atMs <= lastMs))).length;
};

const commonStageOf = ({fingerprint, ends}: Suspect): AnswerStage | null => {
	const [first, ...further] = new Set(ends.map(({suspects}) => suspects.get(fingerprint)!));
	return further.length === 0 ? first! : null;
};

const findCulprit = (ledger: CrashLedger, condemnedElsewhere: ReadonlySet<RequestFingerprint>): Suspect | undefined => {
	const suspects = suspectsOf(ledger);
	return suspects.find((suspect, index) => {
		const {fingerprint, ends} = suspect;
		return ends.length >= leastEnds && (condemnedElsewhere.has(fingerprint) || isCondemned({
			ends: ends.length,
			endsAround: countAround(ledger, suspect),
			leads: index === 0 && (suspects[1]?.ends.length ?? 0) < ends.length,
			commonStage: commonStageOf(suspect),
		}));
	});
};

/** Puts the ends of a request down to it: for all others who were there they count no more. */
const condemn = ({verdicts}: CrashLedger, {fingerprint, ends}: Suspect, nowMs: number): Verdict => {
	for (const end of ends) {
		end.culprit = fingerprint;
	}

	const verdict: Verdict = {
		fingerprint, sinceMs: nowMs, evidence: ends.map(({address, atMs, suspects}) => ({address, atMs, stage: suspects.get(fingerprint)!})).slice(-mostEvidence),
		untilMs: ends.at(-1)!.atMs + verdictMs,
	};
	verdicts.set(fingerprint, verdict);
	return verdict;
};

export type LedgerNews = {
	/** Sightings that were not known before. */
	readonly sightings: readonly CrashSighting[];
	/** Verdicts that follow from them, new ones and such as had run out. */
	readonly verdicts: readonly Verdict[];
};

const noFingerprints: ReadonlySet<RequestFingerprint> = new Set();

/** Takes sightings in, from this entry or another, and judges anew. Another entry may have had more to go by: its verdicts are taken over. */
export const takeSightings = (ledger: CrashLedger, sightings: readonly CrashSighting[], nowMs: number, condemnedElsewhere = noFingerprints): LedgerNews => {
	const verdicts: Verdict[] = [];
	const news = sightings.filter(sighting => takeSighting(ledger, sighting, verdicts));
	const isJudged = [...condemnedElsewhere].every(fingerprint => ledger.verdicts.has(fingerprint));
	if (news.length === 0 && isJudged) {
		return {sightings: news, verdicts: []};
	}

	for (let culprit = findCulprit(ledger, condemnedElsewhere); culprit !== undefined; culprit = findCulprit(ledger, condemnedElsewhere)) {
		verdicts.push(condemn(ledger, culprit, nowMs));
	}

	pruneLedger(ledger, nowMs);
	return {sightings: news, verdicts};
};

/** Drops the evidence from before a run that ended well; lifts the verdict if too little is left. */
const weaken = ({verdicts}: CrashLedger, {fingerprint, atMs}: Clearance): void => {
	const verdict = verdicts.get(fingerprint);
	if (verdict === undefined) {
		return;
	}

	const kept = verdict.evidence.filter(end => end.atMs > atMs);
	verdict.evidence.splice(0, verdict.evidence.length, ...kept);
	if (kept.length < leastEnds) {
		verdicts.delete(fingerprint);
	}
};

/** A request ran to its end, so it does not end the endpoints that run it. `false` if that was known. */
export const clearRequest = (ledger: CrashLedger, clearance: Clearance, nowMs: number): boolean => {
	const {fingerprint, atMs} = clearance;
	const isNews = atMs > (ledger.clearedAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY);
	if (!isNews) {
		return false;
	}

	ledger.clearedAtMs.set(fingerprint, atMs);
	weaken(ledger, clearance);
	for (const end of ledger.ends) {
		if (end.atMs <= atMs && end.suspects.delete(fingerprint) && end.culprit === fingerprint) {
			end.culprit = null;
		}
	}

	pruneLedger(ledger, nowMs);
	return true;
};
