import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {median} from 'simple-statistics';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the heap bytes that the result of `create` retains. */
export const heapBytesOf = (create: () => unknown): number => {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const retained = create();
	collectGarbage();
	const after = process.memoryUsage().heapUsed;
	// The result must stay reachable until the second measurement is done.
	return retained === undefined ? 0 : after - before;
};

/** Returns the median duration of `times` synchronous calls; the median keeps load spikes of other programs from distorting a fitted line. */
export const millisecondsOf = (work: () => unknown, times: number): number => {
	const durationsMs: number[] = [];
	for (let index = 0; index < times; index++) {
		const startedAtMs = performance.now();
		work();
		durationsMs.push(performance.now() - startedAtMs);
	}

	return median(durationsMs);
};
