import {rendezvousOrder} from '@bitternpaddle/coordination';
import type {HostReport} from '@bitternpaddle/protocol';

/** The target and contents of one watch call. */
export type WatchCall = {
	readonly address: string;
	/** Increases whenever the host switches to another control host. */
	readonly session: number;
	/** `false` to use a new connection. */
	readonly agent: false | undefined;
	/** Whether the control host already has this report. */
	readonly isReportKnown: boolean;
	/** Records whether the control host has the report after the call. */
	recordReportKnown(isKnown: boolean): void;
};

export type ControlSelector = {
	/** The call that delivers `report` now. */
	at(report: HostReport): WatchCall;
	/** Switches to the next control host after a failed call. */
	failOver(): void;
	/** All control hosts, the current one first. */
	addresses(): string[];
};

/** After this long at another control host, the preferred one is tried again; otherwise a restarted one would never get its hosts back. */
const preferredRetryMs = 60_000;

/**
 * Selects the control host that a host watches. Each host has its own order of
 * preference, so that hosts are distributed over all control hosts, and those
 * of a failed one are distributed over the remaining ones.
 */
export const createControlSelector = (controls: readonly string[], hostId: () => string): ControlSelector => {
	let position = 0;
	let switchedAtMs = 0;
	let session = Date.now();
	let knownReport: string | null = null;
	let hasFailed = false;

	const addresses = (): string[] => {
		const order = rendezvousOrder(hostId(), controls);
		const start = position % Math.max(1, order.length);
		return [...order.slice(start), ...order.slice(0, start)];
	};

	const switchTo = (to: number): void => {
		position = to;
		switchedAtMs = performance.now();
		// The session must increase even if the clock was set back.
		session = Math.max(session + 1, Date.now());
		knownReport = null;
	};

	return {
		addresses,
		at(report) {
			if (position !== 0 && performance.now() - switchedAtMs > preferredRetryMs) {
				switchTo(0);
			}

			const {revision, ...content} = report;
			const text = JSON.stringify(content);
			const callSession = session;
			return {
				address: addresses()[0]!, session, isReportKnown: knownReport === text,
				// After a failure, an idle connection of the pool may be as unusable as the one that failed.
				agent: hasFailed ? false : undefined,
				recordReportKnown(isKnown) {
					hasFailed = false;
					if (callSession === session) {
						knownReport = isKnown ? text : null;
					}
				},
			};
		},
		failOver() {
			hasFailed = true;
			switchTo(position + 1);
		},
	};
};
