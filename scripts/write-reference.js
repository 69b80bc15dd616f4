// Writes the pages of docs/operations that are generated from the code.
import {writeFile} from 'node:fs/promises';
import {referencePages} from '@bitternpaddle/cli';

for (const [name, text] of Object.entries(referencePages())) {
	await writeFile(new URL(`../docs/operations/${name}`, import.meta.url), text);
}
