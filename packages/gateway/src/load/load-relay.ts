import type {LoadMessage, LoadReport} from './load-report.js';
import type {RelayPlan} from './relay-plan.js';

export type LoadRelayOptions = {
	plan(): RelayPlan;
	/** How much longer than at its best an agent's way to this entry takes now. */
	delayMs(endpointAddress: string): number;
	send(message: LoadMessage, addresses: readonly string[]): void;
};

/** Passes on between entries what agents report to a few of them. */
export type LoadRelay = {
	hear(message: LoadMessage, nowMs: number): void;
	/** One turn: sends what has been reported in the own zone to those beside this entry, and every few turns to the other zones. */
	tell(nowMs: number): void;
};

/** How often each relay tells those beside it; two of them make it twice as often. */
export const turnMs = 100;
/** How often each relay sends a digest to other zones; one alone still keeps what these know from getting old. */
export const digestEveryMs = 200;
const turnsPerDigest = digestEveryMs / turnMs;
/** An engine that was reported on longer ago than this is left out: its host stands still or is cut off, and the others must find that out. */
const silentMs = 400;
/** Reports in a datagram: about 35 bytes each, which fit into one packet. */
const mostReports = 32;

type Heard = {readonly report: LoadReport; readonly atMs: number; isPassed: boolean};

export const createLoadRelay = ({plan, delayMs, send}: LoadRelayOptions): LoadRelay => {
	const heard = new Map<string, Heard>();
	let turns = 0;

	const forget = (nowMs: number): void => {
		for (const [address, {atMs}] of heard) {
			if (nowMs - atMs > silentMs) {
				heard.delete(address);
			}
		}
	};

	const sendAll = (kind: LoadMessage['kind'], chosen: readonly Heard[], addresses: readonly string[], nowMs: number): void => {
		if (addresses.length === 0) {
			return;
		}

		const reports = chosen.map(({report, atMs}): LoadReport => ({
			...report, way: {type: 'relayed', ageMs: nowMs - atMs, delayMs: delayMs(report.endpointAddress)},
		}));
		for (let from = 0; from < reports.length; from += mostReports) {
			send({kind, reports: reports.slice(from, from + mostReports)}, addresses);
		}
	};

	const tellNear = (nowMs: number): void => {
		const fresh = [...heard.values()].filter(({isPassed}) => !isPassed);
		for (const each of fresh) {
			each.isPassed = true;
		}

		sendAll('passed', fresh, plan().nearAddresses, nowMs);
	};

	return {
		hear(message, nowMs) {
			switch (message.kind) {
				case 'near': {
					for (const report of message.reports) {
						heard.set(report.endpointAddress, {report, atMs: nowMs, isPassed: false});
					}

					break;
				}

				case 'digest': {
					send({kind: 'passed', reports: message.reports}, plan().nearAddresses);
					break;
				}

				// Whoever sent these has told everybody.
				case 'far':
				case 'passed': {
					break;
				}
			}
		},
		tell(nowMs) {
			turns++;
			forget(nowMs);
			if (plan().passesNear) {
				tellNear(nowMs);
			}

			if (turns % turnsPerDigest === 0) {
				sendAll('digest', [...heard.values()], plan().farAddresses, nowMs);
			}
		},
	};
};
