import process from 'node:process';
import {benches} from './benches.js';

const [name = '', ...flags] = process.argv.slice(2);
const bench = benches[name];
if (bench === undefined) {
	process.stderr.write(`unknown benchmark "${name}": expected one of ${Object.keys(benches).join(', ')}\n`);
	process.exitCode = 2;
} else {
	const result = await bench(flags);
	process.stdout.write(`${JSON.stringify(result)}\n`);
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}
