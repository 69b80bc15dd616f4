import {Command, Option} from 'clipanion';

/** `bitternpaddled demo`: a whole session against the embedded system, checked. */
export class DemoCommand extends Command {
	static override paths = [['demo']];

	static override usage = Command.Usage({description: 'Run a whole session on the embedded system; exits 0 only if every outcome was right.'});

	record = Option.String('--record', {description: 'File for the trace of one control host\'s decisions.'});

	override async execute(): Promise<number> {
		const {runDemo} = await import('../dev/run-demo.js');
		const {failures} = await runDemo({
			print: line => {
				this.context.stdout.write(`${line}\n`);
			},
			recordFile: this.record,
		});
		this.context.stdout.write(failures.length === 0 ? 'Every outcome was right.\n' : `Wrong: ${failures.join('; ')}\n`);
		return failures.length === 0 ? 0 : 1;
	}
}
