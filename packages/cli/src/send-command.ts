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
	/** @default a random UUID */
	readonly commandId?: string;
	readonly ifRevision?: number;
};

export const exitCodes = {
	done: 0,
	refused: 1,
	usage: 2,
	unavailable: 3,
} as const;

/** Exit code, and the revision of an accepted change; `null` for anything else. */
export type SendOutcome = {readonly code: number; readonly revision: number | null};

const unavailableStatus = 503;
/** Long enough for several elections; after that the operator should see the error. */
const retryTimeoutMs = 5000;
const retryIntervalMs = 250;

/**
 * Retries a line while there is no leader. Without this, a command sent during
 * an election would fail although a second later it would be accepted. The
 * command id makes the retry safe, even if the first attempt was accepted and
 * only its response was lost.
 */
const sendWithRetries = async (options: SendOptions): Promise<CommandAnswer> => {
	const {commandId = randomUUID()} = options;
	const retryUntilMs = performance.now() + retryTimeoutMs;
	for (;;) {
		const answer = await sendLine({...options, commandId});
		if (answer.status !== unavailableStatus || performance.now() >= retryUntilMs) {
			return answer;
		}

		await delay(retryIntervalMs);
	}
};

/** Sends one line and prints the response. */
export const sendCommand = async (context: BaseContext, options: SendOptions): Promise<SendOutcome> => {
	const {line, output} = options;
	let answer: CommandAnswer;
	try {
		answer = await sendWithRetries(options);
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
			stderr.write(`no response from: ${body.missingEntries.join(', ')}\n`);
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
