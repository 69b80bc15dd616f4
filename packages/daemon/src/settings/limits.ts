import type {AdmissionOptions} from '@bitternpaddle/coordination';
import type {ServerLimits} from '@bitternpaddle/transport';
import type {Settings} from './settings.js';

/** The limits and bounds of an entry, as its settings say. */
export const limitsOf = ({limitTokens, limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerService}: Settings): AdmissionOptions => ({
	fleetTokensPerSecond: limitTokens ?? null, burstSeconds: limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerTarget: maxQueuedPerService,
});

/** What each role's server holds for its callers at most. */
export const serverLimitsOf = ({maxConnections, maxBufferedBytes, headTimeoutMs, requestTimeoutMs, unreadTimeoutMs}: Settings): ServerLimits => ({
	maxConnections, maxBufferedBytes, headersTimeoutMs: headTimeoutMs, requestTimeoutMs, unreadTimeoutMs,
});
