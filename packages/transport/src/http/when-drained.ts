import type {Writable} from 'node:stream';

/**
 * Waits until the stream's buffer has drained or the stream is closed. Removes
 * both listeners: with `once` on each event in a race, the losing listener would
 * stay for the life of the stream, and a slow reader would accumulate one per wait.
 */
export const whenDrained = async (stream: Writable): Promise<void> => new Promise(resolve => {
	const finish = (): void => {
		stream.off('drain', finish);
		stream.off('close', finish);
		resolve();
	};

	if (stream.destroyed) {
		resolve();
		return;
	}

	stream.on('drain', finish);
	stream.on('close', finish);
});
