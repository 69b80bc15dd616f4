import {askEngine, type EngineStatus} from './engine-client.js';

/**
 * Asks the engine what it holds, after the moment of the question: answers
 * that end while one call is on its way share the next one.
 */
export const createVersionCheck = (endpointAddress: string): (() => Promise<EngineStatus>) => {
	let current: Promise<EngineStatus> | null = null;
	let next: Promise<EngineStatus> | null = null;

	const ask = async (): Promise<EngineStatus> => {
		const asked = askEngine(endpointAddress);
		current = asked;
		try {
			return await asked;
		} finally {
			current = null;
		}
	};

	const askAfter = async (earlier: Promise<EngineStatus>): Promise<EngineStatus> => {
		await earlier.catch(() => undefined);
		next = null;
		return ask();
	};

	return async () => {
		if (current === null) {
			return ask();
		}

		next ??= askAfter(current);
		return next;
	};
};
