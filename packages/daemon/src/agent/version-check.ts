import {fetchEngineStatus, type EngineStatus} from './engine-client.js';

/**
 * Returns a function that reads the engine's status, with a request that is
 * sent after the call: calls during a pending request share the next one.
 */
export const createStatusReader = (endpointAddress: string): (() => Promise<EngineStatus>) => {
	let current: Promise<EngineStatus> | null = null;
	let next: Promise<EngineStatus> | null = null;

	const request = async (): Promise<EngineStatus> => {
		const response = fetchEngineStatus(endpointAddress);
		current = response;
		try {
			return await response;
		} finally {
			current = null;
		}
	};

	const requestAfter = async (earlier: Promise<EngineStatus>): Promise<EngineStatus> => {
		await earlier.catch(() => undefined);
		next = null;
		return request();
	};

	return async () => {
		if (current === null) {
			return request();
		}

		next ??= requestAfter(current);
		return next;
	};
};
