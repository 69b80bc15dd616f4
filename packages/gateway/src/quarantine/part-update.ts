import type {Buffer} from 'node:buffer';
import {
	idOfPart, modelOfPart, promptPart, type PartSighting, type PartVerdict, type PromptPart,
} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** Message between entries about prompt parts of runs that broke when their endpoints exited. */
export type PartUpdate = {
	readonly sightings: readonly PartSighting[];
	readonly verdicts: readonly PartVerdict[];
	/** Parts of completed runs. */
	readonly completions: ReadonlyArray<{readonly part: PromptPart; readonly atMs: number}>;
	/** Runs that completed since the last message with counts, by model, and when the first of them did. */
	readonly counts: ReadonlyArray<{readonly model: string; readonly count: number; readonly fromMs: number}>;
};

/** Distinguishes these datagrams from others on the same socket. */
const kind = 'parts';
const maxItems = 256;
const textSchema = z.string().min(1).max(256);
const idsSchema = z.array(textSchema).min(1).max(maxItems);
const ageSchema = z.number().nonnegative();
const updateSchema = z.tuple([
	z.literal(kind),
	z.array(z.tuple([textSchema, ageSchema, textSchema, textSchema, idsSchema, z.string().max(256), z.boolean()])).max(maxItems),
	z.array(z.tuple([textSchema, idsSchema, ageSchema, z.number(), z.array(z.tuple([textSchema, ageSchema, z.string().max(256)])).max(maxItems)])).max(maxItems),
	z.array(z.tuple([textSchema, textSchema, ageSchema])).max(maxItems),
	z.array(z.tuple([textSchema, z.number().int().nonnegative(), ageSchema])).max(maxItems),
]);

/** Encodes times as ages, because the clocks of hosts differ. */
export const encodePartUpdate = ({sightings, verdicts, completions, counts}: PartUpdate, nowMs: number): Uint8Array => {
	const ageMs = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
	return encode([
		kind,
		sightings.map(({address, atMs, request, parts, seenBy, isFresh}) => [address, ageMs(atMs), request, modelOfPart(parts[0]!), parts.map(part => idOfPart(part)), seenBy, isFresh]),
		verdicts.map(({parts, sinceMs, evidence, untilMs}) => [
			modelOfPart(parts[0]!),
			parts.map(part => idOfPart(part)),
			ageMs(sinceMs),
			Math.round(untilMs - nowMs),
			evidence.map(({address, atMs, seenBy}) => [address, ageMs(atMs), seenBy]),
		]),
		completions.map(({part, atMs}) => [modelOfPart(part), idOfPart(part), ageMs(atMs)]),
		counts.map(({model, count, fromMs}) => [model, count, ageMs(fromMs)]),
	]);
};

const unpack = (data: Buffer): unknown => {
	try {
		return decode(data);
	} catch {
		return null;
	}
};

/** Returns `null` if the datagram is of another kind or malformed. */
export const decodePartUpdate = (data: Buffer, nowMs: number): PartUpdate | null => {
	const parsed = updateSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const [, sightings, verdicts, completions, counts] = parsed.data;
	const partsOf = (model: string, ids: readonly string[]): PromptPart[] => ids.map(id => promptPart(model, id));
	return {
		sightings: sightings.map(([address, ageMs, request, model, ids, seenBy, isFresh]) => ({
			address, atMs: nowMs - ageMs, request, parts: partsOf(model, ids), seenBy, isFresh,
		})),
		verdicts: verdicts.map(([model, ids, sinceAgeMs, remainingMs, evidence]) => ({
			parts: partsOf(model, ids), sinceMs: nowMs - sinceAgeMs, untilMs: nowMs + remainingMs,
			evidence: evidence.map(([address, ageMs, seenBy]) => ({address, atMs: nowMs - ageMs, seenBy})),
		})),
		completions: completions.map(([model, id, ageMs]) => ({part: promptPart(model, id), atMs: nowMs - ageMs})),
		counts: counts.map(([model, count, ageMs]) => ({model, count, fromMs: nowMs - ageMs})),
	};
};
