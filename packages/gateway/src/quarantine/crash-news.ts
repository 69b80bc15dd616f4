import type {Buffer} from 'node:buffer';
import type {
	AnswerStage, Clearance, CrashSighting, RequestFingerprint,
} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** What an entry tells others of requests that were at endpoints when these ended. */
export type CrashNews = {
	readonly sightings: readonly CrashSighting[];
	/** Of these requests those that the teller has a verdict on. */
	readonly condemned: readonly RequestFingerprint[];
	readonly clearances: readonly Clearance[];
};

/** Tells these datagrams from the load reports that come to the same socket. */
const kind = 'crash';
const stages: readonly AnswerStage[] = ['waiting', 'begun', 'answering'];
const ageSchema = z.number().nonnegative();
const fingerprintSchema = z.string().min(1).transform(text => text as RequestFingerprint);
const newsSchema = z.tuple([
	z.literal(kind),
	z.array(z.tuple([fingerprintSchema, z.string().min(1), ageSchema, z.number().int().min(0).max(stages.length - 1)])),
	z.array(fingerprintSchema),
	z.array(z.tuple([fingerprintSchema, ageSchema])),
]);

/** Clocks of hosts differ, so times go as ages. */
export const encodeCrashNews = ({sightings, condemned, clearances}: CrashNews, nowMs: number): Uint8Array => encode([
	kind,
	sightings.map(({fingerprint, address, atMs, stage}) => [fingerprint, address, Math.max(0, Math.round(nowMs - atMs)), stages.indexOf(stage)]),
	condemned,
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

	const [, sightings, condemned, clearances] = parsed.data;
	return {
		sightings: sightings.map(([fingerprint, address, ageMs, stage]) => ({
			fingerprint, address, atMs: nowMs - ageMs, stage: stages[stage]!,
		})),
		condemned,
		clearances: clearances.map(([fingerprint, ageMs]) => ({fingerprint, atMs: nowMs - ageMs})),
	};
};
