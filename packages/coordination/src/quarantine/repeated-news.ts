import type {Clearance, CrashLedger, CrashSighting} from './crash-ledger.js';

/** Sightings and clearances are sent again for this long; by then, they have reached all entries in reach. Verdicts are sent for as long as they are kept. */
const recentMs = 5000;
const maxClearances = 64;

/** What an entry sends to others repeatedly: the evidence of its verdicts and the recent sightings of other requests. */
export const sightingsToRepeat = ({ends, verdicts}: CrashLedger, nowMs: number): CrashSighting[] => {
	const evidence = [...verdicts.values()].flatMap(verdict => verdict.evidence.map(exit => ({fingerprint: verdict.fingerprint, ...exit})));
	const recent = ends.filter(exit => exit.culprit === null && nowMs - exit.atMs < recentMs)
		.flatMap(({address, atMs, suspects}) => [...suspects].map(([fingerprint, stage]) => ({
			fingerprint, address, atMs, stage,
		})));
	return [...evidence, ...recent];
};

/** Requests that recently ran to completion, the latest last. */
export const clearancesToRepeat = ({clearedAtMs}: CrashLedger, nowMs: number): Clearance[] => [...clearedAtMs]
	.filter(([, atMs]) => nowMs - atMs < recentMs)
	.map(([fingerprint, atMs]) => ({fingerprint, atMs}))
	.slice(-maxClearances);
