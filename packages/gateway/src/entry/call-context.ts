import type {
	ArrivalRate, ObjectiveMix, Random, SpareCapacity, StallMeter, StartShare, VersionDue,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {ServiceRooms} from '../demand/service-rooms.js';
import type {EndpointLimits} from '../limits/endpoint-limits.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {AnswerBudget} from './answer-budget.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointView} from './endpoint-view.js';
import type {Permission} from './permission.js';
import type {RetryBudget} from './retry-budget.js';
import type {WaitQueue} from './wait-queue.js';

/** Dependencies shared by all calls of an entry. */
export type CallContext = {
	readonly protocol: RequestProtocol;
	readonly connections: EndpointConnections;
	readonly view: EndpointView;
	readonly waitQueue: WaitQueue;
	readonly quarantine: RequestQuarantine;
	readonly limits: EndpointLimits;
	readonly permission: Permission;
	readonly rooms: ServiceRooms;
	readonly zoneId: string;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Shared by all answers that are held before they are passed on. */
	readonly answerBudget: AnswerBudget;
	readonly retryBudget: RetryBudget;
	/** Rate of the requests that this entry sends to a service's endpoints. */
	sendRate(serviceName: string): ArrivalRate;
	/** Latency objectives of the recent requests to a service. */
	objectives(serviceName: string): ObjectiveMix;
	/** When engines of a service last had a spare slot. */
	spareCapacity(serviceName: string): SpareCapacity;
	/** Share of the objective that an estimate for the service may use up, as learned from its answers. */
	startShare(serviceName: string): StartShare;
	/** Number of serving entries, including this one. */
	entryCount(): number;
	/** From when on requests must start on which version of a model's weights. */
	dues(model: string): readonly VersionDue[];
	/** Time until this process aborts the requests that still run; infinite unless it is shutting down. */
	remainingGraceMs(): number;
	/** Time since the stop signal; `null` unless the process is shutting down. */
	sinceStopMs(): number | null;
	holdsLease(): boolean;
	/** Retry delay for callers while the lease is not held. */
	lostCoreRetryMs(): number;
	/** Stalls of this process. */
	readonly stalls: StallMeter;
	/** Called before durations are judged; a stall that has just ended is taken out of them. */
	observeStalls(): void;
	nowMs(): number;
};
