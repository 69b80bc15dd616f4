import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Test} from 'tap';

const daemonFile = path.resolve('packages/daemon/bin/bitternpaddled.js');
const shownLines = 12;
const keptLines = 500;

/** How a process ended: by itself with a code, or by a signal. */
export type ProcessEnd = {readonly code: number | null; readonly signal: NodeJS.Signals | null};

/** `bitternpaddled run` as a process of its own. */
export type DaemonProcess = {
	readonly hostId: string;
	readonly pid: number;
	/** The newest lines of both outputs. */
	readonly lines: readonly string[];
	/** Resolves once the process is gone. */
	readonly ended: Promise<ProcessEnd>;
	isRunning(): boolean;
	/** Sends a signal to this process and to no other. */
	signal(name: NodeJS.Signals): void;
	/** Sends the signal and waits for the end. */
	end(name: NodeJS.Signals): Promise<ProcessEnd>;
};

export type DaemonFlags = Readonly<Record<string, string>> & {readonly 'host-id': string};

const flagWords = (flags: DaemonFlags): string[] => Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]);

const keepLines = (child: ChildProcess): string[] => {
	const lines: string[] = [];
	for (const stream of [child.stdout!, child.stderr!]) {
		createInterface({input: stream}).on('line', line => {
			lines.push(line);
			lines.splice(0, lines.length - keptLines);
		});
	}

	return lines;
};

const describe = ({hostId, pid, lines}: DaemonProcess, end: ProcessEnd | null): string => {
	const state = end === null ? 'still runs' : `ended with ${end.signal ?? `code ${end.code}`}`;
	return [`${hostId} (process ${pid}) ${state}; its last lines:`, ...lines.slice(-shownLines).map(line => `    ${line}`)].join('\n');
};

const running = new Set<ChildProcess>();

// A test file that runs out of time gets SIGALRM from tap and then SIGKILL: no teardown runs, and its daemons would stay behind.
process.once('SIGALRM', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/**
 * Starts a daemon that ends with the test at the latest. A test that failed
 * shows how its processes ended and what they said last: from the test's side a
 * daemon that did not come up looks like a slow one.
 */
export const startDaemon = (t: Test, flags: DaemonFlags): DaemonProcess => {
	const child = spawn(process.execPath, [daemonFile, 'run', ...flagWords(flags)], {stdio: ['ignore', 'pipe', 'pipe']});
	running.add(child);
	let end: ProcessEnd | null = null;
	const ended = new Promise<ProcessEnd>(resolve => {
		child.once('exit', (code, signal) => {
			running.delete(child);
			end = {code, signal};
			resolve(end);
		});
	});
	const daemon: DaemonProcess = {
		hostId: flags['host-id'], pid: child.pid!, lines: keepLines(child), ended,
		isRunning: () => end === null,
		signal(name) {
			child.kill(name);
		},
		async end(name) {
			child.kill(name);
			return ended;
		},
	};
	t.teardown(async () => {
		if (!t.passing()) {
			console.error(describe(daemon, end));
		}

		// Ends a frozen process too.
		await daemon.end('SIGKILL');
	});
	return daemon;
};
