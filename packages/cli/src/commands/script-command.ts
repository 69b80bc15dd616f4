import {readFile} from 'node:fs/promises';
import {Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import {OrderingCommand} from './ordering-command.js';

/** `bitternpaddle script FILE`: a file of lines, one after the other. */
export class ScriptCommand extends OrderingCommand {
	static override paths = [['script']];

	static override usage = OrderingCommand.Usage({
		description: 'Run a file of lines; stops at the first error and tells its line.',
		details: 'Empty lines and lines that begin with # are passed over. The exit code is that of the line that failed.',
		examples: [['A migration, each step awaited', '$0 script migrate.txt --wait']],
	});

	file = Option.String({required: true});

	override async execute(): Promise<number> {
		const connection = this.connect();
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
