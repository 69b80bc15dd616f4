import {readFile} from 'node:fs/promises';
import {Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import {ChangeCommand} from './change-command.js';

/** `bitternpaddle script FILE`: runs the lines of a file in order. */
export class ScriptCommand extends ChangeCommand {
	static override paths = [['script']];

	static override usage = ChangeCommand.Usage({
		description: 'Run the lines of a file; stops at the first error and prints its line number.',
		details: 'Empty lines and lines that begin with # are skipped. The exit code is that of the line that failed.',
		examples: [['A migration that waits for each step', '$0 script migrate.txt --wait']],
	});

	file = Option.String({required: true});

	override async execute(): Promise<number> {
		const connection = this.resolveConnection();
		if (connection === null) {
			return exitCodes.usage;
		}

		let text: string;
		try {
			text = await readFile(this.file, 'utf8');
		} catch (error) {
			this.context.stderr.write(`${this.file} cannot be read: ${(error as Error).message}\n`);
			return exitCodes.usage;
		}

		for (const [index, line] of text.split(/\r?\n/v).entries()) {
			const statement = line.trim();
			if (statement === '' || statement.startsWith('#')) {
				continue;
			}

			if (this.output === 'table') {
				this.context.stdout.write(`> ${statement}\n`);
			}

			const code = await this.order(connection, statement);
			if (code !== exitCodes.done) {
				this.context.stderr.write(`${this.file}:${index + 1}: stopped here\n`);
				return code;
			}
		}

		return exitCodes.done;
	}
}
