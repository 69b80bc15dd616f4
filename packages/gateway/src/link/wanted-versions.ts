import type {VersionDue} from '@bitternpaddle/coordination';
import type {WatchResult} from './methods.js';

/** Which weights were named, and since when this process knows it. */
export type WantedVersions = {
	hear(result: Pick<WatchResult, 'versions' | 'freshAgeMs'>, nowMs: number): void;
	/** Whether it is known which version is the newest, or nobody could tell for long. */
	isSettled(nowMs: number): boolean;
	/** The newest version that was named; 0 if none was. */
	newest(model: string): number;
	/** How long a version has been known here; `null` if it never was named. */
	ageMs(model: string, version: number, nowMs: number): number | null;
	/** From when on each version must be begun on. */
	dues(model: string): readonly VersionDue[];
};

/** This process heard of a version up to this much later than its acknowledgement: a crossing between regions, and a busy core host. */
const newsMs = 150;

/**
 * Core hosts that have just started know their last snapshot only, until they
 * have elected a leader: 0.7 s after their start. A process that believes them, or
 * that no version was ever named, begins with weights that nobody wants: after a
 * loss of power all hosts draw an old version for two seconds, and what they draw
 * takes the place of chunks that have outlived the loss; the last engine serves two
 * seconds later. An election takes up to 1.2 s behind the start of the second
 * core host; without a quorum this ends the wait.
 */
const unsettledMs = 4000;

export type WantedVersionsOptions = {
	/** From the naming of a version until it must be begun on. */
	readonly dueMs: number;
	/** When this process began to listen. */
	readonly startedAtMs: number;
};

export const createWantedVersions = ({dueMs, startedAtMs}: WantedVersionsOptions): WantedVersions => {
	let isSure = false;
	const known = new Map<string, Map<number, number>>();
	const dues = new Map<string, readonly VersionDue[]>();
	return {
		hear({versions, freshAgeMs}, nowMs) {
			isSure ||= freshAgeMs !== null;
			for (const {model, version, ageMs} of versions) {
				const since = known.get(model) ?? new Map<number, number>();
				since.set(version, Math.min(since.get(version) ?? Number.POSITIVE_INFINITY, nowMs - ageMs));
				known.set(model, since);
				dues.set(model, [...since].map(([named, sinceMs]) => ({version: named, dueAtMs: sinceMs + dueMs - newsMs})));
			}
		},
		isSettled: nowMs => isSure || nowMs - startedAtMs >= unsettledMs,
		newest: model => Math.max(0, ...known.get(model)?.keys() ?? []),
		ageMs(model, version, nowMs) {
			const sinceMs = known.get(model)?.get(version);
			return sinceMs === undefined ? null : nowMs - sinceMs;
		},
		dues: model => dues.get(model) ?? [],
	};
};
