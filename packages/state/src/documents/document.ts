import * as z from 'zod';

/** What operators hand in whole and the log puts in order. */
export const documentSchema = z.discriminatedUnion('kind', [
	/** A complete configuration; of several the one with the highest number is in force. */
	z.object({kind: z.literal('configuration'), number: z.number(), text: z.string()}),
	/** New weights of a model; the highest version is wanted on every host that serves the model. */
	z.object({kind: z.literal('version'), model: z.string(), version: z.number().int()}),
]);
export type Document = z.infer<typeof documentSchema>;
