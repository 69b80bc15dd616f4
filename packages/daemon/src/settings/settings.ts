import {
	hostIdSchema, regionIdSchema, serviceIdSchema, zoneIdSchema,
} from '@bitternpaddle/state';
import * as z from 'zod';
import {adminRoles} from '../entry/admin-tokens.js';

/** One setting: a flag and the environment variable of the same name. */
export type SettingDefinition = {
	readonly name: string;
	readonly description: string;
	/** Description of a valid value for the help and error messages. */
	readonly expected: string;
	readonly defaultText: string | null;
	readonly schema: z.ZodType;
};

const addressSchema = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v);
const listSchema = <Output>(item: z.ZodType<Output, string>): z.ZodType<Output[], string> => z.string()
	.transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
	.pipe(z.array(item).min(1));
const numberSchema = (minimum: number, maximum: number) => z.string().regex(/^\d+$/v).transform(Number).pipe(z.number().min(minimum).max(maximum));

const memberSchema = z.string().regex(/^[\w.\-]+=\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v).transform(text => {
	const [id, address] = text.split('=') as [string, string];
	return {id, address};
});

const tokenSchema = z.string().regex(/^(?:read|operate|administer):\S{8,}$/v).transform(text => {
	const position = text.indexOf(':');
	return {role: z.enum(adminRoles).parse(text.slice(0, position)), token: text.slice(position + 1)};
});

export type Role = 'entry' | 'control' | 'agent';

const define = <Schema extends z.ZodType>(name: string, schema: Schema, description: string, expected: string, defaultText: string | null) => ({
	name, schema, description, expected, defaultText,
});

export const settingDefinitions = {
	roles: define('roles', listSchema(z.enum(['entry', 'control', 'agent'])), 'Roles that this process runs.', 'a list of entry, control, agent', null),
	hostId: define('host-id', hostIdSchema, 'Name of this host, unique in the system.', 'a name', null),
	listen: define('listen', addressSchema, 'Address on which the first role listens; further roles use free ports of the same IP address.', 'ip:port', '127.0.0.1:0'),
	controls: define('controls', listSchema(memberSchema), 'Ids and addresses of all control hosts.', 'a list of id=ip:port', null),
	voters: define('voters', listSchema(hostIdSchema), 'Ids of the control hosts that vote after the first start; the others are standbys.', 'a list of ids from --controls', ''),
	replaceVoterAfterMs: define(
		'replace-voter-after-ms',
		numberSchema(1000, 3_600_000),
		'A voter that does not respond for this long is replaced by a standby control host (control).',
		'milliseconds, longer than a restart takes',
		'15000',
	),
	dataFolder: define('data-folder', z.string().min(1), 'Folder for data that must be preserved (control) or may be reused (agent).', 'a path', './data'),
	zone: define('zone', zoneIdSchema, 'Availability zone of this host.', 'a name', 'zone-1'),
	region: define('region', regionIdSchema, 'Region of this host.', 'a name', 'region-1'),
	service: define('service', serviceIdSchema, 'Service that the endpoint belongs to (agent).', 'a name', 'default'),
	provider: define('provider', z.string().regex(/^[\w.\-]{1,64}$/v), 'Provider of this host (agent).', 'a name', 'default'),
	endpoint: define('endpoint', addressSchema, 'Address on which the endpoint listens (agent).', 'ip:port', ''),
	endpointKind: define('endpoint-kind', z.enum(['engine', 'plain']), 'Whether the endpoint is a model engine or a plain service (agent).', 'engine or plain', 'engine'),
	origin: define('origin', addressSchema, 'Address of the origin of weights (agent).', 'ip:port', ''),
	store: define('store', addressSchema, 'Address of the weight store, which is used while the origin fails or refuses requests (agent).', 'ip:port', ''),
	originCopies: define('origin-copies', numberSchema(1, 4), 'Copies of a version to fetch from the origin: fewer save its bandwidth, more save time (agent).', 'a whole number from 1 to 4', '1'),
	transferIn: define('transfer-in-bytes-per-second', numberSchema(1024, 1_000_000_000_000), 'Bandwidth limit of incoming transfers (agent); none if omitted.', 'a whole number from 1024', ''),
	transferOut: define('transfer-out-bytes-per-second', numberSchema(1024, 1_000_000_000_000), 'Bandwidth limit of outgoing transfers (agent); none if omitted.', 'a whole number from 1024', ''),
	capacity: define('capacity', numberSchema(1, 100_000), 'Maximum number of requests that the endpoint runs concurrently (agent).', 'a whole number from 1 to 100000', '16'),
	adminTokens: define('admin-tokens', listSchema(tokenSchema), 'Roles and tokens of operators (entry).', 'a list of read|operate|administer:TOKEN, each TOKEN of 8 characters or more', ''),
	limitTokens: define(
		'limit-tokens-per-second',
		numberSchema(1, 1_000_000_000),
		'Tokens per second over all teams and entries, divided by the shares of the teams (entry); unlimited if omitted.',
		'a whole number from 1 to 1000000000',
		'',
	),
	limitBurstSeconds: define('limit-burst-seconds', numberSchema(1, 3600), 'Burst size: seconds of its share of the limit that a team can accumulate (entry).', 'a whole number from 1 to 3600', '10'),
	maxQueuedPerTeam: define('max-queued-per-team', numberSchema(1, 1_000_000), 'Maximum queued requests of one team for one model or service (entry).', 'a whole number from 1 to 1000000', '512'),
	maxQueuedPerService: define('max-queued-per-service', numberSchema(1, 1_000_000), 'Maximum queued requests for one model or service (entry).', 'a whole number from 1 to 1000000', '2048'),
	maxConnections: define('max-connections', numberSchema(16, 1_000_000), 'Maximum number of incoming connections to each role of this process.', 'a whole number from 16 to 1000000', '8192'),
	maxBufferedBytes: define(
		'max-buffered-bytes',
		numberSchema(1_048_576, 1_000_000_000_000),
		'Maximum memory of the heads and bodies of requests in each role of this process, in bytes; at least 8388608 with the role agent, at least 67108864 with the role control.',
		'a whole number from 1048576',
		'134217728',
	),
	maxOpenRequests: define(
		'max-open-requests',
		numberSchema(16, 1_000_000),
		'Maximum number of requests in each role of this process that have no complete answer yet.',
		'a whole number from 16 to 1000000',
		'4096',
	),
	maxUnreadBytes: define(
		'max-unread-bytes',
		numberSchema(1_048_576, 1_000_000_000_000),
		'Maximum bytes of answers in each role of this process that wait for their callers to read.',
		'a whole number from 1048576',
		'134217728',
	),
	maxPipelinedRequests: define(
		'max-pipelined-requests',
		numberSchema(1, 100_000),
		'Maximum number of requests on one connection that have no complete answer yet, at most --max-open-requests.',
		'a whole number from 1 to 100000',
		'128',
	),
	maxFragmentedBodies: define(
		'max-fragmented-bodies',
		numberSchema(1, 10_000),
		'Maximum number of request bodies in very small parts that each role of this process reads at the same time.',
		'a whole number from 1 to 10000',
		'8',
	),
	headTimeoutMs: define('head-timeout-ms', numberSchema(100, 600_000), 'Maximum time to receive the head of a request.', 'milliseconds from 100 to 600000', '10000'),
	requestTimeoutMs: define(
		'request-timeout-ms',
		numberSchema(100, 600_000),
		'Maximum time to receive a complete request, at least --head-timeout-ms.',
		'milliseconds from 100 to 600000',
		'60000',
	),
	unreadTimeoutMs: define('unread-timeout-ms', numberSchema(1000, 3_600_000), 'Maximum time that a caller may leave its answer unread.', 'milliseconds from 1000 to 3600000', '60000'),
	statsd: define('statsd', addressSchema, 'Address to which metrics are sent.', 'ip:port', ''),
	logLevel: define('log-level', z.enum(['error', 'warn', 'info', 'debug', 'silent']), 'Minimum severity of logged events.', 'error, warn, info, debug or silent', 'info'),
	record: define('record', z.string().min(1), 'File to which decisions are recorded, for `bitternpaddle replay` (control).', 'a path', ''),
} as const;

export type SettingKey = keyof typeof settingDefinitions;

type Values = {[Key in SettingKey]: z.output<typeof settingDefinitions[Key]['schema']>};

type OptionalKey = 'voters' | 'endpoint' | 'origin' | 'store' | 'transferIn' | 'transferOut' | 'adminTokens' | 'limitTokens' | 'statsd' | 'record';

export type Settings = Omit<Values, OptionalKey> & {[Key in OptionalKey]: Values[Key] | undefined};

export type ResolveSettingsResult
	= | {readonly type: 'settings'; readonly settings: Settings}
		| {readonly type: 'problems'; readonly problems: readonly string[]};

export const environmentName = (flag: string): string => `BITTERNPADDLE_${flag.toUpperCase().replaceAll('-', '_')}`;

/** Reads flags first, then environment variables, then defaults; reports all invalid values together. */
export const resolveSettings = (flags: Partial<Record<SettingKey, string>>, environment: Record<string, string | undefined>): ResolveSettingsResult => {
	const problems: string[] = [];
	const settings: Record<string, unknown> = {};
	for (const [key, definition] of Object.entries(settingDefinitions)) {
		const text = flags[key as SettingKey] ?? environment[environmentName(definition.name)] ?? definition.defaultText;
		if (text === null) {
			problems.push(`--${definition.name} (${environmentName(definition.name)}) is required: expected ${definition.expected}`);
		} else if (text !== '') {
			const parsed = definition.schema.safeParse(text);
			if (parsed.success) {
				settings[key] = parsed.data;
			} else {
				problems.push(`--${definition.name} (${environmentName(definition.name)}) is ${JSON.stringify(text)}: expected ${definition.expected}`);
			}
		}
	}

	const checked = settings as Settings;
	if (problems.length === 0) {
		problems.push(...contradictions(checked));
	}

	return problems.length === 0 ? {type: 'settings', settings: checked} : {type: 'problems', problems};
};

/** Finds values that are valid on their own but not in combination. */
const contradictions = (settings: Settings): string[] => {
	const {roles, endpoint, origin, endpointKind, controls, voters = [], hostId, maxQueuedPerTeam, maxQueuedPerService} = settings;
	const problems: string[] = [];
	const ids = new Set(controls.map(control => control.id));
	if (roles.includes('agent') && endpoint === undefined) {
		problems.push('--endpoint is required with the role agent: expected ip:port');
	}

	if (roles.includes('agent') && endpointKind === 'engine' && origin === undefined) {
		problems.push('--origin is required with the role agent and --endpoint-kind engine: expected ip:port');
	}

	if (roles.includes('control') && !ids.has(hostId)) {
		problems.push(`--host-id is "${hostId}": expected one of --controls with the role control`);
	}

	for (const voter of voters.filter(id => !ids.has(id))) {
		problems.push(`--voters names "${voter}": expected ids from --controls`);
	}

	if (maxQueuedPerTeam > maxQueuedPerService) {
		problems.push(`--max-queued-per-team is ${maxQueuedPerTeam}: expected at most --max-queued-per-service (${maxQueuedPerService})`);
	}

	return [...problems, ...contradictingServerLimits(settings)];
};

/** The largest request that each role must be able to accept. */
const largestRequestBytes: Record<Role, number> = {entry: 1_048_576, agent: 8_388_608, control: 67_108_864};

const contradictingServerLimits = ({
	roles, maxBufferedBytes, maxOpenRequests, maxPipelinedRequests, headTimeoutMs, requestTimeoutMs,
}: Settings): string[] => {
	const problems = roles.filter(role => maxBufferedBytes < largestRequestBytes[role])
		.map(role => `--max-buffered-bytes is ${maxBufferedBytes}: expected at least ${largestRequestBytes[role]} with the role ${role}`);
	if (maxPipelinedRequests > maxOpenRequests) {
		problems.push(`--max-pipelined-requests is ${maxPipelinedRequests}: expected at most --max-open-requests (${maxOpenRequests})`);
	}

	if (headTimeoutMs > requestTimeoutMs) {
		problems.push(`--head-timeout-ms is ${headTimeoutMs}: expected at most --request-timeout-ms (${requestTimeoutMs})`);
	}

	return problems;
};
