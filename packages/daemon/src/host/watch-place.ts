import {rendezvousOrder} from '@bitternpaddle/coordination';
import type {HostReport} from '@bitternpaddle/protocol';

/** Where one watch call goes, and what has to be in it. */
export type WatchCall = {
	readonly address: string;
	/** Grows whenever the host turns to another control host. */
	readonly session: number;
	/** `false`: on a fresh connection. */
	readonly agent: false | undefined;
	/** The control host has this report already. */
	readonly isTold: boolean;
	/** Notes whether the control host knows the report now. */
	tell(isKnown: boolean): void;
};

export type WatchPlace = {
	at(report: HostReport): WatchCall;
	/** The last call failed: turn to the next control host. */
	leave(): void;
	/** All control hosts, the present one first. */
	all(): string[];
};

/** After this long at another control host the first choice is tried again, or a restarted one would never get its hosts back. */
const returnMs = 60_000;

/**
 * Chooses the control host at which a host watches. Each host has its own
 * order, so that hosts spread over all of them, and those of a lost one
 * spread over the rest.
 */
export const createWatchPlace = (controls: readonly string[], hostId: () => string): WatchPlace => {
	let position = 0;
	let leftAtMs = 0;
	let session = Date.now();
	let told: string | null = null;
	let hasFailed = false;

	const all = (): string[] => {
		const order = rendezvousOrder(hostId(), controls);
		const start = position % Math.max(1, order.length);
		return [...order.slice(start), ...order.slice(0, start)];
	};

	const turn = (to: number): void => {
		position = to;
		leftAtMs = performance.now();
		// The clock may have been set back; the session may not go back with it.
		session = Math.max(session + 1, Date.now());
		told = null;
	};

	return {
		all,
		at(report) {
			if (position !== 0 && performance.now() - leftAtMs > returnMs) {
				turn(0);
			}

			const {revision, ...content} = report;
			const text = JSON.stringify(content);
			const calledIn = session;
			return {
				address: all()[0]!, session, isTold: told === text,
				// After a failure an idle connection of the pool may be as silent as the one that failed.
				agent: hasFailed ? false : undefined,
				tell(isKnown) {
					hasFailed = false;
					if (calledIn === session) {
						told = isKnown ? text : null;
					}
				},
			};
		},
		leave() {
			hasFailed = true;
			turn(position + 1);
		},
	};
};
