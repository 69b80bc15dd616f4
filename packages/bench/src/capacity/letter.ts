/** The size that the users' first letter gives, and what follows from it by division. */
export const letter = {
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
	/** "Several times a day"; the letter gives no number. */
	loadsPerDay: 6,
} as const;

/** What a node that is not set aside may spend on control. */
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
 * Two ways to read "330 nodes before 12,000 workers". In both the 330 are the
 * entries. The slot beside "each endpoint host" is one agent for the eight
 * workers of a host, or, as the program is today, one agent for each worker.
 */
export const readings = {
	'agent per host': {agents: letter.endpointHosts},
	'agent per worker': {agents: letter.workers},
} as const;

export type ReadingName = keyof typeof readings;

const secondsPerDay = 86_400;

/** Log entries a day: configuration, and for each lost or restarted host that it left, joined and is ready. */
export const changesPerDay = ({agents}: {readonly agents: number}): number => letter.configurationChangesPerDay
	+ (3 * membershipEventsPerDay)
	// Readiness is taken together five times a second; in a load of five minutes that is 1,500 changes at most.
	+ (letter.loadsPerDay * Math.min(agents, 1500));

export const membershipEventsPerDay = letter.failedHostsPerDay + letter.restartedHostsPerDay;

export const changesPerSecond = (reading: {readonly agents: number}): number => changesPerDay(reading) / secondsPerDay;

export const membershipEventsPerSecond = membershipEventsPerDay / secondsPerDay;
