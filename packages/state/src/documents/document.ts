import * as z from 'zod';

/** A document that operators submit as a whole; the log orders documents. */
export const documentSchema = z.discriminatedUnion('kind', [
	/** A complete configuration; the one with the highest number is in force. */
	z.object({kind: z.literal('configuration'), number: z.number(), text: z.string()}),
	/** New weights of a model; every host that serves the model must load the highest version. */
	z.object({kind: z.literal('version'), model: z.string(), version: z.number().int()}),
	/** Whether an availability zone is evacuated; the last one in the log is in force. Core hosts of earlier versions cannot read it. */
	z.object({kind: z.literal('evacuation'), zoneId: z.string(), isEvacuated: z.boolean()}),
]);
export type Document = z.infer<typeof documentSchema>;
