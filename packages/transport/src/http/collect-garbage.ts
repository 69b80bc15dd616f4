import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes after which the memory in use is checked. */
const checkedBytes = 8_388_608;
/** Growth since the last collection at which the next one is due. */
const maxGrowthBytes = 16_777_216;

let recordedBytes = 0;
let collectedBytes = 0;
let collect: (() => void) | null = null;

const loadCollector = (): (() => void) => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
};

const usedBytes = (): number => {
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};

/**
 * Records memory that was allocated for what callers sent and that is not used for long:
 * Node.js hands out each part of a body in a buffer of its own. V8 collects buffers by the
 * size of its heap, where each takes some hundred bytes, and lets those that nothing refers
 * to grow to over half of a small host's memory first. They are collected here once they
 * have grown by a fixed amount.
 */
export const recordAllocatedBytes = (sizeBytes: number): void => {
	recordedBytes += sizeBytes;
	if (recordedBytes < checkedBytes) {
		return;
	}

	recordedBytes = 0;
	const used = usedBytes();
	collectedBytes = Math.min(collectedBytes, used);
	if (used - collectedBytes < maxGrowthBytes) {
		return;
	}

	collect ??= loadCollector();
	collect();
	collectedBytes = usedBytes();
};
