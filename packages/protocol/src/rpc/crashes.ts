import * as z from 'zod';

const fingerprint = z.string().min(1).max(128);
const ageMs = z.number().nonnegative();
/** More than one entry records at the exit of one endpoint. */
const maxItems = 64;

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
});
export type EntryCrashesParameters = z.infer<typeof entryCrashesParametersSchema>;

export const entryCrashesAnswerSchema = z.object({});
