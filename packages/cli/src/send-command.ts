import {sendLine, type CommandAnswer} from '@bitternpaddle/daemon';
import type {BaseContext} from 'clipanion';
import {formatRows} from './format-rows.js';

export type SendOptions = {
	readonly address: string;
	readonly token: string;
	readonly line: string;
	readonly output: 'table' | 'json';
	readonly commandId?: string;
	readonly ifRevision?: number;
};

export const exitCodes = {
	done: 0,
	refused: 1,
	usage: 2,
	unavailable: 3,
} as const;

/** Sends one line, prints the answer and gives the exit code. */
export const sendCommand = async (context: BaseContext, options: SendOptions): Promise<number> => {
	const {line, output} = options;
	let answer: CommandAnswer;
	try {
		answer = await sendLine(options);
	} catch (error) {
		context.stderr.write(`${options.address} cannot be reached: ${(error as Error).message}\n`);
		return exitCodes.unavailable;
	}

	if (output === 'json') {
		context.stdout.write(`${JSON.stringify(answer.body)}\n`);
	} else {
		printAnswer(context, line, answer);
	}

	return exitCodeOfStatus(answer.status);
};

export const exitCodeOfStatus = (status: number): number => {
	if (status === 200) {
		return exitCodes.done;
	}

	if (status === 400) {
		return exitCodes.usage;
	}

	return status === 503 ? exitCodes.unavailable : exitCodes.refused;
};

const printAnswer = ({stdout, stderr}: BaseContext, line: string, {body}: CommandAnswer): void => {
	if (body.rows !== undefined) {
		stdout.write(formatRows(body.rows));
	} else if (body.error?.column !== undefined) {
		const expected = body.error.expected?.join(', ') ?? '';
		stderr.write(`${line}\n${' '.repeat(body.error.column - 1)}^\nexpected ${expected}\n`);
	} else if (body.type === 'accepted') {
		stdout.write(`accepted at revision ${body.revision}\n`);
	} else {
		stderr.write(`${body.type ?? body.error?.type ?? 'error'}: ${body.message ?? body.error?.message ?? ''}\n`);
	}
};
