import {Buffer} from 'node:buffer';
import net from 'node:net';

export type RawResponse = {
	/** `null` if the connection was closed without a response. */
	readonly status: number | null;
	readonly text: string;
	readonly body: string;
};

/** Sends raw bytes and reads until the server closes the connection, or for `waitMs`. */
export const sendRaw = async (address: string, parts: ReadonlyArray<string | Uint8Array>, waitMs = 2000): Promise<RawResponse> => new Promise(resolve => {
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
	// The server may reset the connection after its response to stop the sender; what was read until then counts.
	socket.on('error', () => undefined);
	socket.on('close', () => {
		clearTimeout(timer);
		const text = new TextDecoder().decode(Buffer.concat(received));
		const status = /^HTTP\/1\.1 (?<status>\d{3})/v.exec(text)?.groups?.status;
		resolve({status: status === undefined ? null : Number(status), text, body: text.slice(text.indexOf('\r\n\r\n') + 4)});
	});
});

export type PostOptions = {readonly path: string; readonly body: string; readonly token?: string; readonly headers?: readonly string[]};

/** A POST request whose connection is closed after the response. */
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
