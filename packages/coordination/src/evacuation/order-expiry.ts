/**
 * Time from the receipt of an order at a control host within which the leader may append
 * it. Operators' clients give up after 1,000 ms; the remaining 200 ms cover the way of
 * the order to the control host.
 */
export const orderValidMs = 800;

/** A reading of the clock of a leader's process. */
export type LeaderClock = {
	/** Identifies the run of the process; another run has another clock. */
	readonly epoch: string;
	readonly nowMs: number;
};

/** The time, by the clock of a leader's process, from which an order must not be appended. */
export type OrderExpiry = {readonly epoch: string; readonly atMs: number};

/**
 * The expiry of an order, derived from a reading of the leader's clock that was requested
 * after the receipt of the order. Times of receipt are by the clock of the receiving host.
 * The whole duration of the reading is subtracted, so the order expires at most
 * `orderValidMs` after its receipt, however that duration was spent.
 */
export const orderExpiry = (reading: LeaderClock, {receivedAtMs, readAtMs}: {readonly receivedAtMs: number; readonly readAtMs: number}): OrderExpiry => ({
	epoch: reading.epoch, atMs: reading.nowMs + orderValidMs - (readAtMs - receivedAtMs),
});

/** Whether an order may still be appended by the leader whose clock shows `leader`. */
export const isOrderInTime = (expiry: OrderExpiry, leader: LeaderClock): boolean => expiry.epoch === leader.epoch && leader.nowMs < expiry.atMs;
