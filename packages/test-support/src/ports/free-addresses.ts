import dgram from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';

/**
 * Derives a loopback IP address that only this process uses from its process id.
 * On an address that several processes share, a port that was just free may be
 * taken before a daemon binds it, by another test's server or an outgoing
 * connection: the daemon then exits immediately, and its peers wait for it until
 * they time out. On this address only this process binds ports, and outgoing
 * connections use 127.0.0.1.
 */
export const ownLoopbackIp = (processId: number = process.pid): string => {
	// Process ids are at most 2^22, so the first of these bytes is between 1 and 64: the address is never 127.0.0.1 or a broadcast address.
	const bytes = [1 + Math.floor(processId / 65_536), Math.floor(processId / 256) % 256, processId % 256];
	return `127.${bytes.join('.')}`;
};

/**
 * Below the ephemeral ports: the operating system binds a socket that only sends
 * datagrams on all IP addresses, so any process may take an ephemeral port on this
 * address as well.
 */
const firstPort = 10_240;
const lastPort = 32_767;

let nextPort = firstPort;

const allocatePort = (): number => {
	if (nextPort > lastPort) {
		throw new Error(`all ports from ${firstPort} to ${lastPort} have been allocated`);
	}

	nextPort++;
	return nextPort - 1;
};

const isTcpPortFree = async (port: number): Promise<boolean> => new Promise(resolve => {
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

const isUdpPortFree = async (port: number): Promise<boolean> => new Promise(resolve => {
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
 * Allocates `ip:port` pairs on the IP address of this process that are free for TCP
 * and UDP, each only once, for hosts that must know each other's address before they start.
 */
export const freeAddresses = async (count: number): Promise<string[]> => {
	const addresses: string[] = [];
	while (addresses.length < count) {
		const port = allocatePort();
		if (await isTcpPortFree(port) && await isUdpPortFree(port)) {
			addresses.push(`${ownLoopbackIp()}:${port}`);
		}
	}

	return addresses;
};
