import type {AdmissionOptions} from '@bitternpaddle/coordination';
import type {Settings} from './settings.js';

/** The limits and bounds of an entry, as its settings say. */
export const limitsOf = ({limitTokens, limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerService}: Settings): AdmissionOptions => ({
	fleetTokensPerSecond: limitTokens ?? null, burstSeconds: limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerTarget: maxQueuedPerService,
});
