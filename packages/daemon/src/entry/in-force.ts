import {setTimeout as delay} from 'node:timers/promises';
import type {InForceResult} from '@bitternpaddle/protocol';
import type {ConfigurationClient} from '../host/configuration-client.js';

const pollIntervalMs = 200;

/**
 * Reports on how many hosts an accepted revision is in force. Resolves when no
 * host in service lacks it, or when `waitMs` has passed; immediately if that is
 * 0. `null` if the leader could not be reached; the change is accepted anyway.
 */
export const inForceAfter = async (configuration: ConfigurationClient, revision: number, waitMs: number): Promise<InForceResult | null> => {
	const untilMs = performance.now() + waitMs;
	for (;;) {
		const status = await configuration.queryInForce(revision).catch(() => null);
		if (status?.missing.length === 0 || performance.now() + pollIntervalMs > untilMs) {
			return status;
		}

		await delay(pollIntervalMs);
	}
};
