import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {randomUUID} from 'node:crypto';
import {parseAddress} from '@bitternpaddle/transport';
import {encodeLoadReport, type LoadReport} from '../entry/load-listener.js';

export type LoadReporterOptions = {
	/** Address of the engine that the reports are of. */
	readonly endpointAddress: string;
	readonly zoneId: string;
	/** Entries that are told. */
	entries(): ReadonlyArray<{readonly address: string; readonly zoneId: string}>;
};

/** Tells the entries how the engine fares; a report that is lost is followed by the next. */
export type LoadReporter = {
	/** `near`: to the entries of the own zone only, which send the most here. */
	send(report: LoadReport['report'], to: 'near' | 'all'): void;
	close(): void;
};

export const createLoadReporter = ({endpointAddress, zoneId, entries}: LoadReporterOptions): LoadReporter => {
	const epoch = randomUUID().slice(0, 8);
	const socket = dgram.createSocket('udp4');
	socket.unref();
	// A datagram to an entry that is gone may come back as an error on the socket: the next report goes to whoever is there then.
	socket.on('error', () => undefined);
	let sequence = 0;
	return {
		send(report, to) {
			sequence++;
			const data = Buffer.from(encodeLoadReport({
				epoch, sequence, endpointAddress, report, sentAtMs: Math.round(performance.now()),
			}));
			for (const {address} of entries().filter(entry => to === 'all' || entry.zoneId === zoneId)) {
				const {host, port} = parseAddress(address);
				socket.send(data, port, host);
			}
		},
		close() {
			socket.close();
		},
	};
};
