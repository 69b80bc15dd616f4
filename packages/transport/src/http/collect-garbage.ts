import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes after which the memory in use is checked. */
const checkedBytes = 8_388_608;
/** Growth of the memory of buffers and of the heap since the last collection at which the next one is due. The heap grows and shrinks by itself. */
const maxBufferGrowthBytes = 16_777_216;
const maxHeapGrowthBytes = 50_331_648;

type Usage = {readonly heapUsed: number; readonly arrayBuffers: number};

let recordedBytes = 0;
let collected: Usage = {heapUsed: 0, arrayBuffers: 0};
let collect: (() => void) | null = null;

const loadCollector = (): (() => void) => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
};

/**
 * Records memory that was allocated for what callers sent and that is not used for long:
 * Node.js hands out each part of a body in a buffer of its own. V8 collects buffers by the
 * size of its heap, where each takes some hundred bytes, and lets those that nothing refers
 * to grow to a large part of a small host's memory first. They are collected here once
 * they have grown by a fixed amount.
 */
export const recordAllocatedBytes = (sizeBytes: number): void => {
	recordedBytes += sizeBytes;
	if (recordedBytes < checkedBytes) {
		return;
	}

	recordedBytes = 0;
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	collected = {heapUsed: Math.min(collected.heapUsed, heapUsed), arrayBuffers: Math.min(collected.arrayBuffers, arrayBuffers)};
	if (arrayBuffers - collected.arrayBuffers < maxBufferGrowthBytes && heapUsed - collected.heapUsed < maxHeapGrowthBytes) {
		return;
	}

	collect ??= loadCollector();
	collect();
	collected = process.memoryUsage();
};
