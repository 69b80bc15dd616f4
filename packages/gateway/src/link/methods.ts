import {departureSchema, documentSchema, evacuationsSchema} from '@bitternpaddle/state';
import * as z from 'zod';

const heldModelSchema = z.object({model: z.string(), version: z.number()});

/** An endpoint's announcement as sent between hosts. */
export const agedAnnouncementSchema = z.object({
	id: z.string(), serviceName: z.string(), address: z.string(), zoneId: z.string(), slots: z.number(), state: z.enum(['ready', 'draining', 'gone']),
	models: z.array(heldModelSchema).readonly(), startedAtMs: z.number(), sequence: z.number(), ageMs: z.number(),
	coldForMs: z.number().optional(),
});

/** A process that follows the core; other processes reach it at `address`. */
export const followerSchema = z.object({
	role: z.enum(['core', 'entry', 'agent']),
	address: z.string(),
	zoneId: z.string(),
	regionId: z.string(),
	/** For an agent: the endpoint on its host. */
	endpointAddress: z.string().nullable(),
	/** For an agent: the service of that endpoint. */
	serviceName: z.string().nullable(),
	/** For a core host: whether it keeps the log; absent from earlier versions. */
	hasLog: z.boolean().optional(),
	/** For a core host: whether it reads departures in the log; absent from earlier versions. */
	readsDepartures: z.boolean().optional(),
});
export type Follower = z.infer<typeof followerSchema>;

/** How many requests for each service an entry has received since it started. */
export const requestReportSchema = z.object({
	/** Identifies the start of the entry's process. */
	startId: z.string(),
	counts: z.record(z.string(), z.number().int().nonnegative()),
});
export type RequestReport = z.infer<typeof requestReportSchema>;

/** `gateway.watch`: long poll for updates of a core host, which also registers the follower. */
export const watchParametersSchema = z.object({
	follower: followerSchema,
	/** Identifies the run of the core process to which `position` applies. */
	epoch: z.string(),
	position: z.number(),
	/** Number of the newest configuration that the follower holds or that was announced to it; -1 for none. */
	configurationNumber: z.number(),
	versionsHash: z.string(),
	/** Hash of the follower's roster, so that a roster is sent only when it changes; `null` if it uses rosters from another core host. */
	rosterHash: z.string().nullable(),
	/** Revision of the evacuations that the follower holds, -1 for none; `null` or absent if it does not use them. */
	evacuationRevision: z.number().nullable().default(null),
	waitMs: z.number(),
	/** Of an entry; `null` or absent for others and from earlier versions. */
	requestReport: requestReportSchema.nullable().default(null),
});
export type WatchParameters = z.infer<typeof watchParametersSchema>;

/** The core hosts, and the followers that are relevant to the reader. */
export const rosterSchema = z.object({
	hash: z.string(),
	coreAddresses: z.array(z.string()),
	/** Number of entries that follow the core. */
	entryCount: z.number(),
	/** For an entry, all entries; for an agent, also the agents of its service. */
	followers: z.array(followerSchema),
});
export type Roster = z.infer<typeof rosterSchema>;

export const watchResultSchema = z.object({
	epoch: z.string(),
	position: z.number(),
	announcements: z.array(agedAnnouncementSchema).readonly(),
	/** Availability zone of the core host. */
	zoneId: z.string(),
	/** Number of the newest configuration that this core host knows; -1 for none. The configuration is fetched from one core host only. */
	configurationNumber: z.number(),
	versionsHash: z.string(),
	/** Time since this core host was last confirmed to hold all acknowledged documents; `null` if it cannot confirm that. */
	freshAgeMs: z.number().nullable(),
	/** Named versions of weights, also those that a newer one has superseded, and for how long the core hosts have known each of them. */
	versions: z.array(z.object({model: z.string(), version: z.number(), ageMs: z.number()})),
	roster: rosterSchema.nullable(),
	/** `null` if this core host does not know them; one of an earlier version sends no such field. */
	evacuations: evacuationsSchema.nullable().default(null),
});
export type WatchResult = z.infer<typeof watchResultSchema>;

/** `gateway.configuration`: the newest configuration that a core host knows. */
export const configurationResultSchema = z.object({number: z.number(), text: z.string()}).nullable();
export type ConfigurationDocument = NonNullable<z.infer<typeof configurationResultSchema>>;

/** `gateway.announce`, at a core host with a disk: records an endpoint's announcement; rejects if the endpoint drains and no majority has stored that. */
export const announceParametersSchema = z.object({announcement: agedAnnouncementSchema});

/** `gateway.withdraw`, at a core host with a disk: records that an endpoint has left; rejects if no majority has stored that. */
export const withdrawParametersSchema = z.object({id: z.string(), startedAtMs: z.number().nullable()});

/** `gateway.depart`, at the leader: appends the departure of an endpoint to the log. */
export const departParametersSchema = z.object({departure: departureSchema});

/** `gateway.submit`, at the leader: appends a document to the log. */
export const submitParametersSchema = z.object({
	document: documentSchema,
	/** For an evacuation: when it expires, by the clock of the leader's process. */
	expiry: z.object({epoch: z.string(), atMs: z.number()}).nullable().default(null),
});
export const submitResultSchema = z.object({outcome: z.enum(['stored', 'known', 'conflict'])});
export type SubmitOutcome = z.infer<typeof submitResultSchema>['outcome'];

/** `gateway.clock`, at the leader: reads the clock of its process, by which orders expire. */
export const clockParametersSchema = z.object({});
export const clockResultSchema = z.object({epoch: z.string(), nowMs: z.number()});

/** `gateway.read`, at the leader: the configuration that is confirmed to be the newest. */
export const readParametersSchema = z.object({});
export const readResultSchema = z.object({text: z.string().nullable()});

/** Largest number of further attempts in one call of `gateway.takeRetries`. */
export const maxRetriesPerCall = 100;

/** `gateway.takeRetries`, at a voter: takes further attempts for a service from the budget that all entries share. */
export const takeRetriesParametersSchema = z.object({serviceName: z.string(), count: z.number().int().positive().max(maxRetriesPerCall)});
export const retryGrantSchema = z.object({
	grantedCount: z.number().int().nonnegative(),
	/** When this host may have more; 0 if it granted everything. */
	retryAfterMs: z.number().nonnegative(),
});
export type RetryGrant = z.infer<typeof retryGrantSchema>;

/** `gateway.permit`, at the leader: requests a permit for an agent's endpoint to leave service and load a version, or returns it. */
export const permitParametersSchema = z.object({agentAddress: z.string(), serviceName: z.string(), isDone: z.boolean()});
export const permitResultSchema = z.object({isGranted: z.boolean()});
