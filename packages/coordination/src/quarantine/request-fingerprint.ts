import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/**
 * Same for requests that ask the same of an endpoint for the same caller, whatever
 * their ids and headers. Begins with the outline, which is known without the body.
 */
export type RequestFingerprint = string & {readonly __brand: 'RequestFingerprint'};

/** What a fingerprint tells of all but the body's content; cheap to compare before a body is hashed. */
export type RequestOutline = string & {readonly __brand: 'RequestOutline'};

export type FingerprintedRequest = {
	readonly method: string;
	readonly host: string;
	/** With its query. */
	readonly path: string;
	/** Whose key it bears; `null` without one. */
	readonly teamName: string | null;
	/** As read, in however many parts it came; `null` without one. */
	readonly body: Buffer | null;
};

/** 128 bits: nobody finds a request that shares the fingerprint of another. */
const digestBytes = 16;
const outlineDigestBytes = 6;
/** Occurs in none of the fields. */
const separator = '\n';
const outlineEnd = '.';
const noBody = '-';

const digestOf = (parts: ReadonlyArray<string | Buffer>, bytes: number): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part);
	}

	return hash.digest().subarray(0, bytes).toString('base64url');
};

const headOf = ({method, host, path, teamName}: FingerprintedRequest): string => [method, host.toLowerCase(), path, teamName ?? '', ''].join(separator);

export const outlineOf = (request: FingerprintedRequest): RequestOutline => {
	const size = request.body === null ? noBody : request.body.length.toString(36);
	return `${digestOf([headOf(request)], outlineDigestBytes)}~${size}` as RequestOutline;
};

export const fingerprintOf = (request: FingerprintedRequest): RequestFingerprint => {
	const parts = request.body === null ? [headOf(request)] : [headOf(request), request.body];
	return `${outlineOf(request)}${outlineEnd}${digestOf(parts, digestBytes)}` as RequestFingerprint;
};

/** The outline that a fingerprint begins with. */
export const outlineIn = (fingerprint: RequestFingerprint): RequestOutline => fingerprint.split(outlineEnd, 1)[0] as RequestOutline;
