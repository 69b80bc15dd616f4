import * as z from 'zod';

/**
 * Trailer of every complete answer from an agent to an entry. An answer without
 * it, or with a different request id, byte count, digest or version, is never
 * reported as complete: the connection may have been closed early, or may have carried
 * the answer to another request.
 */
export const endMarkerSchema = z.object({
	requestId: z.string(),
	sizeBytes: z.number().int().nonnegative(),
	/** SHA-256 of the answer's bytes, in hexadecimal. */
	digest: z.string(),
	versionId: z.string().nullable(),
	/** Identifies base and adapter, see `formatAdapterTag`; missing if no adapter produced the answer. */
	adapterTag: z.string().optional(),
});
export type EndMarker = z.infer<typeof endMarkerSchema>;
