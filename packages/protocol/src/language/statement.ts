import {
	changeSchema, sha256, type Change,
} from '@bitternpaddle/state';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {parse, SyntaxError as PeggySyntaxError} from '../../generated/command-parser.js';
import {conditionSchema} from './condition.js';
import {checkCondition, subjectSchema} from './subject-fields.js';

export const showSchema = z.object({type: z.literal('show'), subject: subjectSchema, where: z.array(conditionSchema)});
export type Show = z.infer<typeof showSchema>;

/** One line of the operators' language: a query, a change to propose, or a request for an explanation. */
export type Statement
	= | {readonly type: 'query'; readonly show: Show}
		| {readonly type: 'change'; readonly change: Change}
		| {readonly type: 'explain'; readonly subject: 'request' | 'replica'; readonly id: string};

export type ParseError = {
	readonly message: string;
	/** Column of the first unexpected character, from 1. */
	readonly column: number;
	readonly expected: readonly string[];
};

/** What the parser expected at the position of the error: quoted words, and names of rules such as `name`. */
export const describeExpected = (error: PeggySyntaxError): string[] => {
	const names = (error.expected ?? []).flatMap(item => {
		if (item.type === 'literal') {
			return [`"${item.text}"`];
		}

		return item.type === 'other' ? [item.description] : [];
	});
	return [...new Set(names)].toSorted();
};

const explainSchema = z.object({type: z.literal('explain'), subject: z.enum(['request', 'replica']), id: z.string()});

/** A condition with its column in the line, for error messages. */
const locatedConditionSchema = conditionSchema.extend({column: z.number()});

const checkShow = (parsed: Record<string, unknown>): Either<ParseError, Statement> => {
	const conditions = z.array(locatedConditionSchema).parse(parsed.where);
	const {subject} = showSchema.parse(parsed);
	for (const condition of conditions) {
		const error = checkCondition(subject, condition);
		if (error !== null) {
			return Left({...error, column: condition.column});
		}
	}

	return Right({type: 'query', show: showSchema.parse(parsed)});
};

/** If only a space is missing, reports what is expected after it too. */
const describeError = (line: string, error: PeggySyntaxError): ParseError => {
	const {offset, column} = error.location.start;
	const expected = describeExpected(error);
	return {message: error.message, column, expected: expected.length === 1 && expected[0] === 'space' ? expectedAt(`${line.slice(0, offset)} `) : expected};
};

const expectedAt = (line: string): string[] => {
	try {
		parse(line);
		return ['space'];
	} catch (error) {
		return error instanceof PeggySyntaxError ? describeExpected(error).map(name => `space, then ${name}`) : ['space'];
	}
};

/** Replaces the key by its digest: the catalog is distributed to every host and must not contain plaintext keys. */
const hashTeamKey = (parsed: Record<string, unknown>): Record<string, unknown> => {
	if (parsed.type !== 'createTeam') {
		return parsed;
	}

	const {key, ...rest} = parsed;
	return {...rest, keyDigest: sha256(String(key))};
};

/** Parses one line. An error reports the column and what was expected there. */
export const parseStatement = (line: string): Either<ParseError, Statement> => {
	let parsed: Record<string, unknown>;
	try {
		parsed = parse(line) as Record<string, unknown>;
	} catch (error) {
		if (error instanceof PeggySyntaxError) {
			return Left(describeError(line, error));
		}

		throw error;
	}

	if (parsed.type === 'show') {
		return checkShow(parsed);
	}

	if (parsed.type === 'explain') {
		return Right(explainSchema.parse(parsed));
	}

	const change = changeSchema.safeParse(hashTeamKey(parsed));
	return change.success
		? Right({type: 'change', change: change.data})
		: Left({message: z.prettifyError(change.error), column: 1, expected: []});
};
