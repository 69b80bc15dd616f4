import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {median} from 'simple-statistics';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Heap that `create`'s result holds on to. */
export const heapBytesOf = (create: () => unknown): number => {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const held = create();
	collectGarbage();
	const after = process.memoryUsage().heapUsed;
	// The result must be reachable until after the second reading.
	return held === undefined ? 0 : after - before;
};

/** Time of one synchronous call: the median of `times`, so that another program's burst does not bend a line. */
export const millisecondsOf = (work: () => unknown, times: number): number => {
	const tookMs: number[] = [];
	for (let index = 0; index < times; index++) {
		const startedAtMs = performance.now();
		work();
		tookMs.push(performance.now() - startedAtMs);
	}

	return median(tookMs);
};
