import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {slopeNames, type SlopeName} from './definitions.js';
import {estimateAll, type Slopes} from './estimate.js';
import {measureControl} from './measure-control.js';
import {measureHosts, measureIdleMemory} from './measure-host.js';
import {measureLogSyncs} from './measure-log-syncs.js';
import {measureState, type Measured} from './measure-state.js';
import {measureStreams} from './measure-stream.js';
import {measureSwarm} from './measure-swarm.js';
import {
	estimateTable, memoryTable, renewSection, slopeTable,
} from './page.js';
import {fitSlope, type Slope} from './slope.js';

const groups = {
	state: measureState,
	log: measureLogSyncs,
	swarm: measureSwarm,
	control: measureControl,
	hosts: measureHosts,
	streams: measureStreams,
} as const satisfies Record<string, () => Promise<Measured>>;

type GroupName = keyof typeof groups;

const groupNames = Object.keys(groups) as GroupName[];

const wantedGroups = (names: readonly string[]): GroupName[] => {
	const unknown = names.filter(name => !groupNames.includes(name as GroupName));
	if (unknown.length > 0) {
		throw new Error(`unknown group ${unknown.join(', ')}: expected some of ${groupNames.join(', ')}`);
	}

	return names.length === 0 ? groupNames : names as GroupName[];
};

const print = (text: string): void => {
	process.stdout.write(`${text}\n\n`);
};

const measureSlopes = async (wanted: readonly GroupName[]): Promise<Partial<Slopes>> => {
	const slopes: Partial<Record<SlopeName, Slope>> = {};
	for (const group of wanted) {
		const measured = await groups[group]();
		const fitted = Object.fromEntries(Object.entries(measured).map(([name, points]) => [name, fitSlope(points)]));
		Object.assign(slopes, fitted);
		print(slopeTable(fitted));
	}

	return slopes;
};

const isWhole = (slopes: Partial<Slopes>): slopes is Slopes => slopeNames.every(name => name in slopes);

/**
 * Slopes and what follows from them at the letter's size, for
 * docs/CAPACITY.md: `npm run bench -- capacity [GROUP...]`. All groups without
 * a group. `--page FILE --commit ID` renews the generated sections of the page.
 */
export const measureCapacity = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values: {page, commit}, positionals} = parseArgs({
		args: [...flags], allowPositionals: true, options: {page: {type: 'string'}, commit: {type: 'string', default: 'not given'}},
	});
	const wanted = wantedGroups(positionals);
	if (page !== undefined && wanted.length < groupNames.length) {
		throw new Error('--page needs all groups: a page of two runs would mix two states of the program');
	}

	const slopes = await measureSlopes(wanted);
	const memory = await measureIdleMemory();
	print(memoryTable(memory));
	if (!isWhole(slopes)) {
		return {
			bench: 'capacity', groups: wanted, slopes, memory,
		};
	}

	const estimates = estimateAll(slopes);
	print(estimateTable(estimates));
	if (page !== undefined) {
		const run = `\`npm run bench -- capacity\` at commit ${commit}, Node ${process.version}.`;
		let text = await readFile(page, 'utf8');
		text = renewSection(text, 'slopes', `${run}\n\n${slopeTable(slopes)}`);
		text = renewSection(text, 'memory', memoryTable(memory));
		text = renewSection(text, 'estimates', estimateTable(estimates));
		await writeFile(page, text);
	}

	return {
		bench: 'capacity', groups: wanted, commit, slopes, memory, estimates,
	};
};
