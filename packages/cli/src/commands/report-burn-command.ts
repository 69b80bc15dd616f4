import {writeFile} from 'node:fs/promises';
import type {BurnReport} from '@bitternpaddle/coordination';
import {
	burnReportPath, fetchJson, renderBurnHtml, renderBurnText,
} from '@bitternpaddle/daemon';
import {Option} from 'clipanion';
import {match} from 'ts-pattern';
import {exitCodeOfStatus, exitCodes} from '../send-command.js';
import {ConnectedCommand} from './connected-command.js';

/** `bitternpaddle report burn`: reports how fast each service consumes its error budget. */
export class ReportBurnCommand extends ConnectedCommand {
	static override paths = [['report', 'burn']];

	static override usage = ConnectedCommand.Usage({
		description: 'Report the error budget burn rate per service and team over 5 minutes, 1 hour, 6 hours and 3 days.',
		details: 'Merges the counts of all entries since they started. An entry that does not respond is named in the report.',
		examples: [
			['As a table', '$0 report burn'],
			['As an HTML page with plots', '$0 report burn --output html --out burn.html'],
		],
	});

	override output = Option.String('--output', 'text', {description: 'Expected: text, json or html. Default: text.'});
	out = Option.String('--out', {description: 'File to write. Default: standard output.'});

	protected override readonly outputs = ['text', 'json', 'html'];

	override async execute(): Promise<number> {
		const connection = this.resolveConnection();
		if (connection === null) {
			return exitCodes.usage;
		}

		const answer = await this.tryRequest(connection.address, async () => fetchJson({...connection, path: burnReportPath}));
		if (answer === null) {
			return exitCodes.unavailable;
		}

		if (answer.status !== 200) {
			const {error} = JSON.parse(answer.text) as {error: {type: string; message: string}};
			this.context.stderr.write(`${error.type}: ${error.message}\n`);
			return exitCodeOfStatus(answer.status);
		}

		await this.write(render(JSON.parse(answer.text) as BurnReport, this.output));
		return exitCodes.done;
	}

	private async write(text: string): Promise<void> {
		if (this.out === undefined) {
			this.context.stdout.write(text);
			return;
		}

		await writeFile(this.out, text);
		this.context.stdout.write(`written to ${this.out}\n`);
	}
}

const render = (report: BurnReport, output: string): string => match(output)
	.with('json', () => `${JSON.stringify(report)}\n`)
	.with('html', () => renderBurnHtml(report))
	.otherwise(() => renderBurnText(report));
