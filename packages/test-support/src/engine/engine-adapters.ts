import * as z from 'zod';

export const adapterOrderSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('load'), name: z.string(), versionId: z.string(), baseDigest: z.string(), filePath: z.string(), fencingNumber: z.number().int(),
	}),
	z.object({type: z.literal('unload'), name: z.string(), fencingNumber: z.number().int()}),
]);
export type AdapterEngineOrder = z.infer<typeof adapterOrderSchema>;

/** An order that was carried out, with the base that the engine held then. */
export type DoneAdapterOrder = AdapterEngineOrder & {readonly onVersionId: string};

/** Adapters by the model name that callers give, with the digest of the bytes that were read. */
export type HeldAdapters = Map<string, {readonly digest: string}>;

/** A model field `base/adapter` asks for an adapter, any other for the base alone. */
export const isAdapterName = (model: string): boolean => model.includes('/');

export const fingerprintOf = (digest: string, adapterDigest: string | null): string => adapterDigest === null ? digest : `${digest}+${adapterDigest}`;
