import process from 'node:process';
import {Command, Option} from 'clipanion';
import {exitCodes, sendCommand} from '../send-command.js';

/** What every command that talks to an entry has. */
export abstract class ConnectedCommand extends Command {
	address = Option.String('--address', {description: 'An entry, ip:port. Default: 127.0.0.1:7100. (BITTERNPADDLE_ADDRESS)'});
	token = Option.String('--token', {description: 'An administration token. (BITTERNPADDLE_TOKEN)'});
	output = Option.String('--output', 'table', {description: 'Expected: table or json. Default: table.'});

	protected async send(line: string, extra: {commandId?: string; ifRevision?: number} = {}): Promise<number> {
		const address = this.address ?? process.env.BITTERNPADDLE_ADDRESS ?? '127.0.0.1:7100';
		const token = this.token ?? process.env.BITTERNPADDLE_TOKEN;
		const problems: string[] = [];
		if (!/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v.test(address)) {
			problems.push(`--address is "${address}": expected ip:port`);
		}

		if (token === undefined) {
			problems.push('--token (BITTERNPADDLE_TOKEN) is needed: expected an administration token');
		}

		if (this.output !== 'table' && this.output !== 'json') {
			problems.push(`--output is "${this.output}": expected table or json`);
		}

		if (problems.length > 0) {
			this.context.stderr.write(`${problems.join('\n')}\n`);
			return exitCodes.usage;
		}

		return sendCommand(this.context, {
			address, token: token!, line, output: this.output === 'json' ? 'json' : 'table', ...extra,
		});
	}
}
