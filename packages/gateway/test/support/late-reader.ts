import {Buffer} from 'node:buffer';
import net from 'node:net';
import {parseAddress} from '@bitternpaddle/transport';
import type {Test} from 'tap';

/** A caller on a connection of its own that decides when it reads. */
export type LateReader = {
	/** Sends a request; nothing of the answer is read until `read`. */
	send(id: string, deadlineMs: number): void;
	/** Reads until the connection ends; resolves with all bytes received. */
	read(): Promise<Buffer>;
};

export const connectLateReader = async (t: Test, address: string): Promise<LateReader> => {
	const {host, port} = parseAddress(address);
	const socket = net.connect({host, port});
	socket.pause();
	socket.on('error', () => undefined);
	t.teardown(() => {
		socket.destroy();
	});
	await new Promise<void>(resolve => {
		socket.once('connect', resolve);
	});
	return {
		send(id, deadlineMs) {
			socket.write(`POST /x HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\nx-deadline: ${deadlineMs}\r\ncontent-length: 2\r\n\r\nhi`);
		},
		read: async () => new Promise(resolve => {
			const parts: Buffer[] = [];
			socket.on('data', part => {
				parts.push(part);
			});
			socket.once('close', () => {
				resolve(Buffer.concat(parts));
			});
			socket.resume();
		}),
	};
};
