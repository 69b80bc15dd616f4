import {Builtins, Cli} from 'clipanion';
import {ManifestCreateCommand} from './commands/manifest-command.js';
import {QueryCommand} from './commands/query-command.js';
import {ReplayCommand} from './commands/replay-command.js';
import {ReportBurnCommand} from './commands/report-burn-command.js';
import {RunCommand} from './commands/run-command.js';
import {ScriptCommand} from './commands/script-command.js';
import {ShellCommand} from './commands/shell-command.js';

export const createOperatorProgram = (): Cli => {
	const cli = new Cli({binaryLabel: 'bitternpaddle for operators', binaryName: 'bitternpaddle', binaryVersion: '0.1.0'});
	for (const command of [
		QueryCommand,
		RunCommand,
		ScriptCommand,
		ShellCommand,
		ReportBurnCommand,
		ManifestCreateCommand,
		ReplayCommand,
		Builtins.HelpCommand,
		Builtins.VersionCommand,
	]) {
		cli.register(command);
	}

	return cli;
};
