import {readFile} from 'node:fs/promises';
import {replayRecording} from '@bitternpaddle/daemon';
import {Command, Option} from 'clipanion';
import {exitCodes} from '../send-command.js';

/** `bitternpaddle replay FILE`: replays recorded decisions. */
export class ReplayCommand extends Command {
	static override paths = [['replay']];

	static override usage = Command.Usage({
		description: 'Replay the decisions in a recording and report the first that differs.',
		examples: [['Replay a recording of `bitternpaddled run --record`', '$0 replay trace.jsonl']],
	});

	file = Option.String({required: true});

	override async execute(): Promise<number> {
		try {
			const result = replayRecording(await readFile(this.file, 'utf8'));
			if (result.type === 'same') {
				this.context.stdout.write(`${result.steps} steps replayed with the same decisions; term ${result.term}, committed up to ${result.commitIndex}\n`);
				return exitCodes.done;
			}

			this.context.stdout.write(`line ${result.line} differs: ${JSON.stringify(result.event)} now results in ${JSON.stringify(result.effects)}\n`);
			return exitCodes.refused;
		} catch (error) {
			this.context.stderr.write(`${this.file} cannot be replayed: ${(error as Error).message}\n`);
			return exitCodes.usage;
		}
	}
}
