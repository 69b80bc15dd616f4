import {verdictTypeSchema} from '@bitternpaddle/state';
import * as z from 'zod';

/** One attempt at one endpoint. Times are relative to the arrival of the request. */
export const attemptRecordSchema = z.object({
	number: z.number().int().positive(),
	hostId: z.string(),
	startedAfterMs: z.number(),
	/** `null` while the attempt is in progress. */
	endedAfterMs: z.number().nullable(),
	verdict: verdictTypeSchema.nullable(),
	reason: z.string().nullable(),
});
export type AttemptRecord = z.infer<typeof attemptRecordSchema>;

/** An entry's record of one request. */
export const requestRecordSchema = z.object({
	requestId: z.string(),
	entryId: z.string(),
	teamId: z.string(),
	serviceId: z.string(),
	/** The model or service that the caller named. */
	target: z.string(),
	/** By the entry's wall clock. */
	arrivedAtMs: z.number(),
	firstByteAfterMs: z.number().nullable(),
	endedAfterMs: z.number().nullable(),
	/** `cut`: the endpoint's answer was incomplete; `abandoned`: the caller disconnected. */
	state: z.enum(['inFlight', 'answered', 'refused', 'cut', 'abandoned']),
	status: z.number().nullable(),
	/** Verdict that was sent to the caller instead of an answer. */
	verdict: verdictTypeSchema.nullable(),
	reason: z.string().nullable(),
	versionId: z.string().nullable(),
	attempts: z.array(attemptRecordSchema),
});
export type RequestRecord = z.infer<typeof requestRecordSchema>;

export const requestSelectionSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('inFlight')}),
	z.object({type: z.literal('byId'), requestId: z.string().max(128)}),
]);
export type RequestSelection = z.infer<typeof requestSelectionSchema>;

export const entryRequestsParametersSchema = z.object({token: z.string(), selection: requestSelectionSchema});

export const requestsAnswerSchema = z.object({entryId: z.string(), records: z.array(requestRecordSchema)});
export type RequestsAnswer = z.infer<typeof requestsAnswerSchema>;
