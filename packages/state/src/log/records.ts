import * as z from 'zod';
import {commandSchema} from '../catalog/types.js';
import {documentSchema} from '../documents/document.js';

/** The control hosts: voters decide, learners only receive the log. */
export const membersSchema = z.object({voters: z.array(z.string()), learners: z.array(z.string())});
export type Members = z.infer<typeof membersSchema>;

/** One slot of the replicated log. */
export const logEntrySchema = z.object({
	index: z.number().int().positive(),
	term: z.number().int().nonnegative(),
	payload: z.discriminatedUnion('type', [
		z.object({type: z.literal('command'), command: commandSchema}),
		/** A document that operators hand in whole; the log orders documents and does not read them. */
		z.object({type: z.literal('document'), document: documentSchema}),
		/** Takes effect as soon as it is appended; at most one voter differs from the members before. */
		z.object({type: z.literal('members'), members: membersSchema}),
	]),
});
export type LogEntry = z.infer<typeof logEntrySchema>;

/** A voter's promise; it must be on disk before anyone hears of it. */
export const hardStateSchema = z.object({term: z.number().int().nonnegative(), votedFor: z.string().nullable()});
export type HardState = z.infer<typeof hardStateSchema>;

export const snapshotSchema = z.object({
	index: z.number().int().nonnegative(),
	term: z.number().int().nonnegative(),
	members: membersSchema,
	/** Canonical JSON of the replicated state. */
	state: z.string(),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

export const recordSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('hardState'), hardState: hardStateSchema}),
	z.object({type: z.literal('entry'), entry: logEntrySchema}),
	z.object({type: z.literal('truncate'), fromIndex: z.number().int()}),
]);
export type LogRecord = z.infer<typeof recordSchema>;
