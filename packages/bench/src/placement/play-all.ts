import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';
import type {PlayDone, PlayJob} from './play-worker.js';

/** Uses half of the CPU cores, because other work runs beside a benchmark. */
const workerShare = 0.5;

/** Runs all jobs, distributed over worker threads; returns the results in the order of the jobs. */
export const playAll = async (jobs: readonly PlayJob[]): Promise<PlayDone[]> => {
	const results: PlayDone[] = [];
	let nextIndex = 0;
	const runWorker = async (): Promise<void> => new Promise((resolve, reject) => {
		const worker = new Worker(new URL('play-worker.js', import.meta.url));
		const startNextJob = (): void => {
			const index = nextIndex;
			nextIndex++;
			if (index >= jobs.length) {
				void worker.terminate();
				resolve();
				return;
			}

			worker.once('message', (message: PlayDone) => {
				results[index] = message;
				startNextJob();
			});
			worker.postMessage(jobs[index]);
		};

		worker.once('error', reject);
		startNextJob();
	});

	const workers = Math.max(1, Math.min(jobs.length, Math.floor(availableParallelism() * workerShare)));
	await Promise.all(Array.from({length: workers}, runWorker));
	return results;
};
