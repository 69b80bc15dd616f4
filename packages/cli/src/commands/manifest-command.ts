import {createReadStream} from 'node:fs';
import {readdir, stat, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {
	canonicalJson, createManifest, defaultChunkSizeBytes, manifestIdOf, manifestIdSchema,
} from '@bitternpaddle/state';
import {Command, Option} from 'clipanion';
import {exitCodes} from '../send-command.js';

/** `bitternpaddle manifest create DIR`: creates the manifest of the files in a folder. */
export class ManifestCreateCommand extends Command {
	static override paths = [['manifest', 'create']];

	static override usage = Command.Usage({
		description: 'Write the manifest of a folder of weights and print its id.',
		details: 'The weights of a version are the files of the folder, concatenated in the order of their names. Publish them at the origin in the same order.',
	});

	folder = Option.String({required: true});
	out = Option.String('--out', {description: 'File to write the manifest to. Default: manifest.json next to the folder.'});
	base = Option.String('--base', {description: 'For an adapter: the id of the manifest of its base version.'});
	chunkSizeBytes = Option.String('--chunk-size-bytes', String(defaultChunkSizeBytes), {description: `Expected: a whole number. Default: ${defaultChunkSizeBytes}.`});

	override async execute(): Promise<number> {
		const chunkSizeBytes = Number(this.chunkSizeBytes);
		if (!Number.isInteger(chunkSizeBytes) || chunkSizeBytes <= 0) {
			this.context.stderr.write(`--chunk-size-bytes is "${this.chunkSizeBytes}": expected a whole number above 0\n`);
			return exitCodes.usage;
		}

		const base = this.base === undefined ? undefined : manifestIdSchema.safeParse(this.base);
		if (base?.success === false) {
			this.context.stderr.write(`--base is "${this.base}": expected sha256: and 64 hexadecimal digits\n`);
			return exitCodes.usage;
		}

		let files: string[];
		try {
			files = await listFiles(this.folder);
		} catch (error) {
			this.context.stderr.write(`${this.folder} cannot be read: ${(error as Error).message}\n`);
			return exitCodes.usage;
		}

		if (files.length === 0) {
			this.context.stderr.write(`${this.folder} contains no files: expected at least one\n`);
			return exitCodes.usage;
		}

		const sizes = await Promise.all(files.map(async file => (await stat(file)).size));
		const totalBytes = sizes.reduce((sum, size) => sum + size, 0);
		const manifest = await createManifest(readFiles(files), {
			chunkSizeBytes, baseManifestId: base?.data,
			onProgress: doneBytes => {
				this.context.stderr.write(`\r${Math.floor(100 * doneBytes / totalBytes)}% of ${totalBytes} bytes`);
			},
		});
		const out = this.out ?? path.join(path.dirname(path.resolve(this.folder)), 'manifest.json');
		await writeFile(out, canonicalJson(manifest));
		this.context.stderr.write(`\n${manifest.chunkDigests.length} chunks in ${out}\n`);
		this.context.stdout.write(`${manifestIdOf(manifest)}\n`);
		return exitCodes.done;
	}
}

const listFiles = async (folder: string): Promise<string[]> => {
	const entries = await readdir(folder, {withFileTypes: true});
	return entries
		.filter(entry => entry.isFile())
		.map(entry => path.join(folder, entry.name))
		.toSorted();
};

async function * readFiles(files: readonly string[]): AsyncIterable<Uint8Array> {
	for (const file of files) {
		yield * createReadStream(file) as AsyncIterable<Uint8Array>;
	}
}
