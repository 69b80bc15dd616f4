import {execFileSync} from 'node:child_process';
import {copyFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const here = import.meta.dirname;

/**
 * Bundles a module that exports `runProgram` into one file, and writes a launcher and
 * a code cache for each set of Node.js flags next to it. NAME.cjs is the file to run.
 */
export const bundleProgram = async ({entry, folder, name, flagSets, isMinified = true}) => {
	await build({
		entryPoints: [entry],
		outfile: path.join(folder, `${name}.code.cjs`),
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		minify: isMinified,
		define: {'import.meta.url': 'bundleUrl'},
		banner: {js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;'},
		logLevel: 'warning',
	});
	const launcher = path.join(folder, `${name}.cjs`);
	copyFileSync(path.join(here, 'launch-program.cjs'), launcher);
	for (const flags of flagSets) {
		execFileSync(process.execPath, [...flags, path.join(here, 'write-code-cache.cjs'), launcher]);
	}
};
