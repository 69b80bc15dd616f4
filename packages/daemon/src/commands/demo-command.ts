import {Command, Option} from 'clipanion';

/** `bitternpaddled demo`: runs a complete session on the embedded system and checks its outcomes. */
export class DemoCommand extends Command {
	static override paths = [['demo']];

	static override usage = Command.Usage({description: 'Run a complete session on the embedded system; exits with 0 only if every outcome was as expected.'});

	record = Option.String('--record', {description: 'File to which the decisions of one control host are recorded.'});

	override async execute(): Promise<number> {
		const {runDemo} = await import('../dev/run-demo.js');
		const {failures} = await runDemo({
			print: line => {
				this.context.stdout.write(`${line}\n`);
			},
			recordFile: this.record,
		});
		this.context.stdout.write(failures.length === 0 ? 'Every outcome was as expected.\n' : `Unexpected outcomes: ${failures.join('; ')}\n`);
		return failures.length === 0 ? 0 : 1;
	}
}
