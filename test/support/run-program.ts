import {PassThrough, Readable} from 'node:stream';
import {createOperatorProgram} from '@bitternpaddle/cli';

export type ProgramRun = {readonly code: number; readonly text: string};

/** Runs `bitternpaddle` in this process; `text` is the combined standard output and standard error, in order. */
export const runProgram = async (argv: readonly string[], input = ''): Promise<ProgramRun> => {
	const parts: string[] = [];
	const output = new PassThrough();
	output.on('data', (part: Uint8Array) => {
		parts.push(new TextDecoder().decode(part));
	});
	const code = await createOperatorProgram().run([...argv], {stdin: Readable.from([input]), stdout: output, stderr: output});
	return {code, text: parts.join('')};
};
