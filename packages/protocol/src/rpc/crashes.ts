import * as z from 'zod';

const fingerprint = z.string().min(1).max(128);
const ageMs = z.number().nonnegative();
/** More than one entry records at the exit of one endpoint. */
const maxItems = 64;

const text = z.string().min(1).max(256);
const promptPart = z.string().min(1).max(256);
const maxParts = 64;

/** What is known of prompt parts that several requests share. */
const partsSchema = z.object({
	sightings: z.array(z.object({
		address: text, ageMs, request: text, parts: z.array(promptPart).min(1).max(maxParts), seenBy: z.string().max(256), isFresh: z.boolean(),
	})).max(maxItems),
	verdicts: z.array(z.object({
		parts: z.array(promptPart).min(1).max(maxParts), sinceAgeMs: ageMs, remainingMs: z.number(),
		evidence: z.array(z.object({address: text, ageMs, seenBy: z.string().max(256)})).max(maxItems),
	})).max(maxItems),
	/** Parts of runs that completed. */
	completions: z.array(z.object({part: promptPart, ageMs})).max(maxItems),
	/** Runs that completed since the last message with counts, by model, and how long ago the first of them did. */
	counts: z.array(z.object({model: text, count: z.number().int().nonnegative(), ageMs})).max(maxItems),
});

/** Reports to another entry the requests that endpoints held when they exited. Times are sent as ages, since the hosts' clocks differ. */
export const entryCrashesParametersSchema = z.object({
	/** An administration token known to both entries, since callers can reach this port too. */
	token: z.string(),
	sightings: z.array(z.object({
		fingerprint, address: z.string().min(1).max(256), ageMs, stage: z.enum(['waiting', 'begun', 'answering']),
	})).max(maxItems),
	/** Those of the reported requests that the sender has quarantined. */
	condemned: z.array(fingerprint).max(maxItems),
	/** Requests that ran to completion. */
	clearances: z.array(z.object({fingerprint, ageMs})).max(maxItems),
	/** Absent from entries of earlier versions. */
	parts: partsSchema.optional(),
});
export type EntryCrashesParameters = z.infer<typeof entryCrashesParametersSchema>;

export const entryCrashesAnswerSchema = z.object({});
