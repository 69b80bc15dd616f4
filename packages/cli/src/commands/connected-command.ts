import process from 'node:process';
import {Command, Option} from 'clipanion';

export type Connection = {readonly address: string; readonly token: string};

/** Base class of the commands that connect to an entry. */
export abstract class ConnectedCommand extends Command {
	address = Option.String('--address', {description: 'An entry, ip:port. Default: 127.0.0.1:7100. (BITTERNPADDLE_ADDRESS)'});
	token = Option.String('--token', {description: 'An administration token. (BITTERNPADDLE_TOKEN)'});
	output = Option.String('--output', 'table', {description: 'Expected: table or json. Default: table.'});

	protected readonly outputs: readonly string[] = ['table', 'json'];

	/** Validates the flags; on a problem, prints what is wrong and returns `null`. */
	protected resolveConnection(): Connection | null {
		const address = this.address ?? process.env.BITTERNPADDLE_ADDRESS ?? '127.0.0.1:7100';
		const token = this.token ?? process.env.BITTERNPADDLE_TOKEN;
		const problems = this.problems();
		if (!/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v.test(address)) {
			problems.push(`--address is "${address}": expected ip:port`);
		}

		if (token === undefined) {
			problems.push('--token (BITTERNPADDLE_TOKEN) is needed: expected an administration token');
		}

		if (!this.outputs.includes(this.output)) {
			problems.push(`--output is "${this.output}": expected ${this.outputs.join(' or ')}`);
		}

		if (problems.length > 0) {
			this.context.stderr.write(`${problems.join('\n')}\n`);
			return null;
		}

		return {address, token: token!};
	}

	/** Problems with the flags of the command itself. */
	protected problems(): string[] {
		return [];
	}

	/** Resolves with the result of `request`, or with `null` after printing that the entry cannot be reached. */
	protected async tryRequest<Answer>(address: string, request: () => Promise<Answer>): Promise<Answer | null> {
		try {
			return await request();
		} catch (error) {
			this.context.stderr.write(`${address} cannot be reached: ${(error as Error).message}\n`);
			return null;
		}
	}
}
