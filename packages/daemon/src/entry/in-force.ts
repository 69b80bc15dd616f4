import {setTimeout as delay} from 'node:timers/promises';
import type {InForceResult} from '@bitternpaddle/protocol';
import type {ConfigurationClient} from '../host/configuration-client.js';

const pollMs = 200;

/**
 * On how many hosts an accepted revision is in force: at once, or when no host
 * in service lacks it, or when `waitMs` is over. `null` if the leader could
 * not be asked; the change is accepted all the same.
 */
export const inForceAfter = async (configuration: ConfigurationClient, revision: number, waitMs: number): Promise<InForceResult | null> => {
	const untilMs = performance.now() + waitMs;
	for (;;) {
		const spread = await configuration.spread(revision).catch(() => null);
		if (spread?.missing.length === 0 || performance.now() + pollMs > untilMs) {
			return spread;
		}

		await delay(pollMs);
	}
};
