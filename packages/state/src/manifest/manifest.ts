import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {canonicalJson} from '../catalog/canonical-json.js';
import {digestPattern, manifestIdSchema, type ManifestId} from '../types/ids.js';

/**
 * Describes the content of one version: chunks of `chunkSizeBytes` in order (the
 * last may be shorter), each identified by its digest. The manifest's own digest
 * is its id, so changed weights always have a different manifest and chunks of
 * different versions cannot be mixed.
 */
export const manifestSchema = z.object({
	formatVersion: z.literal(1),
	sizeBytes: z.number().int().positive(),
	chunkSizeBytes: z.number().int().positive(),
	chunkDigests: z.array(z.string().regex(digestPattern)).min(1).max(1_000_000),
	/** Digest of all bytes in order, compared with the digest that the engine reports. */
	wholeDigest: z.string().regex(digestPattern),
	/** Set for an adapter: the manifest of its base version. */
	baseManifestId: manifestIdSchema.optional(),
});
export type Manifest = z.infer<typeof manifestSchema>;

export const sha256 = (data: string | Uint8Array): string => `sha256:${createHash('sha256').update(data).digest('hex')}`;

export const manifestIdOf = (manifest: Manifest): ManifestId => manifestIdSchema.parse(sha256(canonicalJson(manifest)));

/** Parses a fetched manifest and refuses any whose id is not `expected`. */
export const parseManifest = (text: string, expected: ManifestId): Either<string, Manifest> => Either
	.encase((): unknown => JSON.parse(text))
	.mapLeft(error => `manifest is not JSON: ${error.message}`)
	.chain(value => {
		const parsed = manifestSchema.safeParse(value);
		return parsed.success ? Right(parsed.data) : Left(`manifest is not valid: ${z.prettifyError(parsed.error)}`);
	})
	.chain(manifest => checkManifest(manifest, expected));

const checkManifest = (manifest: Manifest, expected: ManifestId): Either<string, Manifest> => {
	const chunkCount = Math.ceil(manifest.sizeBytes / manifest.chunkSizeBytes);
	if (chunkCount !== manifest.chunkDigests.length) {
		return Left(`manifest has ${manifest.chunkDigests.length} chunk digests for ${chunkCount} chunks`);
	}

	const actual = manifestIdOf(manifest);
	return actual === expected ? Right(manifest) : Left(`manifest has the id ${actual}, expected ${expected}`);
};

export type ChunkRange = {readonly startByte: number; readonly sizeBytes: number};

export const chunkRange = (manifest: Manifest, index: number): ChunkRange => {
	const startByte = index * manifest.chunkSizeBytes;
	return {startByte, sizeBytes: Math.min(manifest.chunkSizeBytes, manifest.sizeBytes - startByte)};
};
