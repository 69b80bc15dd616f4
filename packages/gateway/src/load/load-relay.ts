import type {LoadMessage, LoadReport} from './load-report.js';
import type {RelayPlan} from './relay-plan.js';

export type LoadRelayOptions = {
	plan(): RelayPlan;
	/** Current delay of the path from an agent to this entry, above the lowest delay observed. */
	delayMs(endpointAddress: string): number;
	send(message: LoadMessage, addresses: readonly string[]): void;
};

/** Relays the reports that agents send to a few entries to the other entries. */
export type LoadRelay = {
	receive(message: LoadMessage, nowMs: number): void;
	/** Must be called every `relayIntervalMs`. Sends new reports of the own zone to the other entries of the zone, and every few calls a digest to the other zones. */
	tick(nowMs: number): void;
};

/** Interval at which each relay sends to its zone; with two relays per zone, entries receive twice as often. */
export const relayIntervalMs = 100;
/** Interval at which each relay sends a digest to other zones; a single relay still suffices to keep the reports there fresh. */
export const digestIntervalMs = 200;
const ticksPerDigest = digestIntervalMs / relayIntervalMs;
/** Engines without a report for this long are omitted: their host is stalled or disconnected, and the other entries must be able to detect that. */
const silentMs = 400;
/** At 40 to 62 bytes per report, keeps a datagram within one packet. */
const maxReportsPerDatagram = 22;

type TrackedReport = {readonly report: LoadReport; readonly atMs: number; isRelayed: boolean};

export const createLoadRelay = ({plan, delayMs, send}: LoadRelayOptions): LoadRelay => {
	const tracked = new Map<string, TrackedReport>();
	let ticks = 0;

	const dropSilent = (nowMs: number): void => {
		for (const [address, {atMs}] of tracked) {
			if (nowMs - atMs > silentMs) {
				tracked.delete(address);
			}
		}
	};

	const sendAll = (kind: LoadMessage['kind'], chosen: readonly TrackedReport[], addresses: readonly string[], nowMs: number): void => {
		if (addresses.length === 0) {
			return;
		}

		const reports = chosen.map(({report, atMs}): LoadReport => ({
			...report, delivery: {type: 'relayed', ageMs: nowMs - atMs, delayMs: delayMs(report.endpointAddress)},
		}));
		for (let from = 0; from < reports.length; from += maxReportsPerDatagram) {
			send({kind, reports: reports.slice(from, from + maxReportsPerDatagram)}, addresses);
		}
	};

	const sendLocally = (nowMs: number): void => {
		const unrelayed = [...tracked.values()].filter(({isRelayed}) => !isRelayed);
		for (const each of unrelayed) {
			each.isRelayed = true;
		}

		sendAll('passed', unrelayed, plan().localAddresses, nowMs);
	};

	return {
		receive(message, nowMs) {
			switch (message.kind) {
				case 'near': {
					for (const report of message.reports) {
						tracked.set(report.endpointAddress, {report, atMs: nowMs, isRelayed: false});
					}

					break;
				}

				case 'digest': {
					send({kind: 'passed', reports: message.reports}, plan().localAddresses);
					break;
				}

				// The sender has sent these to every entry concerned.
				case 'far':
				case 'passed': {
					break;
				}
			}
		},
		tick(nowMs) {
			ticks++;
			dropSilent(nowMs);
			if (plan().relaysLocally) {
				sendLocally(nowMs);
			}

			if (ticks % ticksPerDigest === 0) {
				sendAll('digest', [...tracked.values()], plan().remoteAddresses, nowMs);
			}
		},
	};
};
