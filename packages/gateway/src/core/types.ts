import type {Announcement, Clock, RetryTerms} from '@bitternpaddle/coordination';
import type {Document, RoutingConfiguration} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {SubmitOutcome} from '../link/methods.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {HostLimits} from '../process/host-limits.js';
import type {EvacuationOrder, OrderCaller, OrderResult} from './evacuation-orders.js';

export type CoreNodeOptions = {
	/** Address at which other processes of the system reach this one; it also identifies this host among core hosts. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** Region of each zone of the deployment, by zone id. @default no zone is known */
	readonly regionsByZone?: ReadonlyMap<string, string>;
	/** Folder of the log; `null` if the host has no disk and only forwards calls. */
	readonly folder: string | null;
	/** Whether the whole system starts for the first time, with empty disks. */
	readonly isFirstStart: boolean;
	seeds(): readonly string[];
	/** Number of core hosts that may fail at the same time. */
	readonly toleratedLosses: number;
	/** Number of availability zones that may fail at the same time. @default 0 */
	readonly toleratedZoneLosses?: number;
	/** Number of regions that may fail at the same time. @default 0 */
	readonly toleratedRegionLosses?: number;
	/** Time within which an acknowledged evacuation of a zone holds; `null` if the deployment has no evacuations. @default null */
	readonly evacuationMs?: number | null;
	/** The budget of further attempts that all entries share. @default a fifth of the requests and 20 more in 10 s */
	readonly retryTerms?: RetryTerms;
	readonly clock: Clock;
	readonly logger: Logger;
	/** @default not served */
	readonly metrics?: GatewayMetrics;
	/** @default defaultHostLimits */
	readonly hostLimits?: HostLimits;
};

/** The documents that are submitted as they are; core hosts make the others. */
export type OperatorDocument = Extract<Document, {kind: 'configuration' | 'version'}>;

/** `unknown`: not confirmed in time; the document may still come into force later. */
export type SubmitResult = SubmitOutcome | 'unknown';

/** `unsure`: this host cannot determine which configuration is the newest. */
export type ReadConfiguration = {readonly type: 'text'; readonly text: string} | {readonly type: 'none'} | {readonly type: 'unsure'; readonly reason: string};

export type CoreNode = {
	submit(document: OperatorDocument): Promise<SubmitResult>;
	/** Logs the lists of regions of a stored configuration that exclude endpoints unintentionally. */
	logRegionProblems(configuration: RoutingConfiguration): void;
	/** Evacuates an availability zone, or ends its evacuation. */
	submitEvacuation(order: EvacuationOrder, caller: OrderCaller): Promise<OrderResult>;
	/** Earliest time at which a call that is read now may have arrived, for `OrderCaller`. */
	arrivedAtMs(): number;
	read(): Promise<ReadConfiguration>;
	/** Records an endpoint's announcement. `false` if no core host with a disk could be reached, or if the endpoint drains and no majority of the core hosts confirmed in time that it has stored that. */
	announce(announcement: Announcement): Promise<boolean>;
	/** Records that an endpoint has left; `startedAtMs` identifies its start, `null` if it sent none. `false` if no majority of the core hosts confirmed in time that it has stored that. */
	withdraw(id: string, startedAtMs: number | null): Promise<boolean>;
	isLeader(): boolean;
	/** Stops gracefully: transfers leadership first. */
	stop(): Promise<void>;
	close(): Promise<void>;
};
