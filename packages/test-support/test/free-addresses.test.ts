import dgram from 'node:dgram';
import {readFileSync} from 'node:fs';
import {parseAddress} from '@bitternpaddle/transport';
import t from 'tap';
import {freeAddresses} from '@bitternpaddle/test-support';

// A socket that only sends datagrams gets an ephemeral port on every IP address, whichever process opens it.
t.test('allocated ports are not ephemeral ports', async t => {
	const [lowest] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/v).map(Number);
	const ports = (await freeAddresses(5)).map(address => parseAddress(address).port);
	t.ok(ports.every(port => port < lowest!), `${ports.join(', ')} below ${lowest}`);
	t.equal(new Set(ports).size, 5);
});

t.test('a port that is taken for datagrams is skipped', async t => {
	const [before] = await freeAddresses(1);
	const taken = parseAddress(before!).port + 1;
	const socket = dgram.createSocket('udp4');
	await new Promise<void>(resolve => {
		socket.bind(taken, resolve);
	});
	t.teardown(() => {
		socket.close();
	});
	const [next] = await freeAddresses(1);
	t.not(parseAddress(next!).port, taken);
});
