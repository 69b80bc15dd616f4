import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const daemonFile = fileURLToPath(new URL('../../../daemon/bin/bitternpaddled.js', import.meta.url));

export type DaemonProcess = {
	readonly pid: number;
	terminate(): Promise<void>;
};

const createTerminate = (child: ChildProcess) => async (): Promise<void> => {
	if (child.exitCode === null && child.signalCode === null) {
		const exited = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill('SIGKILL');
		await exited;
	}
};

const startNodeProcess = (nodeArguments: readonly string[]): DaemonProcess => {
	const child = spawn(process.execPath, [...nodeArguments], {stdio: 'ignore'});
	if (child.pid === undefined) {
		throw new Error(`failed to start ${path.basename(process.execPath)}`);
	}

	return {pid: child.pid, terminate: createTerminate(child)};
};

export type ScriptProcess = DaemonProcess & {
	/** The first line that the script prints to standard output. */
	readonly line: Promise<string>;
};

/** Starts a compiled script of this folder in its own process. */
export const startScript = (name: string, scriptArguments: readonly string[]): ScriptProcess => {
	const child = spawn(process.execPath, [fileURLToPath(new URL(`${name}.js`, import.meta.url)), ...scriptArguments], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	const line = new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		lines.once('close', () => {
			reject(new Error(`${name} exited without printing a line`));
		});
	});
	// Avoids an unhandled rejection if nobody awaits the line: callers that await it still receive the error, and a script that this process terminates has not failed.
	line.catch(() => undefined);
	return {pid: child.pid!, line, terminate: createTerminate(child)};
};

/** Starts `bitternpaddled run` in its own process, with logging switched off. */
export const startDaemon = (flags: Record<string, string>): DaemonProcess => startNodeProcess([
	daemonFile, 'run', ...Object.entries({'log-level': 'silent', ...flags}).flatMap(([name, value]) => [`--${name}`, value]),
]);

/** Starts a Node process that loads none of this project's code, to measure the runtime alone. */
export const startEmptyNode = (): DaemonProcess => startNodeProcess(['-e', 'setInterval(() => {}, 1000)']);
