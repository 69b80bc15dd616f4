import dgram from 'node:dgram';
import {parseAddress} from '@bitternpaddle/transport';
import {encodeLoadMessage, type LoadMessage} from './load-report.js';

/** Parsed address; cached because hundreds of datagrams are sent per second. */
type Target = {readonly host: string; readonly port: number};

/** Sends datagrams without confirmation of delivery. */
export type DatagramSender = {send(data: Uint8Array, addresses: readonly string[]): void};

/** Sends load messages; lost ones are superseded by the next. */
export type LoadSender = {send(message: LoadMessage, addresses: readonly string[]): void};

export const createDatagramSender = (socket: dgram.Socket): DatagramSender => {
	const targets = new Map<string, Target>();
	const targetOf = (address: string): Target => {
		const known = targets.get(address);
		if (known !== undefined) {
			return known;
		}

		const {host, port} = parseAddress(address);
		const target = {host, port};
		targets.set(address, target);
		return target;
	};

	return {
		send(data, addresses) {
			for (const address of addresses) {
				const {host, port} = targetOf(address);
				socket.send(data, port, host);
			}
		},
	};
};

export const createLoadSender = (sender: DatagramSender): LoadSender => ({
	send(message, addresses) {
		sender.send(encodeLoadMessage(message), addresses);
	},
});

/** Creates a socket for sending only. */
export const createSendingSocket = (): dgram.Socket => {
	const socket = dgram.createSocket('udp4');
	socket.unref();
	// A datagram to an unreachable host may cause an error on the socket; later datagrams are sent regardless.
	socket.on('error', () => undefined);
	return socket;
};
