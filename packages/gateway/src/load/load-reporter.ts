import {randomInt} from 'node:crypto';
import type {EngineReport} from '@bitternpaddle/coordination';
import {createDatagramSender, createLoadSender, createSendingSocket} from './load-socket.js';
import {reportRoutes, type ZonedAddress} from './relay-plan.js';

export type LoadReporterOptions = {
	/** Address of the engine that is reported on. */
	readonly endpointAddress: string;
	readonly zoneId: string;
	/** Entries that receive the reports. */
	entries(): readonly ZonedAddress[];
};

/** Sends load reports on an engine to the entries. */
export type LoadReporter = {
	/** `changesService`: whether the report means that the engine starts or stops serving. */
	send(report: EngineReport | null, changesService: boolean): void;
	close(): void;
};

/** Without relays, one in this many reports is sent to the entries of other zones as well. */
const remoteReportEvery = 2;
const maxEpoch = 0xFF_FF_FF;

/**
 * Sends every report to a few entries of the agent's own zone, which relay it. Reports
 * on the start or stop of service are sent to all entries directly, because relaying
 * takes about 100 ms, in which requests would be sent to the wrong engines. If every
 * agent sent all reports to all entries, they would be half of the bytes between
 * regions and wake each entry once per engine.
 */
export const createLoadReporter = ({endpointAddress, zoneId, entries}: LoadReporterOptions): LoadReporter => {
	const epoch = randomInt(maxEpoch);
	const socket = createSendingSocket();
	const sender = createLoadSender(createDatagramSender(socket));
	let sequence = 0;
	return {
		send(report, changesService) {
			sequence++;
			const reports = [{
				epoch, sequence, endpointAddress, report, delivery: {type: 'direct', sentAtMs: performance.now()},
			}] as const;
			const {type, localAddresses} = reportRoutes(zoneId, entries());
			sender.send({kind: 'near', reports}, localAddresses);
			if (changesService || (type === 'all' && sequence % remoteReportEvery === 0)) {
				sender.send({kind: 'far', reports}, entries().map(({address}) => address).filter(address => !localAddresses.includes(address)));
			}
		},
		close() {
			socket.close();
		},
	};
};
