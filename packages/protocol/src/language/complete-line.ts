import {parse, SyntaxError as PeggySyntaxError} from '../../generated/command-parser.js';
import {subjectFields, subjectSchema} from './subject-fields.js';

export type Completion = {
	/** The last word of the line, which a candidate replaces. */
	readonly word: string;
	readonly candidates: readonly string[];
};

/** A character that no rule matches, so that the parser reports what it expected in its place. */
const sentinel = '\u{1}';

/** Returns the words that can complete a line, derived from what the parser expects at its end. */
export const completeLine = (line: string): Completion => {
	const word = /[\w.:\-]*$/v.exec(line)![0];
	const prefix = line.slice(0, line.length - word.length);
	return {word, candidates: expectedAfter(prefix).filter(candidate => candidate.startsWith(word))};
};

const expectedAfter = (prefix: string): string[] => {
	try {
		parse(prefix + sentinel);
		return [];
	} catch (error) {
		// Nothing can be completed after an earlier syntax error.
		if (!(error instanceof PeggySyntaxError) || error.location.start.offset !== prefix.length) {
			return [];
		}

		const words = (error.expected ?? []).flatMap(item => item.type === 'literal' ? [item.text] : []);
		const rules = (error.expected ?? []).flatMap(item => item.type === 'other' ? [item.description] : []);
		return [...new Set([...words, ...rules.flatMap(rule => candidatesForRule(rule, prefix))])].toSorted();
	}
};

/** Candidates for a named rule of the grammar; a rule for names that operators choose has none. */
const candidatesForRule = (rule: string, prefix: string): string[] => {
	if (rule === 'field name') {
		return fieldsAfter(prefix);
	}

	return rule.startsWith('=, ') ? ['=', '!=', '<', '<=', '>', '>='] : [];
};

const fieldsAfter = (prefix: string): string[] => {
	const subject = subjectSchema.safeParse(/^\s*show\s+(?<subject>\w+)/v.exec(prefix)?.groups?.subject);
	return subject.success ? Object.keys(subjectFields[subject.data]) : [];
};
