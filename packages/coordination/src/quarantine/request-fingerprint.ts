import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Same for requests that ask the same of an endpoint for the same caller, whatever their ids and headers. */
export type RequestFingerprint = string & {readonly __brand: 'RequestFingerprint'};

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
const fingerprintBytes = 16;
/** Occurs in none of the fields. */
const separator = '\n';

export const fingerprintOf = ({method, host, path, teamName, body}: FingerprintedRequest): RequestFingerprint => {
	const hash = createHash('sha256');
	// Without a team, the field is empty: no team has an empty name.
	hash.update([method, host.toLowerCase(), path, teamName ?? '', ''].join(separator));
	if (body !== null) {
		hash.update(body);
	}

	return hash.digest().subarray(0, fingerprintBytes).toString('base64url') as RequestFingerprint;
};
