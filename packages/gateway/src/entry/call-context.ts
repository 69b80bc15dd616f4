import type {
	ArrivalRate, ObjectiveMix, Random, RetryAllowance, SpareRoom, VersionDue,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {EndpointLimits} from '../limits/endpoint-limits.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointView} from './endpoint-view.js';
import type {WaitingRoom} from './waiting-room.js';

/** What every call of an entry uses. */
export type CallContext = {
	readonly protocol: RequestProtocol;
	readonly connections: EndpointConnections;
	readonly view: EndpointView;
	readonly room: WaitingRoom;
	readonly quarantine: RequestQuarantine;
	readonly limits: EndpointLimits;
	readonly zoneId: string;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	allowance(serviceName: string): RetryAllowance;
	/** Requests that this entry sends to a service's endpoints. */
	sending(serviceName: string): ArrivalRate;
	/** What callers of a service ask for. */
	objectives(serviceName: string): ObjectiveMix;
	/** When engines of a service last had a place to spare. */
	spareRoom(serviceName: string): SpareRoom;
	/** Entries that serve, this one included. */
	entryCount(): number;
	/** This entry's part of the further attempts that all entries share. */
	retryReserve(): number;
	/** From when on which version of a model's weights must be begun on. */
	dues(model: string): readonly VersionDue[];
	/** Until this process cuts what still runs; infinite while it does not leave. */
	leftMs(): number;
	holdsLease(): boolean;
	/** When a caller should come back while the lease is not held. */
	lostCoreRetryMs(): number;
	nowMs(): number;
};
