// Bundles the roles of `npm run bench -- fleet-cost` as the platform's program is bundled: MODULE FOLDER HEAP_LIMIT_MB [plain].
import process from 'node:process';
import {bundleProgram} from './bundle-program.js';

const [entry, folder, heapLimitMb, form] = process.argv.slice(2);
await bundleProgram({
	// A profile tells names that were not shortened.
	entry, folder, name: 'role', heapLimitsMb: [Number(heapLimitMb)], isMinified: form !== 'plain',
});
