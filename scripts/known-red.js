// Reads KNOWN-RED.txt: one line per known failure, `test | cause | issue`, with at most three lines.
import {readFile} from 'node:fs/promises';

const maxLines = 3;

export const readKnownRed = async () => {
	let text = '';
	try {
		text = await readFile(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8');
	} catch {
		return [];
	}

	const lines = text.split('\n').filter(line => line.trim() !== '');
	if (lines.length > maxLines) {
		throw new Error(`KNOWN-RED.txt has ${lines.length} lines; at most ${maxLines} are allowed`);
	}

	return lines.map(line => {
		const [test, cause, issue] = line.split('|').map(part => part.trim());
		return {test, cause, issue};
	});
};
