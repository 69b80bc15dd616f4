import {readdir, readFile} from 'node:fs/promises';

/** CPU time and I/O of one process since its start, from the kernel's counters. */
export type ProcessUsage = {
	/** CPU time of all threads. */
	readonly processorMs: number;
	/** Bytes of read and write calls on sockets and files, excluding TCP and IP headers. */
	readonly transferBytes: number;
};

export type ProcessMemory = {
	readonly residentBytes: number;
	readonly privateBytes: number;
	/** Pages that other processes map as well, mostly the executable. */
	readonly sharedBytes: number;
};

const parseField = (text: string, label: string): number => Number(new RegExp(String.raw`^${label}:\s+(\d+)`, 'mv').exec(text)?.[1] ?? 0);

export const readUsage = async (pid: number): Promise<ProcessUsage> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const threadStats = await Promise.all(threads.map(async thread => readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').catch(() => '0')));
	const io = await readFile(`/proc/${pid}/io`, 'utf8');
	return {
		processorMs: threadStats.reduce((sum, text) => sum + (Number(text.split(' ')[0]) / 1e6), 0),
		transferBytes: parseField(io, 'rchar') + parseField(io, 'wchar'),
	};
};

export const readMemory = async (pid: number): Promise<ProcessMemory> => {
	const text = await readFile(`/proc/${pid}/smaps_rollup`, 'utf8');
	return {
		residentBytes: parseField(text, 'Rss') * 1024,
		privateBytes: (parseField(text, 'Private_Clean') + parseField(text, 'Private_Dirty')) * 1024,
		sharedBytes: (parseField(text, 'Shared_Clean') + parseField(text, 'Shared_Dirty')) * 1024,
	};
};

export const measureUsage = async (pid: number, work: () => Promise<void>): Promise<ProcessUsage> => {
	const before = await readUsage(pid);
	await work();
	const after = await readUsage(pid);
	return {processorMs: after.processorMs - before.processorMs, transferBytes: after.transferBytes - before.transferBytes};
};
