import {Command, Option} from 'clipanion';
import {ConnectedCommand} from './connected-command.js';

/** `bitternpaddle query LINE`: asks and changes nothing. */
export class QueryCommand extends ConnectedCommand {
	static override paths = [['query']];

	static override usage = Command.Usage({
		description: 'Ask what is where and what is in flight.',
		examples: [['Replicas in a zone', '$0 query "show replicas where zone = tacoma-hall"']],
	});

	line = Option.String({required: true});

	override async execute(): Promise<number> {
		return this.send(this.line);
	}
}
