// Bundles the program for the target platform: loading many small modules makes a start slow, and every restart of a process includes a complete start.
import process from 'node:process';
import {bundleProgram} from './bundle-program.js';

await bundleProgram({
	entry: 'platform/dist/program.js',
	folder: process.argv[2] ?? 'target',
	name: 'bitternpaddle-host',
	// The flags with which deploy/system.toml starts the roles.
	flagSets: [['--single-threaded', '--max-old-space-size=110'], ['--single-threaded', '--max-old-space-size=160']],
});
