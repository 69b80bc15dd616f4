import {Command, Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import {ChangeCommand} from './change-command.js';

/** `bitternpaddle run LINE`: submits a change. */
export class RunCommand extends ChangeCommand {
	static override paths = [['run']];

	static override usage = Command.Usage({
		description: 'Submit a change, such as a load, move, drain or stop.',
		details: 'With --command-id, a resend after a lost response gets the first result instead of running the command again. '
			+ 'With --if-revision, the command is refused if the configuration has changed since that revision.',
		examples: [['Load a version and wait for it', '$0 run --wait "load pitch-desk:v2 on fleet fair-mornings"']],
	});

	line = Option.String({required: true});
	commandId = Option.String('--command-id', {description: 'Identifies this command in resends.'});
	ifRevision = Option.String('--if-revision', {description: 'Expected: a whole number.'});

	override async execute(): Promise<number> {
		const connection = this.resolveConnection();
		return connection === null
			? exitCodes.usage
			: this.order(connection, this.line, {commandId: this.commandId, ifRevision: this.ifRevision === undefined ? undefined : Number(this.ifRevision)});
	}

	protected override problems(): string[] {
		const isInvalid = this.ifRevision !== undefined && !/^\d+$/v.test(this.ifRevision);
		return [...super.problems(), ...(isInvalid ? [`--if-revision is "${this.ifRevision}": expected a whole number`] : [])];
	}
}
