/** Bounds the memory of all complete answers that an entry holds before it passes them on. */
export type AnswerBudget = {
	/** Counts bytes of memory that are held; `false` if there is no room for them, and they must not be held. */
	reserve(sizeBytes: number): boolean;
	release(sizeBytes: number): void;
	heldBytes(): number;
};

export const createAnswerBudget = (maxBytes: number): AnswerBudget => {
	let heldBytes = 0;
	return {
		reserve(sizeBytes) {
			if (heldBytes + sizeBytes > maxBytes) {
				return false;
			}

			heldBytes += sizeBytes;
			return true;
		},
		release(sizeBytes) {
			heldBytes -= sizeBytes;
		},
		heldBytes: () => heldBytes,
	};
};

export const unlimitedAnswers: AnswerBudget = {
	reserve: () => true, release: () => undefined, heldBytes: () => 0,
};
