import path from 'node:path';
import process from 'node:process';
import {
	createLogger, createMetrics, handleStopSignals, ignore, type Logger,
} from '@bitternpaddle/transport';
import {Command, Option} from 'clipanion';
import {
	environmentName, resolveSettings, settingDefinitions, type SettingKey, type Settings,
} from '../settings/settings.js';
import {limitsOf, serverLimitsOf} from '../settings/limits.js';
import {letYoungGenerationGrow} from '../young-generation.js';

/** Exit code for invalid settings. */
export const usageExitCode = 2;
/** Exit code for a host that cannot start or continue. */
const failureExitCode = 1;

const flag = (key: SettingKey) => {
	const {name, description, expected, defaultText} = settingDefinitions[key];
	const defaultNote = defaultText === null ? '' : (defaultText === '' ? '' : ` Default: ${defaultText}.`);
	return Option.String(`--${name}`, {description: `${description} Expected: ${expected}.${defaultNote} (${environmentName(name)})`});
};

type Stoppable = {stop(): Promise<void>};

/** `bitternpaddled run`: runs one host of the system. */
export class RunCommand extends Command {
	static override paths = [['run'], Command.Default];

	static override usage = Command.Usage({
		description: 'Run one host with one or more roles.',
		details: 'Settings are read from flags, then environment variables, then defaults. SIGTERM, SIGINT and SIGHUP stop the host gracefully: it refuses new requests and finishes the running ones.',
		examples: [
			['A control host', '$0 run --roles control --host-id c1 --listen 127.0.0.1:7001 --controls c1=127.0.0.1:7001,c2=127.0.0.1:7002,c3=127.0.0.1:7003 --data-folder ./data/c1'],
			['An entry', '$0 run --roles entry --host-id e1 --listen 127.0.0.1:7101 --controls c1=127.0.0.1:7001 --admin-tokens administer:change-me-now'],
		],
	});

	roles = flag('roles');
	hostId = flag('hostId');
	listen = flag('listen');
	controls = flag('controls');
	voters = flag('voters');
	replaceVoterAfterMs = flag('replaceVoterAfterMs');
	dataFolder = flag('dataFolder');
	zone = flag('zone');
	region = flag('region');
	service = flag('service');
	provider = flag('provider');
	endpoint = flag('endpoint');
	endpointKind = flag('endpointKind');
	origin = flag('origin');
	store = flag('store');
	originCopies = flag('originCopies');
	transferIn = flag('transferIn');
	transferOut = flag('transferOut');
	capacity = flag('capacity');
	adminTokens = flag('adminTokens');
	limitTokens = flag('limitTokens');
	limitBurstSeconds = flag('limitBurstSeconds');
	maxQueuedPerTeam = flag('maxQueuedPerTeam');
	maxQueuedPerService = flag('maxQueuedPerService');
	maxConnections = flag('maxConnections');
	maxBufferedBytes = flag('maxBufferedBytes');
	maxOpenRequests = flag('maxOpenRequests');
	maxUnreadBytes = flag('maxUnreadBytes');
	maxPipelinedRequests = flag('maxPipelinedRequests');
	maxFragmentedBodies = flag('maxFragmentedBodies');
	headTimeoutMs = flag('headTimeoutMs');
	requestTimeoutMs = flag('requestTimeoutMs');
	unreadTimeoutMs = flag('unreadTimeoutMs');
	statsd = flag('statsd');
	logLevel = flag('logLevel');
	record = flag('record');

	override async execute(): Promise<number> {
		const keys = Object.keys(settingDefinitions) as SettingKey[];
		const flags = Object.fromEntries(keys.map(key => [key, this[key]]).filter(([, value]) => value !== undefined)) as Partial<Record<SettingKey, string>>;
		const resolved = resolveSettings(flags, process.env);
		if (resolved.type === 'problems') {
			this.context.stderr.write(`${resolved.problems.join('\n')}\n`);
			return usageExitCode;
		}

		return runHost(resolved.settings);
	}
}

/** Runs the host until a signal or an operator stops it; resolves with the exit code. */
const runHost = async (settings: Settings): Promise<number> => {
	const logger = createLogger({level: settings.logLevel, labels: {host: settings.hostId}});
	const nodes: Stoppable[] = [];
	let onFailed = (): void => undefined;
	const finished = new Promise<number>(resolve => {
		const stopAll = async (exitCode: number): Promise<void> => {
			logger.event('BP9002', {});
			// A role that is still starting may already have accepted requests.
			await started.catch(ignore);
			for (const node of nodes.toReversed()) {
				await node.stop();
			}

			resolve(exitCode);
		};

		onFailed = (): void => {
			void stopAll(failureExitCode);
		};

		handleStopSignals({
			signals: ['SIGTERM', 'SIGINT', 'SIGHUP'],
			stop() {
				void stopAll(0);
			},
		});
	});
	const started = startRoles({
		settings, nodes, logger, onFailed,
	});
	try {
		await started;
	} catch (error) {
		logger.event('BP9003', {message: (error as Error).message});
		return failureExitCode;
	}

	return finished;
};

type StartRolesOptions = {
	readonly settings: Settings;
	readonly nodes: Stoppable[];
	readonly logger: Logger;
	/** Called when a role cannot continue. */
	onFailed(): void;
};

/** Loads only the code of the configured roles, so that an agent does not spend memory on the entry. */
const startRoles = async ({settings, nodes, logger, onFailed}: StartRolesOptions): Promise<void> => {
	const {roles, hostId, controls, dataFolder} = settings;
	const voters = settings.voters ?? controls.map(control => control.id);
	const [ip] = settings.listen.split(':') as [string];
	let {listen} = settings;
	const nextListen = (): string => {
		const taken = listen;
		listen = `${ip}:0`;
		return taken;
	};

	const serverLimits = serverLimitsOf(settings);
	const metrics = createMetrics({address: settings.statsd, labels: {host: hostId}});
	const controlAddresses = controls.map(control => control.address);
	if (roles.includes('control')) {
		letYoungGenerationGrow();
		const {createControlNode} = await import('../control/create-control-node.js');
		const {checkVoters} = await import('../control/check-voters.js');
		checkVoters(voters, logger);
		const members = new Map(controls.map(({id, address}) => [id, address]));
		const node = await createControlNode({
			selfId: hostId, listen: nextListen(), folder: path.join(dataFolder, 'control'), members, voters, recordFile: settings.record,
			replaceAfterMs: settings.replaceVoterAfterMs, serverLimits, logger, metrics, onFailed,
		});
		nodes.push(node);
		logger.event('BP9001', {role: 'control', address: node.address});
	}

	if (roles.includes('entry')) {
		const {createEntryNode} = await import('../entry/create-entry-node.js');
		const node = await createEntryNode({
			entryId: hostId, listen: nextListen(), controls: controlAddresses, adminTokens: settings.adminTokens,
			zoneId: settings.zone, regionId: settings.region, limits: limitsOf(settings), serverLimits, logger, metrics,
		});
		nodes.push(node);
		logger.event('BP9001', {role: 'entry', address: node.address});
	}

	if (roles.includes('agent')) {
		const {createAgentNode} = await import('../agent/create-agent-node.js');
		const node = await createAgentNode({
			hostId, zoneId: settings.zone, regionId: settings.region, serviceId: settings.service, provider: settings.provider, kind: settings.endpointKind,
			endpointAddress: settings.endpoint!, controls: controlAddresses, originAddress: settings.origin ?? '', storeAddress: settings.store,
			originCopies: settings.originCopies, transferLimits: {inBytesPerSecond: settings.transferIn, outBytesPerSecond: settings.transferOut}, folder: path.join(dataFolder, 'weights'),
			listen: nextListen(), capacity: settings.capacity, serverLimits, logger, metrics,
			onStopped() {
				process.kill(process.pid, 'SIGTERM');
			},
		});
		nodes.push(node);
		logger.event('BP9001', {role: 'agent', address: node.address});
	}
};
