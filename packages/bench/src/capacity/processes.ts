import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const daemonFile = fileURLToPath(new URL('../../../daemon/bin/bitternpaddled.js', import.meta.url));

export type DaemonProcess = {
	readonly pid: number;
	end(): Promise<void>;
};

const endOf = (child: ChildProcess) => async (): Promise<void> => {
	if (child.exitCode === null && child.signalCode === null) {
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill('SIGKILL');
		await ended;
	}
};

const startNode = (nodeArguments: readonly string[]): DaemonProcess => {
	const child = spawn(process.execPath, [...nodeArguments], {stdio: 'ignore'});
	if (child.pid === undefined) {
		throw new Error(`could not start ${path.basename(process.execPath)}`);
	}

	return {pid: child.pid, end: endOf(child)};
};

export type ScriptProcess = DaemonProcess & {
	/** What the script prints as its first line. */
	readonly line: Promise<string>;
};

/** A compiled script of this folder as its own process. */
export const startScript = (name: string, scriptArguments: readonly string[]): ScriptProcess => {
	const child = spawn(process.execPath, [fileURLToPath(new URL(`${name}.js`, import.meta.url)), ...scriptArguments], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	const line = new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		lines.once('close', () => {
			reject(new Error(`${name} ended without a line`));
		});
	});
	// Whoever awaits it hears of the failure; an end by this process is none.
	line.catch(() => undefined);
	return {pid: child.pid!, line, end: endOf(child)};
};

/** `bitternpaddled run` as its own process, silent. */
export const startDaemon = (flags: Record<string, string>): DaemonProcess => startNode([
	daemonFile, 'run', ...Object.entries({'log-level': 'silent', ...flags}).flatMap(([name, value]) => [`--${name}`, value]),
]);

/** A Node process that loads nothing of ours: what the runtime alone takes. */
export const startEmptyNode = (): DaemonProcess => startNode(['-e', 'setInterval(() => {}, 1000)']);
