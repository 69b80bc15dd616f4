/** Hosts that an entry cannot get answers from. Told to control, which weighs it against its own silence. */
export type FailingHosts = {
	note(hostId: string, hasAnswered: boolean): void;
	list(): string[];
};

/** A failure counts for this long unless the host answers. */
const failureKeptMs = 30_000;
const maxListed = 1000;

export const createFailingHosts = (now: () => number = () => performance.now()): FailingHosts => {
	const failedAtMs = new Map<string, number>();
	return {
		note(hostId, hasAnswered) {
			failedAtMs.delete(hostId);
			if (!hasAnswered) {
				failedAtMs.set(hostId, now());
			}
		},
		list() {
			for (const [hostId, atMs] of failedAtMs) {
				if (now() - atMs > failureKeptMs) {
					failedAtMs.delete(hostId);
				}
			}

			return [...failedAtMs.keys()].toSorted().slice(0, maxListed);
		},
	};
};
