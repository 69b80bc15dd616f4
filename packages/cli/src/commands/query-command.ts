import {Command, Option} from 'clipanion';
import {parseStatement} from '@bitternpaddle/protocol';
import {exitCodes, sendCommand} from '../send-command.js';
import {ConnectedCommand} from './connected-command.js';

/** `bitternpaddle query LINE`: runs a read-only statement. */
export class QueryCommand extends ConnectedCommand {
	static override paths = [['query']];

	static override usage = Command.Usage({
		description: 'Query the state of the system and the requests in flight.',
		examples: [['Replicas in a zone', '$0 query "show replicas where zone = tacoma-hall"']],
	});

	line = Option.String({required: true});

	override async execute(): Promise<number> {
		const connection = this.resolveConnection();
		if (connection === null) {
			return exitCodes.usage;
		}

		if (isChange(this.line)) {
			this.context.stderr.write('query asks and changes nothing: expected show or explain; orders go through run\n');
			return exitCodes.usage;
		}

		const {code} = await sendCommand(this.context, {...connection, line: this.line, output: this.output === 'json' ? 'json' : 'table'});
		return code;
	}
}

/** Whether a line is a change. A line that does not parse is left to the entry, whose error names the position. */
const isChange = (line: string): boolean => parseStatement(line).caseOf({Left: () => false, Right: ({type}) => type === 'change'});
