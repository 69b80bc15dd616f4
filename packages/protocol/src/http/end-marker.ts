import * as z from 'zod';

/**
 * Closes every answer on its way from agent to entry. An answer without it,
 * or with another request id, byte count, digest or version, is not passed off as
 * whole: the connection may have been cut or have carried someone else's
 * answer.
 */
export const endMarkerSchema = z.object({
	requestId: z.string(),
	sizeBytes: z.number().int().nonnegative(),
	/** SHA-256 over the answer's bytes, in hexadecimal. */
	digest: z.string(),
	versionId: z.string().nullable(),
	/** The tag of base and adapter; missing if no adapter gave the answer. */
	adapterTag: z.string().optional(),
});
export type EndMarker = z.infer<typeof endMarkerSchema>;
