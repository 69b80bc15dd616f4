import * as z from 'zod';

/**
 * That one start of an endpoint has left or is leaving, as acknowledged to it. `startedAtMs` identifies
 * the start; `unknownStartMs` stands for every start of that id.
 */
export const departureSchema = z.discriminatedUnion('state', [
	z.object({state: z.literal('gone'), id: z.string(), startedAtMs: z.number()}),
	/** `sequence` is that of the announcement: later ones of the same start replace it. */
	z.object({
		state: z.literal('draining'), id: z.string(), startedAtMs: z.number(), sequence: z.number(),
		serviceName: z.string(), address: z.string(), zoneId: z.string(), slots: z.number(),
	}),
]);
export type Departure = z.infer<typeof departureSchema>;

/** Later than every start that an endpoint can announce. */
export const unknownStartMs = Number.MAX_SAFE_INTEGER;

/** A document that operators submit as a whole, or that core hosts append for endpoints; the log orders documents. */
export const documentSchema = z.discriminatedUnion('kind', [
	/** A complete configuration; the one with the highest number is in force. */
	z.object({kind: z.literal('configuration'), number: z.number(), text: z.string()}),
	/** New weights of a model; every host that serves the model must load the highest version. */
	z.object({kind: z.literal('version'), model: z.string(), version: z.number().int()}),
	/** Whether an availability zone is evacuated; the last one in the log is in force. Core hosts of earlier versions cannot read it. */
	z.object({kind: z.literal('evacuation'), zoneId: z.string(), isEvacuated: z.boolean()}),
	/** Departures that must outlast all processes, and earlier ones that may be forgotten. Core hosts of earlier versions cannot read it. */
	z.object({kind: z.literal('departures'), added: z.array(departureSchema).readonly(), removed: z.array(departureSchema).readonly()}),
]);
export type Document = z.infer<typeof documentSchema>;
