import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Test} from 'tap';

const daemonFile = path.resolve('packages/daemon/bin/bitternpaddled.js');
const printedLines = 12;
const retainedLines = 500;

/** How a process exited: with a code, or by a signal. */
export type ProcessExit = {readonly code: number | null; readonly signal: NodeJS.Signals | null};

/** `bitternpaddled run` in a separate process. */
export type DaemonProcess = {
	readonly hostId: string;
	readonly pid: number;
	/** The latest lines of standard output and standard error. */
	readonly lines: readonly string[];
	/** Resolves when the process has exited. */
	readonly exited: Promise<ProcessExit>;
	isRunning(): boolean;
	/** Sends a signal to this process only. */
	signal(name: NodeJS.Signals): void;
	/** Sends the signal and waits for the exit. */
	terminate(name: NodeJS.Signals): Promise<ProcessExit>;
};

export type DaemonFlags = Readonly<Record<string, string>> & {readonly 'host-id': string};

const flagArguments = (flags: DaemonFlags): string[] => Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]);

const collectLines = (child: ChildProcess): string[] => {
	const lines: string[] = [];
	for (const stream of [child.stdout!, child.stderr!]) {
		createInterface({input: stream}).on('line', line => {
			lines.push(line);
			lines.splice(0, lines.length - retainedLines);
		});
	}

	return lines;
};

const describeExit = ({hostId, pid, lines}: DaemonProcess, end: ProcessExit | null): string => {
	const state = end === null ? 'is still running' : `exited with ${end.signal ?? `code ${end.code}`}`;
	return [`${hostId} (process ${pid}) ${state}; its last log lines:`, ...lines.slice(-printedLines).map(line => `    ${line}`)].join('\n');
};

const running = new Set<ChildProcess>();

// Tap sends a test file that times out SIGALRM and then SIGKILL: no teardown runs, and its daemons would keep running.
process.once('SIGALRM', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

export type StartDaemonOptions = {
	/** Whether the loaders that tap adds to every process of Node.js are kept. @default true */
	readonly hasLoaders?: boolean;
};

/**
 * Starts a daemon that is killed when the test ends. A failed test prints how
 * its processes exited and their last log lines: to the test, a daemon that
 * failed to start looks like a slow one.
 */
export const startDaemon = (t: Test, flags: DaemonFlags, {hasLoaders = true}: StartDaemonOptions = {}): DaemonProcess => {
	const command = [process.execPath, daemonFile, 'run', ...flagArguments(flags)];
	const child = hasLoaders
		? spawn(command[0]!, command.slice(1), {stdio: ['ignore', 'pipe', 'pipe']})
		: spawn('env', ['-u', 'NODE_OPTIONS', ...command], {stdio: ['ignore', 'pipe', 'pipe']});
	running.add(child);
	let end: ProcessExit | null = null;
	const exited = new Promise<ProcessExit>(resolve => {
		child.once('exit', (code, signal) => {
			running.delete(child);
			end = {code, signal};
			resolve(end);
		});
	});
	const daemon: DaemonProcess = {
		hostId: flags['host-id'], pid: child.pid!, lines: collectLines(child), exited,
		isRunning: () => end === null,
		signal(name) {
			child.kill(name);
		},
		async terminate(name) {
			child.kill(name);
			return exited;
		},
	};
	t.teardown(async () => {
		if (!t.passing()) {
			console.error(describeExit(daemon, end));
		}

		// SIGKILL also ends a suspended process.
		await daemon.terminate('SIGKILL');
	});
	return daemon;
};
