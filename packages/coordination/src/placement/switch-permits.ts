/**
 * Limits how many engines leave service at once to load a version. All engines receive
 * new weights at about the same time; if all switched together, none would serve, and
 * one by one they would be late.
 */
export type SwitchPermits = {readonly holders: Map<string, {readonly serviceName: string; readonly untilMs: number}>};

/** Share of a service's engines that may be out of service at once: three waves fit between the arrival of the last chunk and the time by which a version is due. */
const maxSwitchingShare = 1 / 3;
/** A permit that is not returned expires: an engine finishes its running requests, which takes a second or so, and loads. */
const permitTimeoutMs = 3000;

export const createSwitchPermits = (): SwitchPermits => ({holders: new Map()});

export const returnPermit = ({holders}: SwitchPermits, holder: string): void => {
	holders.delete(holder);
};

/** Takes a permit, or renews it, if `holder` may switch now; `engineCount` is the total number of serving engines. */
export const takePermit = ({holders}: SwitchPermits, {holder, serviceName, engineCount}: {holder: string; serviceName: string; engineCount: number}, nowMs: number): boolean => {
	for (const [other, {untilMs}] of holders) {
		if (untilMs <= nowMs) {
			holders.delete(other);
		}
	}

	const others = [...holders].filter(([other, permit]) => other !== holder && permit.serviceName === serviceName).length;
	if (others >= Math.max(1, Math.floor(engineCount * maxSwitchingShare))) {
		return false;
	}

	holders.set(holder, {serviceName, untilMs: nowMs + permitTimeoutMs});
	return true;
};
