// Bundles a role of `npm run bench -- fleet-cost` in the same way as the platform's program. Arguments: MODULE FOLDER FORM FLAG...
import process from 'node:process';
import {bundleProgram} from './bundle-program.js';

const [entry, folder, form, ...flags] = process.argv.slice(2);
await bundleProgram({
	// With the form `plain` the code is not minified, so that a profile shows the original names.
	entry, folder, name: 'role', flagSets: [flags], isMinified: form !== 'plain',
});
