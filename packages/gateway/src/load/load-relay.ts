import type {LoadMessage, LoadReport} from './load-report.js';
import type {RelayPlan} from './relay-plan.js';

export type LoadRelayOptions = {
	plan(): RelayPlan;
	/** How much longer than at its best an agent's way to this entry takes now. */
	delayMs(endpointAddress: string): number;
	send(message: LoadMessage, addresses: readonly string[]): void;
};

/** Passes on between zones what agents report to the entries beside them. */
export type LoadRelay = {
	hear(message: LoadMessage, nowMs: number): void;
	/** Sends what has been reported in the own zone to the other zones. */
	tell(nowMs: number): void;
};

/** How often each relay sends a digest; two of them make it twice as often, and one alone still keeps what the other zones know from getting old. */
export const digestEveryMs = 300;
/** An engine that was reported on longer ago than this is left out: its host stands still or is cut off, and the others must find that out. */
const silentMs = 400;
/** Reports in a datagram: about 35 bytes each, which fit into one packet. */
const mostReports = 32;

type Heard = {readonly report: LoadReport; readonly atMs: number};

export const createLoadRelay = ({plan, delayMs, send}: LoadRelayOptions): LoadRelay => {
	const heard = new Map<string, Heard>();

	const digest = (nowMs: number): LoadReport[] => {
		const reports: LoadReport[] = [];
		for (const [address, {report, atMs}] of heard) {
			if (nowMs - atMs > silentMs) {
				heard.delete(address);
				continue;
			}

			reports.push({...report, way: {type: 'relayed', ageMs: nowMs - atMs, delayMs: delayMs(address)}});
		}

		return reports;
	};

	return {
		hear(message, nowMs) {
			switch (message.kind) {
				case 'near': {
					for (const report of message.reports) {
						heard.set(report.endpointAddress, {report, atMs: nowMs});
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
			const {farAddresses} = plan();
			const reports = digest(nowMs);
			for (let from = 0; from < reports.length && farAddresses.length > 0; from += mostReports) {
				send({kind: 'digest', reports: reports.slice(from, from + mostReports)}, farAddresses);
			}
		},
	};
};
