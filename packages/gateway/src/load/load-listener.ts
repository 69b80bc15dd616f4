import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import {parseAddress} from '@bitternpaddle/transport';
import {decodeLoadMessage, type LoadMessage, type LoadReport} from './load-report.js';
import {
	createDatagramSender, createLoadSender, type DatagramSender, type LoadSender,
} from './load-socket.js';

export type LoadListenerOptions = {
	readonly listen: string;
	/** A report that is newer than what was heard of its engine. */
	onReport(heard: LoadReport): void;
	onMessage(message: LoadMessage): void;
	/** A datagram that is no load message; `false` if it is unknown here too. @default none is known */
	onOther?(data: Buffer): boolean;
	onError(error: Error): void;
};

/** Hears load reports, from agents and by way of other entries; late ones are dropped. */
export type LoadListener = LoadSender & {
	/** Sends datagrams of other kinds. */
	readonly datagrams: DatagramSender;
	close(): void;
};

export const createLoadListener = async ({
	listen, onReport, onMessage, onOther = () => false, onError,
}: LoadListenerOptions): Promise<LoadListener> => {
	const newest = new Map<string, {epoch: number; sequence: number}>();
	const socket = dgram.createSocket('udp4');

	const isLate = ({endpointAddress, epoch, sequence}: LoadReport): boolean => {
		const before = newest.get(endpointAddress);
		if (before?.epoch === epoch && before.sequence >= sequence) {
			return true;
		}

		newest.set(endpointAddress, {epoch, sequence});
		return false;
	};

	const hear = (data: Buffer): void => {
		const message = decodeLoadMessage(data);
		if (message === null) {
			if (!onOther(data)) {
				onError(new Error('a datagram of unknown kind'));
			}

			return;
		}

		for (const report of message.reports) {
			if (!isLate(report)) {
				onReport(report);
			}
		}

		onMessage(message);
	};

	socket.on('message', hear);
	socket.on('error', onError);
	const {host, port} = parseAddress(listen);
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(port, host, resolve);
	});
	const datagrams = createDatagramSender(socket);
	return {
		...createLoadSender(datagrams), datagrams,
		close() {
			socket.close();
		},
	};
};
