/** Stand-in of the origin of weights, with one link for all that it sends. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';

/** Every byte of a piece tells its version and its place. */
export const pieceOf = (version, chunk, chunkBytes) => Buffer.alloc(chunkBytes, (version * 64) + chunk);

export const startOrigin = async (address, {chunks, chunkBytes, linkMbps}) => {
	const [host, port] = address.split(':');
	let freeAtMs = 0;
	const sendAtRate = (response, data) => {
		const nowMs = performance.now();
		freeAtMs = Math.max(freeAtMs, nowMs) + (data.length * 8 / (linkMbps * 1000));
		setTimeout(() => {
			response.end(data);
		}, freeAtMs - nowMs);
	};

	const server = http.createServer((request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://origin');
		const version = Number(searchParams.get('version'));
		response.writeHead(200);
		sendAtRate(response, pathname.startsWith('/v1/manifest/')
			? Buffer.from(JSON.stringify({
				version, chunkBytes, digests: Array.from({length: chunks}, (_, chunk) => createHash('sha256').update(pieceOf(version, chunk, chunkBytes)).digest('hex')),
			}))
			: pieceOf(version, Number(searchParams.get('sampleCount')), chunkBytes));
	});
	await new Promise(resolve => {
		server.listen({host, port: Number(port)}, resolve);
	});
};
