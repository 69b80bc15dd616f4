import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parseAddress} from './address.js';

/** Binds a server to `ip:port`; resolves with the bound address, rejects if it is in use. */
export const listenOn = async (server: Server, address: string): Promise<string> => {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
};
