import * as z from 'zod';

/**
 * Names that operators enter: letters, digits, dot, dash and underscore, at
 * most 64 characters, so that they can be used in a URL path, a header and a
 * file name without escaping.
 */
export const namePattern = /^[a-zA-Z\d][\w.\-]{0,63}$/v;

/** A SHA-256 digest in lower-case hexadecimal with a `sha256:` prefix. */
export const digestPattern = /^sha256:[\da-f]{64}$/v;

const name = z.string().regex(namePattern, 'expected letters, digits, ".", "-" or "_", at most 64 characters');

/** A machine that runs one process of the system. */
export const hostIdSchema = name.brand<'HostId'>();
export type HostId = z.infer<typeof hostIdSchema>;

/** An availability zone, such as a data hall. */
export const zoneIdSchema = name.brand<'ZoneId'>();
export type ZoneId = z.infer<typeof zoneIdSchema>;

export const regionIdSchema = name.brand<'RegionId'>();
export type RegionId = z.infer<typeof regionIdSchema>;

/** A named group of endpoints that callers send requests to. */
export const serviceIdSchema = name.brand<'ServiceId'>();
export type ServiceId = z.infer<typeof serviceIdSchema>;

export const teamIdSchema = name.brand<'TeamId'>();
export type TeamId = z.infer<typeof teamIdSchema>;

export const modelIdSchema = name.brand<'ModelId'>();
export type ModelId = z.infer<typeof modelIdSchema>;

export const fleetIdSchema = name.brand<'FleetId'>();
export type FleetId = z.infer<typeof fleetIdSchema>;

export const adapterIdSchema = name.brand<'AdapterId'>();
export type AdapterId = z.infer<typeof adapterIdSchema>;

/** Key of a version's adapter, in the form `model:label/adapter`. */
export const adapterKeyOf = (versionId: string, adapterId: string): string => `${versionId}/${adapterId}`;

/** A version of a model, in the form `model:label`. */
export const versionIdSchema = z.string()
	.regex(/^[a-zA-Z\d][\w.\-]{0,63}:[a-zA-Z\d][\w.\-]{0,63}$/v, 'expected model:label')
	.brand<'VersionId'>();
export type VersionId = z.infer<typeof versionIdSchema>;

/** Generated at random by the first leader of a group of control hosts. Distinguishes a system from another one that now uses the same addresses. */
export const systemIdSchema = z.uuid().brand<'SystemId'>();
export type SystemId = z.infer<typeof systemIdSchema>;

/** The digest of a manifest; identifies exactly one set of weights. */
export const manifestIdSchema = z.string().regex(digestPattern, 'expected sha256: and 64 hexadecimal digits').brand<'ManifestId'>();
export type ManifestId = z.infer<typeof manifestIdSchema>;

/** Chosen by the sender of a command, so that a retry is recognized. */
export const commandIdSchema = z.string().min(1).max(128).brand<'CommandId'>();
export type CommandId = z.infer<typeof commandIdSchema>;

/** Identifies a caller's request across entries and agents. */
export const requestIdSchema = z.string().min(1).max(128).brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

/** The `Idempotency-Key` header of a caller's request. */
export const idempotencyKeySchema = z.string().min(1).max(256).brand<'IdempotencyKey'>();
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;

export const hostId = (value: string): HostId => hostIdSchema.parse(value);
export const zoneId = (value: string): ZoneId => zoneIdSchema.parse(value);
export const regionId = (value: string): RegionId => regionIdSchema.parse(value);
export const serviceId = (value: string): ServiceId => serviceIdSchema.parse(value);
export const teamId = (value: string): TeamId => teamIdSchema.parse(value);
export const modelId = (value: string): ModelId => modelIdSchema.parse(value);
export const fleetId = (value: string): FleetId => fleetIdSchema.parse(value);
export const versionId = (value: string): VersionId => versionIdSchema.parse(value);
export const manifestId = (value: string): ManifestId => manifestIdSchema.parse(value);
export const systemId = (value: string): SystemId => systemIdSchema.parse(value);
export const commandId = (value: string): CommandId => commandIdSchema.parse(value);
export const requestId = (value: string): RequestId => requestIdSchema.parse(value);
export const idempotencyKey = (value: string): IdempotencyKey => idempotencyKeySchema.parse(value);
