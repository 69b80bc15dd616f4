/**
 * The part of the latency objective that the estimated wait of a request may use up
 * for it to be admitted, learned from the requests that were admitted before.
 *
 * Answers the following load: more arrives than engines can begin for seconds, so every
 * estimate is near the limit. Estimates are older than the queues that they describe, and
 * with a fixed limit of 0.8 a quarter of the admitted requests were late. Engines are as
 * busy with a shorter queue, so a stricter limit serves as many requests, and more of
 * them in time.
 */
export type StartShare = {share: number};

/** The share while few admitted requests are late; estimates are off by a fifth even then. */
export const maxStartShare = 0.8;
/** With a stricter limit, the engines' queues run empty between two reports. */
const minStartShare = 0.45;
/** Share of admitted requests that may be late; a caller that is refused early can still be served elsewhere or later. */
const toleratedLateShare = 0.08;
/** Change after a late request: a hundred requests, which an entry has in two seconds, move the share by its whole range. */
const stepShare = 0.015;

export const createStartShare = (): StartShare => ({share: maxStartShare});

export type StartDelay = {
	/** Time from the arrival of the request to its first token, without the prefill of its prompt beyond that of a usual one. */
	readonly tookMs: number;
	readonly objectiveMs: number;
};

/**
 * Records a request that was admitted as a first attempt. The steps up and down balance
 * when the tolerated share is late.
 */
export const recordStartDelay = (start: StartShare, {tookMs, objectiveMs}: StartDelay): void => {
	const step = tookMs > objectiveMs ? -stepShare * (1 - toleratedLateShare) : stepShare * toleratedLateShare;
	start.share = Math.min(maxStartShare, Math.max(minStartShare, start.share + step));
};
