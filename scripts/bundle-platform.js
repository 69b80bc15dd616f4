// Bundles the program that runs on the users' platform: many small modules start slowly, and a restart pays for its start in full.
import process from 'node:process';
import {bundleProgram} from './bundle-program.js';

await bundleProgram({
	entry: 'platform/dist/program.js',
	folder: process.argv[2] ?? 'target',
	name: 'bitternpaddle-host',
	// As deploy/system.toml starts the roles.
	flagSets: [['--single-threaded', '--max-old-space-size=110'], ['--single-threaded', '--max-old-space-size=160']],
});
