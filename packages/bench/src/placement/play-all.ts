import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';
import type {PlayDone, PlayJob} from './play-worker.js';

/** Half of the processors, as other work goes on beside a bench. */
const workerShare = 0.5;

/** Plays all jobs, spread over threads; the results in the order of the jobs. */
export const playAll = async (jobs: readonly PlayJob[]): Promise<PlayDone[]> => {
	const done: PlayDone[] = [];
	let next = 0;
	const work = async (): Promise<void> => new Promise((resolve, reject) => {
		const worker = new Worker(new URL('play-worker.js', import.meta.url));
		const giveNext = (): void => {
			const index = next;
			next++;
			if (index >= jobs.length) {
				void worker.terminate();
				resolve();
				return;
			}

			worker.once('message', (message: PlayDone) => {
				done[index] = message;
				giveNext();
			});
			worker.postMessage(jobs[index]);
		};

		worker.once('error', reject);
		giveNext();
	});

	const workers = Math.max(1, Math.min(jobs.length, Math.floor(availableParallelism() * workerShare)));
	await Promise.all(Array.from({length: workers}, work));
	return done;
};
