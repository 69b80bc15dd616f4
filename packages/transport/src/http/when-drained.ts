import type {Writable} from 'node:stream';

/**
 * Waits until what was written has been taken, or nobody takes it any more. It
 * leaves no listener behind: of two `once` in a race, the one that loses stays
 * for as long as the stream, and a slow reader collects one at every wait.
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
