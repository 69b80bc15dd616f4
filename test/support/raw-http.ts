import {Buffer} from 'node:buffer';
import net from 'node:net';

export type RawAnswer = {
	/** `null` when the connection was closed without an answer. */
	readonly status: number | null;
	readonly text: string;
	readonly body: string;
};

/** Sends bytes as they are and reads until the other side closes, or `waitMs` after the last byte sent. */
export const sendRaw = async (address: string, parts: ReadonlyArray<string | Uint8Array>, waitMs = 2000): Promise<RawAnswer> => new Promise(resolve => {
	const [host, port] = address.split(':') as [string, string];
	const received: Uint8Array[] = [];
	const socket = net.connect({host, port: Number(port)}, () => {
		for (const part of parts) {
			socket.write(part);
		}
	});
	const timer = setTimeout(() => {
		socket.destroy();
	}, waitMs);
	socket.on('data', data => {
		received.push(data);
	});
	// A reset after the answer is the other side's way to stop a sender; what was read counts.
	socket.on('error', () => undefined);
	socket.on('close', () => {
		clearTimeout(timer);
		const text = new TextDecoder().decode(Buffer.concat(received));
		const status = /^HTTP\/1\.1 (?<status>\d{3})/v.exec(text)?.groups?.status;
		resolve({status: status === undefined ? null : Number(status), text, body: text.slice(text.indexOf('\r\n\r\n') + 4)});
	});
});

export type PostOptions = {readonly path: string; readonly body: string; readonly token?: string; readonly headers?: readonly string[]};

/** A request with a body whose connection closes after the answer. */
export const rawPost = ({path, body, token, headers = []}: PostOptions): string => [
	`POST ${path} HTTP/1.1`,
	'host: test',
	'connection: close',
	'content-type: application/json',
	...(token === undefined ? [] : [`authorization: Bearer ${token}`]),
	`content-length: ${new TextEncoder().encode(body).length}`,
	...headers,
	'',
	body,
].join('\r\n');
