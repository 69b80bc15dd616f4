import {Builtins, Cli} from 'clipanion';
import {DemoCommand} from './commands/demo-command.js';
import {DevCommand} from './commands/dev-command.js';
import {FakeCommand} from './commands/fake-command.js';
import {RunCommand} from './commands/run-command.js';

export const createDaemonProgram = (): Cli => {
	const cli = new Cli({binaryLabel: 'bitternpaddle daemon', binaryName: 'bitternpaddled', binaryVersion: '0.1.0'});
	for (const command of [RunCommand, DevCommand, DemoCommand, FakeCommand, Builtins.HelpCommand, Builtins.VersionCommand]) {
		cli.register(command);
	}

	return cli;
};
