import {spawn, execFileSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {freeAddresses} from '@bitternpaddle/test-support';
import {withTemporaryFolder} from '../capacity/measure-state.js';
import {readMemory, readUsage, type ProcessUsage} from '../capacity/process-usage.js';
import {coreCount} from './deployment.js';
import {
	startAnnouncers, startCallers, startCores, startEngine, startEngines, startFollowers, startReports, type FakePeers,
} from './fleet.js';
import type {RoleSettings} from './role-process.js';

type Role = RoleSettings['role'];

/** Cost of one process of a role in a fleet of `engineCount` engines. */
type RoleCost = {
	readonly engineCount: number;
	/** Mean CPU cores in use over the steady period. */
	readonly cores: number;
	readonly bytesPerSecond: number;
	/** CPU seconds of the startup period in excess of the steady rate and of the startup of an empty Node process. */
	readonly startS: number;
	readonly residentMb: number;
};

const roles: readonly Role[] = ['entry', 'core', 'agent'];
const startMs = 4000;
const steadyStateMs = 8000;
const msPerSecond = 1000;
const bytesPerMegabyte = 1_048_576;
/** The flags of the deployed roles. */
const nodeFlags = ['--single-threaded', '--max-old-space-size=160'];
/** Request rate of one entry among 39, with engines of 8 slots each. */
const requestsPerSecond = 24;
const bundler = fileURLToPath(new URL('../../../../scripts/bundle-role.js', import.meta.url));
const roleModule = fileURLToPath(new URL('role-process.js', import.meta.url));

type Sample = {readonly start: ProcessUsage; readonly end: ProcessUsage; readonly residentMb: number};

/** Starts a process, and reads its usage after the startup period and after the steady period; then terminates it. */
const measureProcess = async (nodeArguments: readonly string[], profileFolder: string | null): Promise<Sample> => {
	const profiling = profileFolder === null ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
	const child = spawn(process.execPath, [...profiling, ...nodeArguments], {stdio: ['ignore', 'ignore', 'inherit']});
	const exited = new Promise(resolve => {
		child.once('exit', resolve);
	});
	try {
		await delay(startMs);
		const start = await readUsage(child.pid!);
		await delay(steadyStateMs);
		const end = await readUsage(child.pid!);
		const {residentBytes} = await readMemory(child.pid!);
		return {start, end, residentMb: residentBytes / bytesPerMegabyte};
	} finally {
		// A profiled process exits gracefully on SIGINT and writes its profile.
		child.kill(profileFolder === null ? 'SIGKILL' : 'SIGINT');
		await exited;
	}
};

type FleetAddresses = {readonly selfAddress: string; readonly listen: string; readonly engineAddress: string; readonly otherAddresses: readonly string[]};

const startPeers = async (role: Role, engineCount: number, {selfAddress, listen, engineAddress, otherAddresses}: FleetAddresses): Promise<FakePeers[]> => {
	switch (role) {
		case 'entry': {
			return [
				await startCores(otherAddresses, engineCount), startReports(selfAddress, engineCount), await startEngines(engineCount), startCallers(listen, requestsPerSecond),
			];
		}

		case 'agent': {
			return [await startCores(otherAddresses, engineCount), await startEngine(engineAddress)];
		}

		case 'core': {
			return [await startAnnouncers(otherAddresses.slice(1), engineCount), startFollowers(selfAddress, engineCount)];
		}
	}
};

type MeasureOptions = {readonly program: string; readonly emptyNodeMs: number; readonly profileFolder: string | null};

const measureRole = async (role: Role, engineCount: number, {program, emptyNodeMs, profileFolder}: MeasureOptions): Promise<RoleCost> => withTemporaryFolder(async folder => {
	const [selfAddress, listen, readinessListen, engineAddress, ...otherAddresses] = await freeAddresses(4 + coreCount) as [string, string, string, string, ...string[]];
	const settings: RoleSettings = {
		role, selfAddress, listen, readinessListen, engineAddress, folder: path.join(folder, 'core'),
		seeds: role === 'core' ? [selfAddress, ...otherAddresses.slice(1)] : otherAddresses,
	};
	const peers = await startPeers(role, engineCount, {
		selfAddress, listen, engineAddress, otherAddresses,
	});
	try {
		const {start, end, residentMb} = await measureProcess([...nodeFlags, program, JSON.stringify(settings)], profileFolder);
		const cores = (end.processorMs - start.processorMs) / steadyStateMs;
		return {
			engineCount, cores: round(cores, 4), bytesPerSecond: Math.round((end.transferBytes - start.transferBytes) * msPerSecond / steadyStateMs),
			startS: round((start.processorMs - emptyNodeMs - (cores * startMs)) / msPerSecond, 3), residentMb: round(residentMb, 1),
		};
	} finally {
		for (const peer of peers) {
			peer.close();
		}
	}
});

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

/**
 * Measures the cost of a process of each role in fleets of 15, 60 and 170 engines. This
 * process simulates all other hosts, so that the slope over the number of engines is
 * that of the measured process alone.
 */
export const measureFleetCost = async (options: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({
		args: [...options], options: {
			engines: {type: 'string', default: '15,60,170'}, roles: {type: 'string', default: roles.join(',')}, profile: {type: 'string'},
		},
	});
	return withTemporaryFolder(async folder => {
		execFileSync(process.execPath, [bundler, roleModule, folder, values.profile === undefined ? 'minified' : 'plain', ...nodeFlags]);
		const emptyNode = await measureProcess(['-e', 'setInterval(() => {}, 1000)'], null);
		const result: Record<string, RoleCost[]> = {};
		for (const role of roles.filter(name => values.roles.split(',').includes(name))) {
			result[role] = [];
			for (const engineCount of values.engines.split(',').map(Number)) {
				result[role].push(await measureRole(role, engineCount, {
					program: path.join(folder, 'role.cjs'), emptyNodeMs: emptyNode.start.processorMs, profileFolder: values.profile ?? null,
				}));
			}
		}

		return {bench: 'fleet-cost', emptyNodeS: round(emptyNode.start.processorMs / msPerSecond, 3), ...result};
	});
};
