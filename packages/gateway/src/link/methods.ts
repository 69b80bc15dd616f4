import {documentSchema} from '@bitternpaddle/state';
import * as z from 'zod';

const heldModelSchema = z.object({model: z.string(), version: z.number()});

/** An endpoint's announcement on its way between hosts. */
export const agedAnnouncementSchema = z.object({
	id: z.string(), serviceName: z.string(), address: z.string(), zoneId: z.string(), slots: z.number(), state: z.enum(['ready', 'draining', 'gone']),
	models: z.array(heldModelSchema).readonly(), startedAtMs: z.number(), sequence: z.number(), ageMs: z.number(),
});

/** A process that follows the core; `address` is where other processes reach it. */
export const followerSchema = z.object({
	role: z.enum(['core', 'entry', 'agent']),
	address: z.string(),
	zoneId: z.string(),
	regionId: z.string(),
	/** Of an agent: the endpoint beside it. */
	endpointAddress: z.string().nullable(),
	/** Of an agent: the service of that endpoint. */
	serviceName: z.string().nullable(),
});
export type Follower = z.infer<typeof followerSchema>;

/** `gateway.watch`: waits for news of a core host, and says who asks. */
export const watchParametersSchema = z.object({
	follower: followerSchema,
	/** Start of the core process that `position` belongs to. */
	epoch: z.string(),
	position: z.number(),
	/** Number of the configuration that the follower holds or has heard of; -1 for none. */
	configurationNumber: z.number(),
	versionsHash: z.string(),
	/** Hash of the roster that it knows, so that one is sent only when it changes; `null`: it takes rosters from another core host. */
	rosterHash: z.string().nullable(),
	waitMs: z.number(),
});
export type WatchParameters = z.infer<typeof watchParametersSchema>;

/** Who belongs to the core, and those who follow it that the reader has to do with. */
export const rosterSchema = z.object({
	hash: z.string(),
	coreAddresses: z.array(z.string()),
	/** Entries that follow the core. */
	entryCount: z.number(),
	/** For an entry: the entries. For an agent also the agents of its service. */
	followers: z.array(followerSchema),
});
export type Roster = z.infer<typeof rosterSchema>;

export const watchResultSchema = z.object({
	epoch: z.string(),
	position: z.number(),
	announcements: z.array(agedAnnouncementSchema).readonly(),
	/** Of the core host. */
	zoneId: z.string(),
	/** Of the newest configuration that this core host knows; -1 for none. It is fetched from one core host only. */
	configurationNumber: z.number(),
	versionsHash: z.string(),
	/** How long ago this core host surely held all that was acknowledged; `null` if that is too long ago to count. */
	freshAgeMs: z.number().nullable(),
	/** Weights that were named, and for how long this host has known it. */
	versions: z.array(z.object({model: z.string(), version: z.number(), ageMs: z.number()})),
	roster: rosterSchema.nullable(),
});
export type WatchResult = z.infer<typeof watchResultSchema>;

/** `gateway.configuration`: the newest that a core host knows. */
export const configurationResultSchema = z.object({number: z.number(), text: z.string()}).nullable();
export type ConfigurationDocument = NonNullable<z.infer<typeof configurationResultSchema>>;

/** `gateway.submit`, at the leader: puts a document in order. */
export const submitParametersSchema = z.object({document: documentSchema});
export const submitResultSchema = z.object({outcome: z.enum(['stored', 'known', 'conflict'])});
export type SubmitOutcome = z.infer<typeof submitResultSchema>['outcome'];

/** `gateway.read`, at the leader: the configuration that is surely the newest. */
export const readParametersSchema = z.object({});
export const readResultSchema = z.object({text: z.string().nullable()});

/** `gateway.permit`, at the leader: asks whether the endpoint beside an agent may leave service to load a version. */
export const permitParametersSchema = z.object({agentAddress: z.string(), serviceName: z.string(), isDone: z.boolean()});
export const permitResultSchema = z.object({isGranted: z.boolean()});
