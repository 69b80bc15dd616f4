import net from 'node:net';
import {parseAddress} from './address.js';

const responseTimeoutMs = 250;

/** Whether the host of an address refuses connections because nothing listens there; `false` if it does not respond. */
export const isRefusingConnections = async (address: string): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect(parseAddress(address));
	const finish = (isRefusing: boolean): void => {
		socket.destroy();
		resolve(isRefusing);
	};

	socket.setTimeout(responseTimeoutMs, () => {
		finish(false);
	});
	socket.once('connect', () => {
		finish(false);
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		finish(error.code === 'ECONNREFUSED');
	});
});
