import {randomInt} from 'node:crypto';
import type {EngineReport} from '@bitternpaddle/coordination';
import {createDatagramSender, createLoadSender, createSendingSocket} from './load-socket.js';
import {reportRoutes, type ZonedAddress} from './relay-plan.js';

export type LoadReporterOptions = {
	/** Address of the engine that the reports are of. */
	readonly endpointAddress: string;
	readonly zoneId: string;
	/** Entries that are told. */
	entries(): readonly ZonedAddress[];
};

/** Tells the entries how the engine fares. */
export type LoadReporter = {
	/** `isTurning`: what ends or begins service. */
	send(report: EngineReport | null, isTurning: boolean): void;
	close(): void;
};

/** Where nobody passes the agent's reports on, every second one goes to all entries. */
const farReportEvery = 2;
const mostEpoch = 0xFF_FF_FF;

/**
 * Every report goes to a few entries of the agent's own zone, which pass it on.
 * By itself the agent tells all what ends or begins service, since a tenth of a
 * second of requests would go astray until they hear of it. Sent to all by each
 * agent, reports would be half of the bytes between regions, and wake each entry
 * as often as there are engines.
 */
export const createLoadReporter = ({endpointAddress, zoneId, entries}: LoadReporterOptions): LoadReporter => {
	const epoch = randomInt(mostEpoch);
	const socket = createSendingSocket();
	const sender = createLoadSender(createDatagramSender(socket));
	let sequence = 0;
	return {
		send(report, isTurning) {
			sequence++;
			const reports = [{
				epoch, sequence, endpointAddress, report, way: {type: 'direct', sentAtMs: performance.now()},
			}] as const;
			const {type, near} = reportRoutes(zoneId, entries());
			sender.send({kind: 'near', reports}, near);
			if (isTurning || (type === 'all' && sequence % farReportEvery === 0)) {
				sender.send({kind: 'far', reports}, entries().map(({address}) => address).filter(address => !near.includes(address)));
			}
		},
		close() {
			socket.close();
		},
	};
};
