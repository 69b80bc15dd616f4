/** Hosts that do not respond to an entry. Reported to control, which compares the report with how long it has not received anything from the host itself. */
export type FailingHosts = {
	recordAttempt(hostId: string, hasAnswered: boolean): void;
	list(): string[];
};

/** How long a failure counts unless the host responds. */
const failureRetentionMs = 30_000;
const maxListed = 1000;

export const createFailingHosts = (now: () => number = () => performance.now()): FailingHosts => {
	const failedAtMs = new Map<string, number>();
	return {
		recordAttempt(hostId, hasAnswered) {
			failedAtMs.delete(hostId);
			if (!hasAnswered) {
				failedAtMs.set(hostId, now());
			}
		},
		list() {
			for (const [hostId, atMs] of failedAtMs) {
				if (now() - atMs > failureRetentionMs) {
					failedAtMs.delete(hostId);
				}
			}

			return [...failedAtMs.keys()].toSorted().slice(0, maxListed);
		},
	};
};
