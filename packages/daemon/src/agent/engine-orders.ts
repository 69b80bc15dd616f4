/** Runs one task at a time, in the order of their arrival. */
export type Serial = <Result>(task: () => Promise<Result>) => Promise<Result>;

/**
 * Orders to one engine must not overlap: an adapter that was checked against
 * the old base would arrive on the new one.
 */
export const createSerial = (): Serial => {
	let last: Promise<unknown> = Promise.resolve();
	return async task => {
		const result = last.then(task);
		last = result.catch(() => undefined);
		return result;
	};
};
