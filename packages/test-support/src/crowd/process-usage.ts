import {readdirSync, readFileSync} from 'node:fs';

const bytesPerKibibyte = 1024;
const sampleIntervalMs = 20;

/** Peak resident memory of a process in bytes, and the most descriptors that it had open. */
export type ProcessUsage = {readonly peakMemoryBytes: number; readonly peakDescriptors: number};

export type UsageWatch = {
	/** The usage up to now; the peak of the descriptors is that of the samples. */
	read(): ProcessUsage;
	close(): void;
};

/** Reads the peak resident set size from `/proc/PID/status` (proc(5)); 0 once the process has ended. */
const peakMemoryBytes = (pid: number): number => {
	try {
		return Number(/^VmHWM:\s+(?<kibibytes>\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kibibytes ?? 0) * bytesPerKibibyte;
	} catch {
		return 0;
	}
};

const openDescriptors = (pid: number): number => {
	try {
		return readdirSync(`/proc/${pid}/fd`).length;
	} catch {
		return 0;
	}
};

/** Samples the usage of a process until it is closed. */
export const watchUsage = (pid: number): UsageWatch => {
	let peakMemory = 0;
	let peakDescriptors = 0;
	const sample = (): void => {
		peakMemory = Math.max(peakMemory, peakMemoryBytes(pid));
		peakDescriptors = Math.max(peakDescriptors, openDescriptors(pid));
	};

	const timer = setInterval(sample, sampleIntervalMs);
	return {
		read() {
			sample();
			return {peakMemoryBytes: peakMemory, peakDescriptors};
		},
		close() {
			clearInterval(timer);
		},
	};
};
