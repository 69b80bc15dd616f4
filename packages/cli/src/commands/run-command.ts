import {Command, Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import {ConnectedCommand} from './connected-command.js';

/** `bitternpaddle run LINE`: orders a change. */
export class RunCommand extends ConnectedCommand {
	static override paths = [['run']];

	static override usage = Command.Usage({
		description: 'Order loads, moves, drains and stops.',
		details: 'With --command-id a resend after a lost answer gets the first result instead of running the order again. '
			+ 'With --if-revision the order is refused if somebody changed the configuration since.',
		examples: [['Load a version', '$0 run "load pitch-desk:v2 on fleet fair-mornings"']],
	});

	line = Option.String({required: true});
	commandId = Option.String('--command-id', {description: 'Names this order for resends.'});
	ifRevision = Option.String('--if-revision', {description: 'Expected: a whole number.'});

	override async execute(): Promise<number> {
		if (this.ifRevision !== undefined && !/^\d+$/v.test(this.ifRevision)) {
			this.context.stderr.write(`--if-revision is "${this.ifRevision}": expected a whole number\n`);
			return exitCodes.usage;
		}

		return this.send(this.line, {commandId: this.commandId, ifRevision: this.ifRevision === undefined ? undefined : Number(this.ifRevision)});
	}
}
