import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
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

/** `bitternpaddled run` as its own process, silent. */
export const startDaemon = (flags: Record<string, string>): DaemonProcess => startNode([
	daemonFile, 'run', ...Object.entries({'log-level': 'silent', ...flags}).flatMap(([name, value]) => [`--${name}`, value]),
]);

/** A Node process that loads nothing of ours: what the runtime alone takes. */
export const startEmptyNode = (): DaemonProcess => startNode(['-e', 'setInterval(() => {}, 1000)']);
