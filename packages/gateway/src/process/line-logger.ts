import fs from 'node:fs';
import {logEvents, type LogEventId, type Logger} from '@bitternpaddle/transport';

export type LineLoggerOptions = {
	/** Fields added to every line. */
	readonly labels: Readonly<Record<string, string>>;
	/** Maximum lines of one event per second; lines beyond it are counted and reported. @default 40 */
	readonly linesPerSecond?: number;
	/** Maximum number of bytes buffered for the reader of the output. @default 65536 */
	readonly maxWaitingBytes?: number;
	/** @default 1 */
	readonly fileDescriptor?: number;
};

const windowMs = 1000;
/**
 * Minimum interval between writes; lines in between are written together, because at
 * the rate of a busy entry a separate write costs more than formatting its line. A
 * process that is killed loses at most the lines of this interval.
 */
const batchIntervalMs = 50;

/**
 * Writes one JSON line per event to standard output without ever waiting for its
 * reader: a pipe that is not read would block the process and all its requests. One
 * write is in progress at a time. Lines that exceed the buffer limit or the rate limit
 * of their event are counted instead of written.
 */
export const createLineLogger = ({labels, linesPerSecond = 40, maxWaitingBytes = 65_536, fileDescriptor = 1}: LineLoggerOptions): Logger => {
	let pendingLines: string[] = [];
	let pendingBytes = 0;
	let isWriting = false;
	let lastWriteAtMs = Number.NEGATIVE_INFINITY;
	let writeTimer: NodeJS.Timeout | null = null;
	let windowStartMs = performance.now();
	const counts = new Map<LogEventId, number>();

	const scheduleWrite = (): void => {
		if (isWriting || pendingLines.length === 0) {
			return;
		}

		writeTimer ??= setTimeout(writePending, Math.max(0, lastWriteAtMs + batchIntervalMs - performance.now()));
	};

	const writePending = (): void => {
		writeTimer = null;
		lastWriteAtMs = performance.now();
		const text = pendingLines.join('');
		pendingLines = [];
		pendingBytes = 0;
		isWriting = true;
		fs.write(fileDescriptor, text, () => {
			isWriting = false;
			scheduleWrite();
		});
	};

	const append = (line: string): boolean => {
		if (pendingBytes + line.length > maxWaitingBytes) {
			return false;
		}

		pendingLines.push(line);
		pendingBytes += line.length;
		scheduleWrite();
		return true;
	};

	const format = (id: LogEventId, fields: Record<string, unknown>): string => {
		const {level, text} = logEvents[id];
		return `${JSON.stringify({
			time: new Date().toISOString(), level, event: id, text, ...labels, ...fields,
		})}\n`;
	};

	const beginWindow = (nowMs: number): void => {
		windowStartMs = nowMs;
		const omitted = Object.fromEntries([...counts].filter(([, count]) => count > linesPerSecond).map(([id, count]) => [id, count - linesPerSecond]));
		counts.clear();
		if (Object.keys(omitted).length > 0) {
			append(format('BP4090', {omitted}));
		}
	};

	return {
		event(id, fields = {}) {
			const nowMs = performance.now();
			if (nowMs - windowStartMs > windowMs) {
				beginWindow(nowMs);
			}

			const count = (counts.get(id) ?? 0) + 1;
			counts.set(id, count);
			if (count <= linesPerSecond && !append(format(id, fields))) {
				counts.set(id, Math.max(count, linesPerSecond) + 1);
			}
		},
	};
};
