// Runs the compiled tests with tap, prints every failure and, on the last line, the number of passed and failed assertions.
import {spawn} from 'node:child_process';
import {readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Parser} from 'tap-parser';
import {readKnownRed} from './known-red.js';

const knownRed = await readKnownRed();
const testFolder = '.test-dist';
/** Folder of the tests of a process's memory, each of which runs alone. */
const crowdFolder = 'crowd';
const failures = [];
let passed = 0;

const watch = (parser, names) => {
	parser.on('child', inner => {
		watch(inner, [...names, inner.name].filter(Boolean));
	});
	parser.on('assert', result => {
		if (result.closingTestPoint) {
			return;
		}

		if (result.ok) {
			passed++;
		} else {
			failures.push({name: [...names, result.name].join(' > '), diag: result.diag});
		}
	});
};

/** Runs tap; returns whether it succeeded. */
const runTap = async options => {
	const child = spawn('npx', ['tap', '--reporter=tap', ...options], {stdio: ['ignore', 'pipe', 'inherit']});
	const root = new Parser();
	watch(root, []);
	child.stdout.pipe(root);
	return new Promise(resolve => {
		root.on('complete', result => {
			resolve(result.ok);
		});
	});
};

const runAll = async () => {
	const files = readdirSync(testFolder, {recursive: true}).map(file => path.join(testFolder, file)).filter(file => file.endsWith('.test.js'));
	const isCrowd = file => path.basename(path.dirname(file)) === crowdFolder;
	const isOk = await runTap(files.filter(file => !isCrowd(file)));
	return await runTap(['--jobs=1', '--timeout=600', ...files.filter(file => isCrowd(file))]) && isOk;
};

const selected = process.argv.slice(2);
const isOk = selected.length > 0 ? await runTap(selected) : await runAll();
const isKnown = failure => knownRed.some(({test}) => failure.name.includes(test));
const unexpected = failures.filter(failure => !isKnown(failure));
for (const failure of failures) {
	console.log(`${isKnown(failure) ? 'KNOWN RED' : 'FAILED'}: ${failure.name}`);
	console.log(JSON.stringify(failure.diag, null, 2));
}

for (const {test, cause, issue} of knownRed) {
	console.log(`Listed in KNOWN-RED.txt: ${test} (${cause}; issue ${issue})`);
}

// A run that failed without a failed assertion (for example a crash or an unmet plan) counts as one failure.
const isSilentFailure = !isOk && failures.length === 0;
const failed = unexpected.length + (isSilentFailure ? 1 : 0);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
