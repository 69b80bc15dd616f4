import net from 'node:net';
import {parseAddress} from './address.js';

const answerMs = 250;

/** Whether the host of an address answers that nothing listens there: `false` if it says nothing. */
export const isRefusingConnections = async (address: string): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect(parseAddress(address));
	const settle = (isRefusing: boolean): void => {
		socket.destroy();
		resolve(isRefusing);
	};

	socket.setTimeout(answerMs, () => {
		settle(false);
	});
	socket.once('connect', () => {
		settle(false);
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		settle(error.code === 'ECONNREFUSED');
	});
});
