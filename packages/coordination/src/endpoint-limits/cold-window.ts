/** The bound on a cold endpoint's requests applies to any second. */
export const coldWindowMs = 1000;

/** Requests that leave entries at their usual pace may arrive closer together by this, for example on new connections. */
export const arrivalJitterMs = 25;

/** A permit expires this long after its request was sent: several times the round trip, and less than a tenth of the window that it takes up. */
export const coldPermitLifetimeMs = 60;

/** Removes the times that no longer count at `nowMs`; `timesMs` is sorted. */
export const dropBefore = (timesMs: number[], fromMs: number): void => {
	const keptFrom = timesMs.findIndex(atMs => atMs > fromMs);
	timesMs.splice(0, keptFrom === -1 ? timesMs.length : keptFrom);
};
