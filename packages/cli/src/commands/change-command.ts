import {Option} from 'clipanion';
import {exitCodes, sendCommand} from '../send-command.js';
import {waitFor} from '../wait-for.js';
import {ConnectedCommand, type Connection} from './connected-command.js';

const defaultTimeoutSeconds = 600;

/** Base class of the commands that submit changes. */
export abstract class ChangeCommand extends ConnectedCommand {
	wait = Option.Boolean('--wait', false, {description: 'Wait until each change is in force on all hosts and, for a load, until its replicas are ready.'});
	timeoutSeconds = Option.String('--timeout-seconds', String(defaultTimeoutSeconds), {description: `How long --wait waits at most. Expected: a whole number. Default: ${defaultTimeoutSeconds}.`});

	/** Sends one line, waits for its change with `--wait`, and returns the exit code. */
	protected async order(connection: Connection, line: string, options: {commandId?: string; ifRevision?: number} = {}): Promise<number> {
		const {code, revision} = await sendCommand(this.context, {
			...connection, line, output: this.output === 'json' ? 'json' : 'table', ...options,
		});
		if (code !== exitCodes.done || revision === null || !this.wait) {
			return code;
		}

		const outcome = await waitFor({
			client: connection, line, revision, timeoutMs: Number(this.timeoutSeconds) * 1000,
			onProgress: text => {
				this.context.stderr.write(`${text}\n`);
			},
		});
		if (outcome.type === 'done') {
			return exitCodes.done;
		}

		this.context.stderr.write(`accepted, but not done within ${this.timeoutSeconds} s: ${outcome.last}\n`);
		return exitCodes.unavailable;
	}

	protected override problems(): string[] {
		return /^\d+$/v.test(this.timeoutSeconds) ? [] : [`--timeout-seconds is "${this.timeoutSeconds}": expected a whole number`];
	}
}
