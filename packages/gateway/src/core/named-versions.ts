import type {WatchResult} from '../link/methods.js';

type NamedVersion = WatchResult['versions'][number];

/** How long a version is reported after a newer one was named: far longer than a deployment gives for any version to be in place. */
const supersededMs = 10 * 60_000;
/** Bounds what is reported for a model whose versions are named in quick succession. */
const maxVersionsPerModel = 64;

/** The versions of weights that were named, and when they became known to any core host that this one has heard of. */
export type NamedVersions = {
	/** Records the newest version of each model in the log. */
	recordLog(versions: Readonly<Record<string, number>>): void;
	/** Records what another core host reports: it may have known a version for longer, or one that this host's log no longer states. */
	recordReported(versions: readonly NamedVersion[]): void;
	/** All versions that followers may still need; each of them becomes due by itself. */
	report(): NamedVersion[];
};

export const createNamedVersions = ({nowMs}: {nowMs(): number}): NamedVersions => {
	const sinceMs = new Map<string, Map<number, number>>();

	const record = (model: string, version: number, atMs: number): void => {
		const known = sinceMs.get(model) ?? new Map<number, number>();
		known.set(version, Math.min(known.get(version) ?? Number.POSITIVE_INFINITY, atMs));
		sinceMs.set(model, known);
	};

	const prune = (known: Map<number, number>): void => {
		const newestFirst = [...known.keys()].toSorted((a, b) => b - a);
		for (const [index, version] of newestFirst.entries()) {
			const isSuperseded = newestFirst.slice(0, index).some(newer => nowMs() - known.get(newer)! > supersededMs);
			if (isSuperseded || index >= maxVersionsPerModel) {
				known.delete(version);
			}
		}
	};

	return {
		recordLog(versions) {
			for (const [model, version] of Object.entries(versions)) {
				record(model, version, nowMs());
			}
		},
		recordReported(versions) {
			for (const {model, version, ageMs} of versions) {
				record(model, version, nowMs() - ageMs);
			}
		},
		report() {
			for (const known of sinceMs.values()) {
				prune(known);
			}

			return [...sinceMs].flatMap(([model, known]) => [...known].map(([version, atMs]) => ({model, version, ageMs: nowMs() - atMs})));
		},
	};
};
