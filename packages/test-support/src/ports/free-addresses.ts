import {createServer, type AddressInfo, type Server} from 'node:net';
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

const handedOut = new Set<number>();

const listenOnFreePort = async (): Promise<Server> => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, ownLoopbackIp(), () => {
		resolve(server);
	});
});

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

/**
 * `ip:port` pairs on this process's own IP number, chosen by the system and
 * each given out once: for control hosts, which must know each other's before
 * they start.
 */
export const freeAddresses = async (count: number): Promise<string[]> => {
	const servers: Server[] = [];
	const ports: number[] = [];
	while (ports.length < count) {
		// Kept open meanwhile, so that the system picks another one each time.
		const server = await listenOnFreePort();
		servers.push(server);
		if (!handedOut.has(portOf(server))) {
			handedOut.add(portOf(server));
			ports.push(portOf(server));
		}
	}

	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports.map(port => `${ownLoopbackIp()}:${port}`);
};
