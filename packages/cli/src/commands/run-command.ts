import {Command, Option} from 'clipanion';
import {exitCodes} from '../send-command.js';
import {OrderingCommand} from './ordering-command.js';

/** `bitternpaddle run LINE`: orders a change. */
export class RunCommand extends OrderingCommand {
	static override paths = [['run']];

	static override usage = Command.Usage({
		description: 'Order loads, moves, drains and stops.',
		details: 'With --command-id a resend after a lost answer gets the first result instead of running the order again. '
			+ 'With --if-revision the order is refused if somebody changed the configuration since.',
		examples: [['Load a version and wait for it', '$0 run --wait "load pitch-desk:v2 on fleet fair-mornings"']],
	});

	line = Option.String({required: true});
	commandId = Option.String('--command-id', {description: 'Names this order for resends.'});
	ifRevision = Option.String('--if-revision', {description: 'Expected: a whole number.'});

	override async execute(): Promise<number> {
		const connection = this.connect();
		return connection === null
			? exitCodes.usage
			: this.order(connection, this.line, {commandId: this.commandId, ifRevision: this.ifRevision === undefined ? undefined : Number(this.ifRevision)});
	}

	protected override problems(): string[] {
		const isWrong = this.ifRevision !== undefined && !/^\d+$/v.test(this.ifRevision);
		return [...super.problems(), ...(isWrong ? [`--if-revision is "${this.ifRevision}": expected a whole number`] : [])];
	}
}
