/** The longest time for which `work` let nothing else run. */
export const longestStallMs = async (work: () => Promise<unknown>): Promise<number> => {
	let longestMs = 0;
	let lastMs = performance.now();
	let isDone = false;
	const watch = (): void => {
		const nowMs = performance.now();
		longestMs = Math.max(longestMs, nowMs - lastMs);
		lastMs = nowMs;
		if (!isDone) {
			setImmediate(watch);
		}
	};

	watch();
	await work();
	isDone = true;
	watch();
	return longestMs;
};
