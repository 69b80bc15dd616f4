import {readdir, readFile} from 'node:fs/promises';

/** What one process has used so far, as the kernel counts it. */
export type ProcessUsage = {
	/** All threads. */
	readonly processorMs: number;
	/** Through read and write calls: sockets and files, without the headers of TCP and IP. */
	readonly transferBytes: number;
};

export type ProcessMemory = {
	readonly residentBytes: number;
	readonly privateBytes: number;
	/** Pages that other processes map as well, the program file above all. */
	readonly sharedBytes: number;
};

const numberAfter = (text: string, label: string): number => Number(new RegExp(String.raw`^${label}:\s+(\d+)`, 'mv').exec(text)?.[1] ?? 0);

export const readUsage = async (pid: number): Promise<ProcessUsage> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const runs = await Promise.all(threads.map(async thread => readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').catch(() => '0')));
	const io = await readFile(`/proc/${pid}/io`, 'utf8');
	return {
		processorMs: runs.reduce((sum, text) => sum + (Number(text.split(' ')[0]) / 1e6), 0),
		transferBytes: numberAfter(io, 'rchar') + numberAfter(io, 'wchar'),
	};
};

export const readMemory = async (pid: number): Promise<ProcessMemory> => {
	const text = await readFile(`/proc/${pid}/smaps_rollup`, 'utf8');
	return {
		residentBytes: numberAfter(text, 'Rss') * 1024,
		privateBytes: (numberAfter(text, 'Private_Clean') + numberAfter(text, 'Private_Dirty')) * 1024,
		sharedBytes: (numberAfter(text, 'Shared_Clean') + numberAfter(text, 'Shared_Dirty')) * 1024,
	};
};

export const usageBetween = async (pid: number, work: () => Promise<void>): Promise<ProcessUsage> => {
	const before = await readUsage(pid);
	await work();
	const after = await readUsage(pid);
	return {processorMs: after.processorMs - before.processorMs, transferBytes: after.transferBytes - before.transferBytes};
};
