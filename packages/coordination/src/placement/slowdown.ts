/** A figure that the answers of an endpoint advertise, such as the slowdown of its host (1: work takes as long as usual). */
export type AgedFigure = {
	/** The newest figure. */
	latest: number;
	atMs: number;
	/** Mean of the figures, weighted by the time for which each of them stood. */
	mean: number;
	/** The time that the mean covers. */
	coveredMs: number;
};

/** A figure is not trusted beyond this age: shared hosts change every 0.6 s, so an older one is as likely outdated as not. */
export const maxFigureAgeMs = 300;
/** The mean follows a host that is slow for some seconds after a start, and still covers several changes of a shared host. */
const meanWindowMs = 5000;
/** A host that shows no figures is believed to return to its usual speed, so that an endpoint that was slow when last used is tried again. */
const returnHalfLifeMs = 2000;
/** Bounds of a figure: a nonsensical one would make every request to the endpoint unanswerable, or its learned time meaningless. */
const minSlowdown = 0.2;
const maxSlowdown = 20;

export const boundSlowdown = (figure: number): number => Math.min(maxSlowdown, Math.max(minSlowdown, figure));

/** Returns the record with a further figure. */
const recordFigure = (known: AgedFigure | null, latest: number, nowMs: number): AgedFigure => {
	if (known === null) {
		return {
			latest, atMs: nowMs, mean: latest, coveredMs: maxFigureAgeMs,
		};
	}

	// A figure stands for the time since the previous one: answers are more frequent while the host is fast.
	const standsForMs = Math.min(maxFigureAgeMs, Math.max(0, nowMs - known.atMs));
	const coveredMs = Math.min(meanWindowMs, known.coveredMs + standsForMs);
	return {
		latest, atMs: nowMs, mean: known.mean + ((latest - known.mean) * standsForMs / coveredMs), coveredMs,
	};
};

const figureAt = ({latest, atMs, mean}: AgedFigure, usual: number, nowMs: number): number => {
	const ageMs = nowMs - atMs;
	if (ageMs <= maxFigureAgeMs) {
		const weight = 1 - (Math.max(0, ageMs) / maxFigureAgeMs);
		return mean + ((latest - mean) * weight);
	}

	return usual + ((mean - usual) * (0.5 ** ((ageMs - maxFigureAgeMs) / returnHalfLifeMs)));
};

export const recordSlowdown = (known: AgedFigure | null, figure: number, nowMs: number): AgedFigure => recordFigure(known, boundSlowdown(figure), nowMs);

/**
 * The slowdown to expect now: the newest figure, which loses its weight linearly to
 * the mean of the figures until its maximum age, and then the mean, which returns to
 * 1 while no figures arrive.
 */
export const slowdownAt = (slowdown: AgedFigure, nowMs: number): number => figureAt(slowdown, 1, nowMs);

/** Bounds a nonsensical number of requests, whose mean would keep requests away for many seconds; no caller waits behind as many. */
const maxActive = 500;

/** Like `recordSlowdown`, for the requests at an endpoint. */
export const recordActive = (known: AgedFigure | null, active: number, nowMs: number): AgedFigure => recordFigure(known, Math.min(maxActive, Math.max(0, active)), nowMs);

/** The number of requests to expect at an endpoint now; returns to 0 while no figures arrive. */
export const activeAt = (active: AgedFigure, nowMs: number): number => figureAt(active, 0, nowMs);
