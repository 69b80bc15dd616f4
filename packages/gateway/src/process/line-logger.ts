import fs from 'node:fs';
import {logEvents, type LogEventId, type Logger} from '@bitternpaddle/transport';

export type LineLoggerOptions = {
	/** Fields on every line. */
	readonly labels: Readonly<Record<string, string>>;
	/** Lines of one event in a second; what is beyond is counted and told. @default 40 */
	readonly linesPerSecond?: number;
	/** Bytes that may wait for a reader of the output. @default 65536 */
	readonly maxWaitingBytes?: number;
	/** @default 1 */
	readonly fileDescriptor?: number;
};

const windowMs = 1000;
/**
 * Lines that come closer together than this are written together: at the rate of a
 * busy entry each write of its own costs more than its line. A process that is
 * killed loses the lines of this time at most.
 */
const pauseMs = 50;

/**
 * Writes one JSON line an event to standard output, and never waits for its
 * reader: a pipe that nobody empties would stop the process, and every request
 * in it. One write is under way at a time; behind a bound lines are counted
 * instead of kept, and so are those of an event that comes too often.
 */
export const createLineLogger = ({labels, linesPerSecond = 40, maxWaitingBytes = 65_536, fileDescriptor = 1}: LineLoggerOptions): Logger => {
	let waiting: string[] = [];
	let waitingBytes = 0;
	let isWriting = false;
	let wroteAtMs = Number.NEGATIVE_INFINITY;
	let pause: NodeJS.Timeout | null = null;
	let windowStartMs = performance.now();
	const counts = new Map<LogEventId, number>();

	const writeSoon = (): void => {
		if (isWriting || waiting.length === 0) {
			return;
		}

		pause ??= setTimeout(writeNext, Math.max(0, wroteAtMs + pauseMs - performance.now()));
	};

	const writeNext = (): void => {
		pause = null;
		wroteAtMs = performance.now();
		const text = waiting.join('');
		waiting = [];
		waitingBytes = 0;
		isWriting = true;
		fs.write(fileDescriptor, text, () => {
			isWriting = false;
			writeSoon();
		});
	};

	const append = (line: string): boolean => {
		if (waitingBytes + line.length > maxWaitingBytes) {
			return false;
		}

		waiting.push(line);
		waitingBytes += line.length;
		writeSoon();
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
