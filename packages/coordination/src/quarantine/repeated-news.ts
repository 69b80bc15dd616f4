import type {Clearance, CrashLedger, CrashSighting} from './crash-ledger.js';

/** Told again besides verdicts: what is older has reached everybody who was in reach. */
const recentMs = 5000;
const mostClearances = 64;

/** What an entry tells others again: the evidence of its verdicts, and what was seen of other requests lately. */
export const sightingsToRepeat = ({ends, verdicts}: CrashLedger, nowMs: number): CrashSighting[] => {
	const evidence = [...verdicts.values()].flatMap(verdict => verdict.evidence.map(seen => ({fingerprint: verdict.fingerprint, ...seen})));
	const recent = ends.filter(end => end.culprit === null && nowMs - end.atMs < recentMs)
		.flatMap(({address, atMs, suspects}) => [...suspects].map(([fingerprint, stage]) => ({
			fingerprint, address, atMs, stage,
		})));
	return [...evidence, ...recent];
};

/** Requests that ran to their end lately, the latest last. */
export const clearancesToRepeat = ({clearedAtMs}: CrashLedger, nowMs: number): Clearance[] => [...clearedAtMs]
	.filter(([, atMs]) => nowMs - atMs < recentMs)
	.map(([fingerprint, atMs]) => ({fingerprint, atMs}))
	.slice(-mostClearances);
