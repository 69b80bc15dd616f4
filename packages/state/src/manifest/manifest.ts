import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {canonicalJson} from '../catalog/canonical-json.js';
import {digestPattern, manifestIdSchema, type ManifestId} from '../types/ids.js';

/**
 * The content of one version: chunks of `chunkSizeBytes` in order (the last
 * may be shorter), each named by its digest. Its own digest is its id, so
 * changed weights are always another manifest and chunks cannot mix.
 */
export const manifestSchema = z.object({
	formatVersion: z.literal(1),
	sizeBytes: z.number().int().positive(),
	chunkSizeBytes: z.number().int().positive(),
	chunkDigests: z.array(z.string().regex(digestPattern)).min(1).max(1_000_000),
	/** Digest over all bytes in order; the engine's answer is held against it. */
	wholeDigest: z.string().regex(digestPattern),
	/** Set for an adapter: the manifest of the version that it extends. */
	baseManifestId: manifestIdSchema.optional(),
});
export type Manifest = z.infer<typeof manifestSchema>;

export const sha256 = (data: string | Uint8Array): string => `sha256:${createHash('sha256').update(data).digest('hex')}`;

export const manifestIdOf = (manifest: Manifest): ManifestId => manifestIdSchema.parse(sha256(canonicalJson(manifest)));

/** Reads a manifest that was fetched for `expected`; anything else is refused. */
export const parseManifest = (text: string, expected: ManifestId): Either<string, Manifest> => Either
	.encase((): unknown => JSON.parse(text))
	.mapLeft(error => `manifest is not JSON: ${error.message}`)
	.chain(value => {
		const parsed = manifestSchema.safeParse(value);
		return parsed.success ? Right(parsed.data) : Left(`manifest is not valid: ${z.prettifyError(parsed.error)}`);
	})
	.chain(manifest => checkManifest(manifest, expected));

const checkManifest = (manifest: Manifest, expected: ManifestId): Either<string, Manifest> => {
	const count = Math.ceil(manifest.sizeBytes / manifest.chunkSizeBytes);
	if (count !== manifest.chunkDigests.length) {
		return Left(`manifest has ${manifest.chunkDigests.length} chunk digests for ${count} chunks`);
	}

	const actual = manifestIdOf(manifest);
	return actual === expected ? Right(manifest) : Left(`manifest is ${actual}, expected ${expected}`);
};

export type ChunkRange = {readonly startByte: number; readonly sizeBytes: number};

export const chunkRange = (manifest: Manifest, index: number): ChunkRange => {
	const startByte = index * manifest.chunkSizeBytes;
	return {startByte, sizeBytes: Math.min(manifest.chunkSizeBytes, manifest.sizeBytes - startByte)};
};
