import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {sendLine, type CommandAnswer} from '@bitternpaddle/daemon';
import type {BaseContext} from 'clipanion';
import {formatRows} from './format-rows.js';

export type SendOptions = {
	readonly address: string;
	readonly token: string;
	readonly line: string;
	readonly output: 'table' | 'json';
	/** @default a new one */
	readonly commandId?: string;
	readonly ifRevision?: number;
};

export const exitCodes = {
	done: 0,
	refused: 1,
	usage: 2,
	unavailable: 3,
} as const;

/** `revision`: where an accepted change stands; `null` for anything else. */
export type SendOutcome = {readonly code: number; readonly revision: number | null};

const unavailableStatus = 503;
/** Several elections; whoever has waited so long wants to know. */
const patienceMs = 5000;
const pauseMs = 250;

/**
 * Sends a line again while nobody leads. Without this an order that meets an
 * election fails, though the next second would take it. The command id makes
 * the resend safe, also if the first was accepted and only its answer is lost.
 */
const sendPatiently = async (options: SendOptions): Promise<CommandAnswer> => {
	const {commandId = randomUUID()} = options;
	const giveUpAtMs = performance.now() + patienceMs;
	for (;;) {
		const answer = await sendLine({...options, commandId});
		if (answer.status !== unavailableStatus || performance.now() >= giveUpAtMs) {
			return answer;
		}

		await delay(pauseMs);
	}
};

/** Sends one line and prints the answer. */
export const sendCommand = async (context: BaseContext, options: SendOptions): Promise<SendOutcome> => {
	const {line, output} = options;
	let answer: CommandAnswer;
	try {
		answer = await sendPatiently(options);
	} catch (error) {
		context.stderr.write(`${options.address} cannot be reached: ${(error as Error).message}\n`);
		return {code: exitCodes.unavailable, revision: null};
	}

	if (output === 'json') {
		context.stdout.write(`${JSON.stringify(answer.body)}\n`);
	} else {
		printAnswer(context, line, answer);
	}

	return {code: exitCodeOfStatus(answer.status), revision: answer.body.type === 'accepted' ? answer.body.revision ?? null : null};
};

export const exitCodeOfStatus = (status: number): number => {
	if (status === 200) {
		return exitCodes.done;
	}

	if (status === 400) {
		return exitCodes.usage;
	}

	return status === unavailableStatus ? exitCodes.unavailable : exitCodes.refused;
};

const printAnswer = ({stdout, stderr}: BaseContext, line: string, {body}: CommandAnswer): void => {
	if (body.rows !== undefined) {
		stdout.write(formatRows(body.rows));
		if (body.missingEntries !== undefined) {
			stderr.write(`not heard: ${body.missingEntries.join(', ')}\n`);
		}
	} else if (body.error?.column !== undefined) {
		const {column, expected = [], message} = body.error;
		stderr.write(`${line}\n${' '.repeat(column - 1)}^\n${expected.length === 0 ? message : `expected ${expected.join(', ')}`}\n`);
	} else if (body.type === 'accepted') {
		stdout.write(`accepted at revision ${body.revision}\n`);
	} else {
		stderr.write(`${body.type ?? body.error?.type ?? 'error'}: ${body.message ?? body.error?.message ?? ''}\n`);
	}
};
