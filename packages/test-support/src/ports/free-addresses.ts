import dgram from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';

/**
 * An IP number of loopback that only this process uses, from its id. A port
 * that was free a moment ago on an IP number that several processes share may
 * be taken before a daemon binds it, by another test's server or for an
 * outgoing connection: the daemon then ends at once, and its peers wait for it
 * in vain. Here only this process binds ports, and outgoing connections leave
 * from 127.0.0.1.
 */
export const ownLoopbackIp = (processId: number = process.pid): string => {
	// Ids go up to 2^22, so the first byte stays between 1 and 64: never 127.0.0.1's, nor a broadcast address.
	const bytes = [1 + Math.floor(processId / 65_536), Math.floor(processId / 256) % 256, processId % 256];
	return `127.${bytes.join('.')}`;
};

/**
 * Below the ports that the system chooses itself: it binds a socket that only sends
 * datagrams on all IP numbers, so any process may take such a port here as well.
 */
const firstPort = 10_240;
const lastPort = 32_767;

let nextPort = firstPort;

const takePort = (): number => {
	if (nextPort > lastPort) {
		throw new Error(`all ports from ${firstPort} to ${lastPort} have been given out`);
	}

	nextPort++;
	return nextPort - 1;
};

const isFreeForStreams = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, ownLoopbackIp(), () => {
		server.close(() => {
			resolve(true);
		});
	});
});

const isFreeForDatagrams = async (port: number): Promise<boolean> => new Promise(resolve => {
	const socket = dgram.createSocket('udp4');
	socket.once('error', () => {
		socket.close();
		resolve(false);
	});
	socket.bind(port, ownLoopbackIp(), () => {
		socket.close(() => {
			resolve(true);
		});
	});
});

/**
 * `ip:port` pairs on this process's own IP number, free for streams and for
 * datagrams, each given out once: for hosts that must know each other's before they start.
 */
export const freeAddresses = async (count: number): Promise<string[]> => {
	const addresses: string[] = [];
	while (addresses.length < count) {
		const port = takePort();
		if (await isFreeForStreams(port) && await isFreeForDatagrams(port)) {
			addresses.push(`${ownLoopbackIp()}:${port}`);
		}
	}

	return addresses;
};
