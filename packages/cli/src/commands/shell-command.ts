import {appendFile, readFile} from 'node:fs/promises';
import {createInterface, type Interface} from 'node:readline';
import {completeLine, statementForms} from '@bitternpaddle/protocol';
import {Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import type {Connection} from './connected-command.js';
import {ChangeCommand} from './change-command.js';

const historySize = 500;

/** `bitternpaddle shell`: an interactive prompt with completion and history. */
export class ShellCommand extends ChangeCommand {
	static override paths = [['shell']];

	static override usage = ChangeCommand.Usage({
		description: 'Start an interactive prompt for the operators\' language, with completion (Tab) and history (arrow keys).',
		details: 'help lists the forms of statements; exit or Ctrl-D ends the shell. Lines that contain a team\'s key are not written to the history file.',
		examples: [['With a persistent history', '$0 shell --history ~/.bitternpaddle-history']],
	});

	history = Option.String('--history', {description: 'File to keep the history in. Default: none.'});

	override async execute(): Promise<number> {
		const connection = this.resolveConnection();
		if (connection === null) {
			return exitCodes.usage;
		}

		const prompt = createInterface({
			input: this.context.stdin, output: this.context.stdout, prompt: 'bitternpaddle> ', historySize, history: await this.readHistory(),
			completer(line: string): [string[], string] {
				const {word, candidates} = completeLine(line);
				return [candidates.map(candidate => `${candidate} `), word];
			},
		});
		await this.serve(prompt, connection);
		return exitCodes.done;
	}

	private async serve(prompt: Interface, connection: Connection): Promise<void> {
		prompt.prompt();
		for await (const typed of prompt) {
			const line = typed.trim();
			if (line === 'exit') {
				break;
			}

			if (line === 'help') {
				this.context.stdout.write(`${statementForms.map(({form, description}) => `${form}\n    ${description}`).join('\n')}\n`);
			} else if (line !== '') {
				await this.appendToHistory(line);
				await this.order(connection, line);
			}

			prompt.prompt();
		}

		prompt.close();
	}

	/** Reads the history, newest first as readline expects it; a missing file counts as empty. */
	private async readHistory(): Promise<string[]> {
		if (this.history === undefined) {
			return [];
		}

		const text = await readFile(this.history, 'utf8').catch(() => '');
		return text.split('\n').filter(line => line !== '').slice(-historySize).toReversed();
	}

	private async appendToHistory(line: string): Promise<void> {
		// Lines with a team's key are not kept: in a history file the key would outlive the shell, and the catalog itself stores only its digest.
		if (this.history === undefined || /\bkey\b/v.test(line)) {
			return;
		}

		await appendFile(this.history, `${line}\n`, {mode: 0o600});
	}
}
