import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/**
 * Identical for requests with the same content from the same caller, regardless of
 * their ids and headers. Starts with the outline, which is known without reading the
 * body's content.
 */
export type RequestFingerprint = string & {readonly __brand: 'RequestFingerprint'};

/** The part of a fingerprint that does not depend on the body's content; cheap to compare before a body is hashed. */
export type RequestOutline = string & {readonly __brand: 'RequestOutline'};

export type FingerprintedRequest = {
	readonly method: string;
	readonly host: string;
	/** Includes the query. */
	readonly path: string;
	/** The team whose key it carries; `null` without one. */
	readonly teamName: string | null;
	/** The body as received, regardless of how it was split into parts; `null` without one. */
	readonly body: Buffer | null;
};

/** 128 bits, so that no request can be found that shares the fingerprint of another. */
const digestBytes = 16;
const outlineDigestBytes = 6;
/** Does not occur in any field. */
const separator = '\n';
const shortDigestLength = 10;
const outlineTerminator = '.';
const noBody = '-';

const digestOf = (parts: ReadonlyArray<string | Buffer>, bytes: number): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part);
	}

	return hash.digest().subarray(0, bytes).toString('base64url');
};

const metadataOf = ({method, host, path, teamName}: FingerprintedRequest): string => [method, host.toLowerCase(), path, teamName ?? '', ''].join(separator);

export const outlineOf = (request: FingerprintedRequest): RequestOutline => {
	const size = request.body === null ? noBody : request.body.length.toString(36);
	return `${digestOf([metadataOf(request)], outlineDigestBytes)}~${size}` as RequestOutline;
};

export const fingerprintOf = (request: FingerprintedRequest): RequestFingerprint => {
	const parts = request.body === null ? [metadataOf(request)] : [metadataOf(request), request.body];
	return `${outlineOf(request)}${outlineTerminator}${digestOf(parts, digestBytes)}` as RequestFingerprint;
};

/** The outline that a fingerprint starts with. */
export const outlineIn = (fingerprint: RequestFingerprint): RequestOutline => fingerprint.split(outlineTerminator, 1)[0] as RequestOutline;

/** The digest in a fingerprint, shortened; distinguishes the requests at one exit. */
export const shortDigestIn = (fingerprint: RequestFingerprint): string => fingerprint.slice(-shortDigestLength);
