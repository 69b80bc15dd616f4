import dgram from 'node:dgram';
import {parseAddress} from '@bitternpaddle/transport';
import {encodeLoadMessage, type LoadMessage} from './load-report.js';

/** Where a datagram goes, taken apart once and not at each of the hundreds that are sent in a second. */
type Target = {readonly host: string; readonly port: number};

/** Sends datagrams; none is known to arrive. */
export type DatagramSender = {send(data: Uint8Array, addresses: readonly string[]): void};

/** Sends load messages; one that is lost is followed by the next. */
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

/** A socket for sending only. */
export const createSendingSocket = (): dgram.Socket => {
	const socket = dgram.createSocket('udp4');
	socket.unref();
	// A datagram to a host that is gone may come back as an error on the socket: the next one goes to whoever is there then.
	socket.on('error', () => undefined);
	return socket;
};
