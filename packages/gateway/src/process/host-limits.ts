import type {ServerLimits} from '@bitternpaddle/transport';

/** What a process may use of its host. */
export type HostLimits = {
	/** Bytes of memory, with what the process takes without any caller. */
	readonly memoryBytes: number;
	/** Open descriptors. */
	readonly maxDescriptors: number;
	/** Limits of the main listener that replace those derived from the host. @default {} */
	readonly overrides?: LimitOverrides;
};

export type LimitOverrides = {
	readonly maxConnections?: number;
	readonly maxRequests?: number;
	/** Memory of the heads and bodies of all requests, in bytes. */
	readonly maxRequestBytes?: number;
	/** Memory of all answers that are held until they are complete, in bytes (entry). */
	readonly maxAnswerBytes?: number;
	/** Bytes of answers that wait for their callers to read. */
	readonly maxUnreadBytes?: number;
	readonly maxPipelinedRequests?: number;
	readonly maxFragmentedBodies?: number;
	readonly unreadTimeoutMs?: number;
	/** Requests that are waiting for or running at endpoints (entry). */
	readonly maxRunningRequests?: number;
};

export const defaultHostLimits: HostLimits = {memoryBytes: 250_000_000, maxDescriptors: 4100};

/** Descriptors of files, and of sockets to hosts of the core. */
export const reservedDescriptors = 200;

/** Shares of a host's descriptors and memory for one listener. */
type ListenerShares = {readonly connections: number; readonly requests: number; readonly bodies: number; readonly unread: number};

const callerShares: ListenerShares = {
	connections: 0.3, requests: 0.1, bodies: 0.14, unread: 0.12,
};
const operatorShares: ListenerShares = {
	connections: 0.15, requests: 0.04, bodies: 0.1, unread: 0.06,
};
const coreShares: ListenerShares = {
	connections: 0.25, requests: 0.04, bodies: 0.2, unread: 0.05,
};
const agentShares: ListenerShares = {
	connections: 0.5, requests: 0.1, bodies: 0.14, unread: 0.14,
};
/** Readiness and metrics. */
const probeShares: ListenerShares = {
	connections: 0.03, requests: 0.004, bodies: 0.004, unread: 0.004,
};
const answerShare = 0.12;
/** Largest head of a call between processes of the system. */
const callHeadBytes = 8192;
/** What a request takes beside its head and body: its objects, those of its response, and its timers. */
const requestBytes = 8192;
const runningShare = 0.55;

const listenerLimits = ({memoryBytes, maxDescriptors}: HostLimits, {
	connections, requests, bodies, unread,
}: ListenerShares): ServerLimits => ({
	maxConnections: Math.max(1, Math.floor((maxDescriptors - reservedDescriptors) * connections)),
	maxRequests: Math.floor(memoryBytes * requests / requestBytes),
	maxBufferedBytes: Math.floor(memoryBytes * bodies),
	maxUnreadBytes: Math.floor(memoryBytes * unread),
});

const withoutUndefined = <Value extends object>(value: Value): Value => Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as Value;

const mainLimits = (host: HostLimits, shares: ListenerShares): ServerLimits => {
	const {maxConnections, maxRequests, maxRequestBytes, maxUnreadBytes, maxPipelinedRequests, maxFragmentedBodies, unreadTimeoutMs} = host.overrides ?? {};
	return {
		...listenerLimits(host, shares),
		...withoutUndefined({
			maxConnections, maxRequests, maxBufferedBytes: maxRequestBytes, maxUnreadBytes, maxPipelinedRequests, maxFragmentedBodies, unreadTimeoutMs,
		}),
	};
};

/** The limits of a listener for readiness probes or metrics. */
export const probeLimits = (host: HostLimits): ServerLimits => listenerLimits(host, probeShares);

/** The limits of the core's listener for operators and endpoints. */
export const operatorLimits = (host: HostLimits): ServerLimits => mainLimits(host, operatorShares);

/** The limits of the core's listener for other processes of the system. */
export const coreCallLimits = (host: HostLimits): ServerLimits => ({...listenerLimits(host, coreShares), maxHeadBytes: callHeadBytes});

/** The limits of an agent's listener for other processes of the system. */
export const agentCallLimits = (host: HostLimits): ServerLimits => ({...mainLimits(host, agentShares), maxHeadBytes: callHeadBytes});

export type EntryLimits = {
	readonly callers: ServerLimits;
	/** Memory of all answers that are held until they are complete, in bytes. */
	readonly maxAnswerBytes: number;
	/** Requests that are waiting for or running at endpoints. */
	readonly maxRunningRequests: number;
};

/** The limits of an entry on what its callers make it hold. */
export const entryLimits = (host: HostLimits): EntryLimits => ({
	callers: mainLimits(host, callerShares),
	maxAnswerBytes: host.overrides?.maxAnswerBytes ?? Math.floor(host.memoryBytes * answerShare),
	maxRunningRequests: host.overrides?.maxRunningRequests ?? Math.max(1, Math.floor((host.maxDescriptors - reservedDescriptors) * runningShare)),
});
