import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {constants, gunzipSync, gzipSync} from 'node:zlib';
import {BodyTooLargeError} from '../http/http-client.js';

/** Shorter texts gain less than a packet's head. */
const leastPackedBytes = 512;
/** Whole configurations shrink to a tenth; what claims to shrink further would fill the memory of its receiver. */
const mostShrinking = 200;
/**
 * The usual window and tables take 260 KB, cleared for each text: a core host that
 * two hundred others follow held 50 MB of them. These take 20 KB, and hold the texts that are sent all the time whole.
 */
const packing = {level: constants.Z_BEST_SPEED, windowBits: 12, memLevel: 5};
const packedEncoding = 'gzip';

export const packedHeaders: http.OutgoingHttpHeaders = {'accept-encoding': packedEncoding};

/** A text on its way between hosts, and the headers that tell how it is packed. */
export type PackedText = {readonly body: Buffer; readonly headers: http.OutgoingHttpHeaders};

/**
 * Packs a long text. Configurations of hundreds of routes, which the log carries to
 * core hosts of other regions, are most of what these send: 230 short ones of
 * 20,481 bytes take 1,409 packed.
 */
export const packText = (text: string): PackedText => {
	const body = Buffer.from(text);
	return body.length < leastPackedBytes ? {body, headers: {}} : {body: gzipSync(body, packing), headers: {'content-encoding': packedEncoding}};
};

/** Whether the other side reads packed answers. */
export const readsPacked = ({headers}: http.IncomingMessage): boolean => headers['accept-encoding'] === packedEncoding;

/** The text of a body that was read whole. */
export const unpackText = (body: Buffer, {headers}: http.IncomingMessage, limitBytes = Number.POSITIVE_INFINITY): string => {
	if (headers['content-encoding'] !== packedEncoding) {
		return body.toString();
	}

	const mostBytes = Math.min(limitBytes, body.length * mostShrinking);
	try {
		return gunzipSync(body, {maxOutputLength: mostBytes}).toString();
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ERR_BUFFER_TOO_LARGE') {
			throw new BodyTooLargeError(mostBytes);
		}

		throw error;
	}
};
