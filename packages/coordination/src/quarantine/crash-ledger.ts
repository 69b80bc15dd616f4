import {outlineIn, type RequestFingerprint, type RequestOutline} from './request-fingerprint.js';

/** A request was at an endpoint when that ended. Merged from all entries. */
export type CrashSighting = {readonly fingerprint: RequestFingerprint; readonly address: string; /** By the reader's steady clock. */ readonly atMs: number};

/** A request ran to its end at some endpoint. */
export type Clearance = {readonly fingerprint: RequestFingerprint; readonly atMs: number};

/** One end of an endpoint, with the requests that were there. */
export type EndpointEnd = {
	readonly address: string;
	readonly atMs: number;
	readonly suspects: Set<RequestFingerprint>;
	/** The request that it is put down to; `null` while none stands out. */
	culprit: RequestFingerprint | null;
};

/** A request that is sent to no endpoint. */
export type Verdict = {
	readonly fingerprint: RequestFingerprint;
	readonly sinceMs: number;
	/** The endpoints that ended under it, the latest last; the first of more than `mostEvidence` are dropped. */
	readonly evidence: Array<{readonly address: string; readonly atMs: number}>;
	/** When it is tried again. */
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
	readonly verdicts: Map<RequestFingerprint, Verdict>;
	/** When each request was last seen to run to its end; sightings from before count no more. */
	readonly clearedAtMs: Map<RequestFingerprint, number>;
	/** Of all suspects and verdicts. */
	readonly outlines: Set<RequestOutline>;
};

/** Ends that must be alike before a request is refused. */
export const endsToCondemn = 3;
/** So many ends condemn a request also while others, or other causes, might explain them. */
const certainEnds = 5;
/** Sightings of one address within this are of one end: endpoints need longer to be back. */
const sameEndMs = 500;
/** A verdict holds this long after the last end, so that a mended endpoint gets its try. */
const verdictMs = 600_000;
const endsKeptMs = 600_000;
const clearanceKeptMs = 60_000;
const mostEnds = 256;
const mostSuspects = 128;
const mostVerdicts = 256;
const mostClearances = 1024;
const mostEvidence = certainEnds;

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
		for (const fingerprint of suspects) {
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
		if (nowMs >= untilMs) {
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

const findEnd = (ends: readonly EndpointEnd[], {address, atMs}: CrashSighting): EndpointEnd | undefined => ends.find(end => end.address === address && Math.abs(end.atMs - atMs) < sameEndMs);

const addEnd = (ends: EndpointEnd[], {address, atMs}: CrashSighting): EndpointEnd => {
	const end: EndpointEnd = {
		address, atMs, suspects: new Set(), culprit: null,
	};
	const later = ends.findIndex(other => other.atMs > atMs);
	ends.splice(later === -1 ? ends.length : later, 0, end);
	return end;
};

/** A condemned request was at one more end: the verdict holds on. */
const extendVerdict = (verdict: Verdict, {address, atMs}: CrashSighting): void => {
	if (verdict.evidence.some(known => known.address === address && Math.abs(known.atMs - atMs) < sameEndMs)) {
		return;
	}

	verdict.evidence.push({address, atMs});
	verdict.evidence.sort((a, b) => a.atMs - b.atMs);
	verdict.evidence.splice(0, verdict.evidence.length - mostEvidence);
	verdict.untilMs = Math.max(verdict.untilMs, atMs + verdictMs);
};

/** Takes one sighting in; `true` if it was news. */
const takeSighting = ({ends, verdicts, clearedAtMs}: CrashLedger, sighting: CrashSighting): boolean => {
	const {fingerprint, atMs} = sighting;
	if (atMs <= (clearedAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY)) {
		return false;
	}

	const end = findEnd(ends, sighting) ?? addEnd(ends, sighting);
	if (end.suspects.has(fingerprint) || end.suspects.size >= mostSuspects) {
		return false;
	}

	end.suspects.add(fingerprint);
	const verdict = verdicts.get(fingerprint);
	if (verdict !== undefined) {
		end.culprit ??= fingerprint;
		extendVerdict(verdict, sighting);
	}

	return true;
};

type Suspect = {readonly fingerprint: RequestFingerprint; readonly ends: readonly EndpointEnd[]};

/** Who was at ends that nobody is known to have caused, the most frequent first. */
const suspectsOf = ({ends}: CrashLedger): Suspect[] => {
	const endsOf = new Map<RequestFingerprint, EndpointEnd[]>();
	for (const end of ends) {
		for (const fingerprint of end.culprit === null ? end.suspects : []) {
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

/**
 * Whether the ends are this request's doing, and not only its bad luck. Where
 * endpoints end for another reason, one after the other, patient callers are at
 * several of those ends: then others are at as many, or most ends are without it.
 */
const standsOut = ({ends}: CrashLedger, suspect: Suspect, others: readonly Suspect[]): boolean => {
	const count = suspect.ends.length;
	const unexplained = ends.filter(end => end.culprit === null && end.suspects.size > 0 && end.atMs >= suspect.ends[0]!.atMs);
	return others.every(other => other === suspect || other.ends.length < count) && 2 * count >= unexplained.length;
};

const findCulprit = (ledger: CrashLedger): Suspect | undefined => {
	const suspects = suspectsOf(ledger);
	return suspects.find(suspect => suspect.ends.length >= certainEnds || (suspect.ends.length >= endsToCondemn && standsOut(ledger, suspect, suspects)));
};

/** Puts the ends of a request down to it: for all others who were there they count no more. */
const condemn = ({verdicts}: CrashLedger, {fingerprint, ends}: Suspect, nowMs: number): Verdict => {
	for (const end of ends) {
		end.culprit = fingerprint;
	}

	const verdict: Verdict = {
		fingerprint, sinceMs: nowMs, evidence: ends.map(({address, atMs}) => ({address, atMs})).slice(-mostEvidence), untilMs: ends.at(-1)!.atMs + verdictMs,
	};
	verdicts.set(fingerprint, verdict);
	return verdict;
};

export type LedgerNews = {
	/** Sightings that were not known before. */
	readonly sightings: readonly CrashSighting[];
	/** Verdicts that follow from them. */
	readonly verdicts: readonly Verdict[];
};

/** Takes sightings in, from this entry or another, and judges anew. */
export const takeSightings = (ledger: CrashLedger, sightings: readonly CrashSighting[], nowMs: number): LedgerNews => {
	const news = sightings.filter(sighting => takeSighting(ledger, sighting));
	const verdicts: Verdict[] = [];
	for (let culprit = findCulprit(ledger); culprit !== undefined; culprit = findCulprit(ledger)) {
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
	if (kept.length < endsToCondemn) {
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
