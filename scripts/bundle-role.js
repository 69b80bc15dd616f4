// Bundles the roles of `npm run bench -- fleet-cost` as the platform's program is bundled: MODULE FOLDER FORM FLAG...
import process from 'node:process';
import {bundleProgram} from './bundle-program.js';

const [entry, folder, form, ...flags] = process.argv.slice(2);
await bundleProgram({
	// A profile tells names that were not shortened.
	entry, folder, name: 'role', flagSets: [flags], isMinified: form !== 'plain',
});
