import * as z from 'zod';

const fingerprint = z.string().min(1).max(128);
const ageMs = z.number().nonnegative();
/** Above what one entry sees at the end of one endpoint. */
const mostItems = 64;

/** One entry tells another which requests were at endpoints that ended; clocks of hosts differ, so times go as ages. */
export const entryCrashesParametersSchema = z.object({
	/** Any administration token that both know: callers reach this port too. */
	token: z.string(),
	sightings: z.array(z.object({
		fingerprint, address: z.string().min(1).max(256), ageMs, stage: z.enum(['waiting', 'begun', 'answering']),
	})).max(mostItems),
	/** Of these requests those that the teller has a verdict on. */
	condemned: z.array(fingerprint).max(mostItems),
	/** Requests that were seen to run to their end. */
	clearances: z.array(z.object({fingerprint, ageMs})).max(mostItems),
});
export type EntryCrashesParameters = z.infer<typeof entryCrashesParametersSchema>;

export const entryCrashesAnswerSchema = z.object({});
