import * as z from 'zod';

export const adapterOrderSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('load'), name: z.string(), versionId: z.string(), baseDigest: z.string(), filePath: z.string(), fencingNumber: z.number().int(),
	}),
	z.object({type: z.literal('unload'), name: z.string(), fencingNumber: z.number().int()}),
]);
export type AdapterEngineOrder = z.infer<typeof adapterOrderSchema>;

/** An executed adapter command, with the base version that the engine held at that time. */
export type ExecutedAdapterOrder = AdapterEngineOrder & {readonly onVersionId: string};

/** Loaded adapters by the model name that callers use, with the digest of the bytes that were read. */
export type LoadedAdapters = Map<string, {readonly digest: string}>;

/** A model field `base/adapter` names an adapter, any other the base alone. */
export const isAdapterName = (model: string): boolean => model.includes('/');

export const fingerprintOf = (digest: string, adapterDigest: string | null): string => adapterDigest === null ? digest : `${digest}+${adapterDigest}`;
