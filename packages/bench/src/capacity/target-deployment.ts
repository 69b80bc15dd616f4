/** Size of the deployment that the system is designed for, as its users specified it. */
export const targetDeployment = {
	nodes: 330,
	workers: 12_000,
	endpointHosts: 1500,
	zones: 31,
	regions: 9,
	controlHosts: 17,
	configurationChangesPerDay: 9000,
	failedHostsPerDay: 88,
	restartedHostsPerDay: 2100,
	requestsPerSecond: 8000,
	tokensPerSecond: 2_900_000,
	/** The users specified "several times a day" without a number. */
	loadsPerDay: 6,
} as const;

/** What a node that also does other work may spend on control, and the users' latency limits. */
export const limits = {
	/** 1.4% of a core. */
	processorMsPerSecond: 14,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerSecond: 16 * 1024,
	changeInForceMs: 10_000,
	firstTokenMs: 1000,
	tokenGapMs: 33,
} as const;

/**
 * Two interpretations of the specified "330 nodes before 12,000 workers". In both,
 * the 330 nodes are the entries. The agent beside "each endpoint host" is either one
 * agent for the eight workers of a host or, as currently implemented, one agent per
 * worker.
 */
export const deploymentVariants = {
	'agent per host': {agents: targetDeployment.endpointHosts},
	'agent per worker': {agents: targetDeployment.workers},
} as const;

export type VariantName = keyof typeof deploymentVariants;

const secondsPerDay = 86_400;

/** Log entries per day: configuration changes, loads, and three entries (left, joined, ready) for each lost or restarted host. */
export const changesPerDay = ({agents}: {readonly agents: number}): number => targetDeployment.configurationChangesPerDay
	+ (3 * membershipEventsPerDay)
	// Readiness changes are batched five times per second, which makes at most 1,500 changes in a load of five minutes.
	+ (targetDeployment.loadsPerDay * Math.min(agents, 1500));

export const membershipEventsPerDay = targetDeployment.failedHostsPerDay + targetDeployment.restartedHostsPerDay;

export const changesPerSecond = (variant: {readonly agents: number}): number => changesPerDay(variant) / secondsPerDay;

export const membershipEventsPerSecond = membershipEventsPerDay / secondsPerDay;
