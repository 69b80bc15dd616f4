/** Returns the longest time for which `work` blocked the event loop. */
export const measureMaxStallMs = async (work: () => Promise<unknown>): Promise<number> => {
	let maxStallMs = 0;
	let lastMs = performance.now();
	let isFinished = false;
	const checkStall = (): void => {
		const nowMs = performance.now();
		maxStallMs = Math.max(maxStallMs, nowMs - lastMs);
		lastMs = nowMs;
		if (!isFinished) {
			setImmediate(checkStall);
		}
	};

	checkStall();
	await work();
	isFinished = true;
	checkStall();
	return maxStallMs;
};
