import {Buffer} from 'node:buffer';

const lineEnd = '\r\n';

/** The head of a request with these header lines. */
export const requestHead = (method: string, path: string, headers: readonly string[]): Buffer => Buffer.from([`${method} ${path} HTTP/1.1`, ...headers, '', ''].join(lineEnd));

export const chunkedHeader = 'transfer-encoding: chunked';

/** The end of a body in chunks. */
export const lastChunk = Buffer.from(`0${lineEnd}${lineEnd}`);

/** A body of `sizeBytes` in chunks of `chunkBytes`, without its last chunk (RFC 9112, section 7.1). */
export const encodeChunks = (sizeBytes: number, chunkBytes: number, extension = ''): Buffer => {
	const chunk = `${chunkBytes.toString(16)}${extension}${lineEnd}${'x'.repeat(chunkBytes)}${lineEnd}`;
	return Buffer.alloc(Math.floor(sizeBytes / chunkBytes) * chunk.length, chunk);
};
