import type {Buffer} from 'node:buffer';
import type {Clearance, CrashSighting, RequestFingerprint} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** What an entry tells others of requests that were at endpoints when these ended. */
export type CrashNews = {readonly sightings: readonly CrashSighting[]; readonly clearances: readonly Clearance[]};

/** Tells these datagrams from the load reports that come to the same socket. */
const kind = 'crash';
const ageSchema = z.number().nonnegative();
const newsSchema = z.tuple([
	z.literal(kind),
	z.array(z.tuple([z.string().min(1), z.string().min(1), ageSchema])),
	z.array(z.tuple([z.string().min(1), ageSchema])),
]);

/** Clocks of hosts differ, so times go as ages. */
export const encodeCrashNews = ({sightings, clearances}: CrashNews, nowMs: number): Uint8Array => encode([
	kind,
	sightings.map(({fingerprint, address, atMs}) => [fingerprint, address, Math.max(0, Math.round(nowMs - atMs))]),
	clearances.map(({fingerprint, atMs}) => [fingerprint, Math.max(0, Math.round(nowMs - atMs))]),
]);

const unpack = (data: Buffer): unknown => {
	try {
		return decode(data);
	} catch {
		return null;
	}
};

/** `null` if the datagram is none of these. */
export const decodeCrashNews = (data: Buffer, nowMs: number): CrashNews | null => {
	const parsed = newsSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const [, sightings, clearances] = parsed.data;
	return {
		sightings: sightings.map(([fingerprint, address, ageMs]) => ({fingerprint: fingerprint as RequestFingerprint, address, atMs: nowMs - ageMs})),
		clearances: clearances.map(([fingerprint, ageMs]) => ({fingerprint: fingerprint as RequestFingerprint, atMs: nowMs - ageMs})),
	};
};
