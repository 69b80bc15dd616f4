import type {AdmissionOptions} from '@bitternpaddle/coordination';
import type {ServerLimits} from '@bitternpaddle/transport';
import type {Settings} from './settings.js';

/** The admission limits of an entry, from its settings. */
export const limitsOf = ({limitTokens, limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerService}: Settings): AdmissionOptions => ({
	fleetTokensPerSecond: limitTokens ?? null, burstSeconds: limitBurstSeconds, maxQueuedPerTeam, maxQueuedPerTarget: maxQueuedPerService,
});

/** The limits of the HTTP server of each role, from the settings. */
export const serverLimitsOf = ({
	maxConnections, maxOpenRequests, maxBufferedBytes, maxUnreadBytes, maxPipelinedRequests, maxFragmentedBodies, headTimeoutMs, requestTimeoutMs, unreadTimeoutMs,
}: Settings): ServerLimits => ({
	maxConnections, maxRequests: maxOpenRequests, maxBufferedBytes, maxUnreadBytes, maxPipelinedRequests, maxFragmentedBodies, headersTimeoutMs: headTimeoutMs, requestTimeoutMs, unreadTimeoutMs,
});
