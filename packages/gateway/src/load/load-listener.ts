import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import {parseAddress} from '@bitternpaddle/transport';
import {decodeLoadMessage, type LoadMessage, type LoadReport} from './load-report.js';
import {
	createDatagramSender, createLoadSender, type DatagramSender, type LoadSender,
} from './load-socket.js';

export type LoadListenerOptions = {
	readonly listen: string;
	/** Called with reports that are newer than the last one received on the same engine. */
	onReport(report: LoadReport): void;
	onMessage(message: LoadMessage): void;
	/** Called with datagrams that are not load messages; returns `false` if the kind is unknown. @default every kind is unknown */
	onOtherDatagram?(data: Buffer): boolean;
	onError(error: Error): void;
};

/** Receives load reports from agents, directly or relayed by other entries; drops outdated ones. */
export type LoadListener = LoadSender & {
	/** Sends datagrams of other kinds. */
	readonly datagrams: DatagramSender;
	close(): void;
};

/** Starts of an agent whose late reports are still recognized. */
const maxEndedEpochs = 4;

export const createLoadListener = async ({
	listen, onReport, onMessage, onOtherDatagram = () => false, onError,
}: LoadListenerOptions): Promise<LoadListener> => {
	const newest = new Map<string, {epoch: number; sequence: number; readonly endedEpochs: readonly number[]}>();
	const socket = dgram.createSocket('udp4');

	const isLate = ({endpointAddress, epoch, sequence}: LoadReport): boolean => {
		const last = newest.get(endpointAddress);
		if (last?.epoch !== epoch) {
			const endedEpochs = last === undefined ? [] : [last.epoch, ...last.endedEpochs].slice(0, maxEndedEpochs);
			if (last?.endedEpochs.includes(epoch)) {
				return true;
			}

			newest.set(endpointAddress, {epoch, sequence, endedEpochs});
			return false;
		}

		if (last.sequence >= sequence) {
			return true;
		}

		last.sequence = sequence;
		return false;
	};

	const receive = (data: Buffer): void => {
		const message = decodeLoadMessage(data);
		if (message === null) {
			if (!onOtherDatagram(data)) {
				onError(new Error('received a datagram of unknown kind'));
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

	socket.on('message', receive);
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
