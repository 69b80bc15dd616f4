import type {VersionDue} from '@bitternpaddle/coordination';
import {ignore} from '@bitternpaddle/transport';
import type {WatchResult} from './methods.js';

/** The versions of weights that were named, and when this process learned of each. */
export type WantedVersions = {
	recordResult(result: Pick<WatchResult, 'versions' | 'freshAgeMs'>, nowMs: number): void;
	/** Whether the newest version is confirmed, or the maximum wait for confirmation has passed. */
	isDetermined(nowMs: number): boolean;
	/** The newest named version; 0 if there is none. */
	newest(model: string): number;
	/** Time since a version was named; `null` if it never was. */
	ageMs(model: string, version: number, nowMs: number): number | null;
	/** For each version, the time from which requests must begin on it. */
	dues(model: string): readonly VersionDue[];
};

/** Maximum delay from the acknowledgement of a version until this process learns of it: an inter-region latency and a busy core host. */
const updateLatencyMs = 150;

/**
 * Core hosts that have just started know only their last snapshot until they have
 * elected a leader, 0.7 s after their start. A process that relied on them, or assumed
 * that no version was ever named, would start with outdated weights: after a power
 * loss, all hosts would fetch an old version for two seconds and overwrite the chunks
 * that survived, and the last engine would serve two seconds later. An election takes
 * up to 1.2 s from the start of the second core host; without a quorum, this limit ends
 * the wait.
 */
const maxUndeterminedMs = 4000;

export type WantedVersionsOptions = {
	/** Time from the naming of a version until requests must begin on it. */
	readonly dueMs: number;
	/** When this process started to follow the core. */
	readonly startedAtMs: number;
	/** Called when this process hears of a version for the first time, with the time since it was named. @default nothing */
	onNamed?(named: WatchResult['versions'][number]): void;
};

export const createWantedVersions = ({dueMs, startedAtMs, onNamed = ignore}: WantedVersionsOptions): WantedVersions => {
	let isConfirmed = false;
	const known = new Map<string, Map<number, number>>();
	const dues = new Map<string, readonly VersionDue[]>();

	/** Forgets versions that are older than one that is due: that one excludes all that they exclude. */
	const forgetPast = (since: Map<number, number>, nowMs: number): void => {
		const newestDue = Math.max(...[...since].filter(([, sinceMs]) => sinceMs + dueMs - updateLatencyMs <= nowMs).map(([version]) => version));
		for (const version of since.keys()) {
			if (version < newestDue) {
				since.delete(version);
			}
		}
	};

	return {
		recordResult({versions, freshAgeMs}, nowMs) {
			isConfirmed ||= freshAgeMs !== null;
			for (const {model, version, ageMs} of versions) {
				const since = known.get(model) ?? new Map<number, number>();
				if (!since.has(version) && version > Math.max(0, ...since.keys())) {
					onNamed({model, version, ageMs});
				}

				since.set(version, Math.min(since.get(version) ?? Number.POSITIVE_INFINITY, nowMs - ageMs));
				known.set(model, since);
			}

			for (const [model, since] of known) {
				forgetPast(since, nowMs);
				dues.set(model, [...since].map(([named, sinceMs]) => ({version: named, dueAtMs: sinceMs + dueMs - updateLatencyMs})));
			}
		},
		isDetermined: nowMs => isConfirmed || nowMs - startedAtMs >= maxUndeterminedMs,
		newest: model => Math.max(0, ...known.get(model)?.keys() ?? []),
		ageMs(model, version, nowMs) {
			const sinceMs = known.get(model)?.get(version);
			return sinceMs === undefined ? null : nowMs - sinceMs;
		},
		dues: model => dues.get(model) ?? [],
	};
};
