/** Runs one task at a time, in the order of their arrival. */
export type SerialExecutor = <Result>(task: () => Promise<Result>) => Promise<Result>;

/**
 * Serializes orders to one engine: an adapter that was checked against the old
 * base could otherwise be loaded onto the new one.
 */
export const createSerialExecutor = (): SerialExecutor => {
	let lastTask: Promise<unknown> = Promise.resolve();
	return async task => {
		const result = lastTask.then(task);
		lastTask = result.catch(() => undefined);
		return result;
	};
};
