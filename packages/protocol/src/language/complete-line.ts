import {parse, SyntaxError as PeggySyntaxError} from '../../generated/command-parser.js';
import {subjectFields, subjectSchema} from './subject-fields.js';

export type Completion = {
	/** The part of the line that the candidates replace: its last word. */
	readonly word: string;
	readonly candidates: readonly string[];
};

/** A character that no rule takes, so that the parser says what it expected in its place. */
const stopper = '\u{1}';

/** Words that may stand at the end of a line, from the grammar's own expectations there. */
export const completeLine = (line: string): Completion => {
	const word = /[\w.:\-]*$/v.exec(line)![0];
	const before = line.slice(0, line.length - word.length);
	return {word, candidates: expectedAfter(before).filter(candidate => candidate.startsWith(word))};
};

const expectedAfter = (before: string): string[] => {
	try {
		parse(before + stopper);
		return [];
	} catch (error) {
		// A mistake further to the left comes first; nothing after it can be completed.
		if (!(error instanceof PeggySyntaxError) || error.location.start.offset !== before.length) {
			return [];
		}

		const words = (error.expected ?? []).flatMap(item => item.type === 'literal' ? [item.text] : []);
		const rules = (error.expected ?? []).flatMap(item => item.type === 'other' ? [item.description] : []);
		return [...new Set([...words, ...rules.flatMap(rule => wordsOfRule(rule, before))])].toSorted();
	}
};

/** Words of the grammar's named rules; a name that operators choose has none. */
const wordsOfRule = (rule: string, before: string): string[] => {
	if (rule === 'field name') {
		return fieldsFor(before);
	}

	return rule.startsWith('=, ') ? ['=', '!=', '<', '<=', '>', '>='] : [];
};

const fieldsFor = (before: string): string[] => {
	const subject = subjectSchema.safeParse(/^\s*show\s+(?<subject>\w+)/v.exec(before)?.groups?.subject);
	return subject.success ? Object.keys(subjectFields[subject.data]) : [];
};
