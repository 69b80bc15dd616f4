import type {Buffer} from 'node:buffer';
import type {
	AnswerStage, Clearance, CrashSighting, RequestFingerprint,
} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** Message between entries about requests that endpoints had when they exited. */
export type CrashUpdate = {
	readonly sightings: readonly CrashSighting[];
	/** The requests among the sightings that the sender has a verdict on. */
	readonly condemned: readonly RequestFingerprint[];
	readonly clearances: readonly Clearance[];
};

/** Distinguishes these datagrams from others on the same socket. */
const kind = 'crash';
const stages: readonly AnswerStage[] = ['waiting', 'begun', 'answering'];
const ageSchema = z.number().nonnegative();
const fingerprintSchema = z.string().min(1).transform(text => text as RequestFingerprint);
const updateSchema = z.tuple([
	z.literal(kind),
	z.array(z.tuple([fingerprintSchema, z.string().min(1), ageSchema, z.number().int().min(0).max(stages.length - 1)])),
	z.array(fingerprintSchema),
	z.array(z.tuple([fingerprintSchema, ageSchema])),
]);

/** Encodes times as ages, because the clocks of hosts differ. */
export const encodeCrashUpdate = ({sightings, condemned, clearances}: CrashUpdate, nowMs: number): Uint8Array => encode([
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

/** Returns `null` if the datagram is of another kind or malformed. */
export const decodeCrashUpdate = (data: Buffer, nowMs: number): CrashUpdate | null => {
	const parsed = updateSchema.safeParse(unpack(data));
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
