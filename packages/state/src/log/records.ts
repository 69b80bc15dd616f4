import * as z from 'zod';
import {commandSchema} from '../catalog/types.js';
import {documentSchema} from '../documents/document.js';

/** The control hosts: voters form the quorum, learners only receive the log. */
export const membersSchema = z.object({voters: z.array(z.string()), learners: z.array(z.string())});
export type Members = z.infer<typeof membersSchema>;

/** An entry of the replicated log. */
export const logEntrySchema = z.object({
	index: z.number().int().positive(),
	term: z.number().int().nonnegative(),
	payload: z.discriminatedUnion('type', [
		z.object({type: z.literal('command'), command: commandSchema}),
		/** A document submitted by an operator; the log orders documents without interpreting them. */
		z.object({type: z.literal('document'), document: documentSchema}),
		/** Takes effect as soon as it is appended; differs by at most one voter from the previous members. */
		z.object({type: z.literal('members'), members: membersSchema}),
	]),
});
export type LogEntry = z.infer<typeof logEntrySchema>;

/** A voter's term and vote, which must be durable before they are sent to any other member. */
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
