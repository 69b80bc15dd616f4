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
import {measureTokens} from './measure-tokens.js';
import {
	estimateTable, memoryTable, replaceSection, slopeTable, tokenSection,
} from './page.js';
import {fitSlope, type Slope} from './slope.js';

/** Measured points, and the additional section of the page for groups that have one. */
type GroupResult = {readonly measured: Measured; readonly section?: {readonly name: string; readonly text: string}};

const withoutSection = (measure: () => Promise<Measured>) => async (): Promise<GroupResult> => ({measured: await measure()});

const groups = {
	state: withoutSection(measureState),
	log: withoutSection(measureLogSyncs),
	swarm: withoutSection(measureSwarm),
	control: withoutSection(measureControl),
	hosts: withoutSection(measureHosts),
	streams: withoutSection(measureStreams),
	async tokens() {
		const {rows, measured} = await measureTokens();
		return {measured, section: {name: 'tokens', text: tokenSection(rows)}};
	},
} as const satisfies Record<string, () => Promise<GroupResult>>;

type GroupName = keyof typeof groups;

const groupNames = Object.keys(groups) as GroupName[];

const selectGroups = (names: readonly string[]): GroupName[] => {
	const unknown = names.filter(name => !groupNames.includes(name as GroupName));
	if (unknown.length > 0) {
		throw new Error(`unknown group ${unknown.join(', ')}: expected any of ${groupNames.join(', ')}`);
	}

	return names.length === 0 ? groupNames : names as GroupName[];
};

const print = (text: string): void => {
	process.stdout.write(`${text}\n\n`);
};

type GroupsRun = {readonly slopes: Partial<Slopes>; readonly sections: Map<string, string>};

const runGroups = async (selected: readonly GroupName[]): Promise<GroupsRun> => {
	const slopes: Partial<Record<SlopeName, Slope>> = {};
	const sections = new Map<string, string>();
	for (const group of selected) {
		const startedAtMs = performance.now();
		const {measured, section}: GroupResult = await groups[group]();
		if (section !== undefined) {
			sections.set(section.name, section.text);
			print(section.text);
		}

		const fitted = Object.fromEntries(Object.entries(measured).map(([name, points]) => [name, fitSlope(points)]));
		Object.assign(slopes, fitted);
		print(slopeTable(fitted));
		print(`${group}: ${Math.round((performance.now() - startedAtMs) / 1000)} s`);
	}

	return {slopes, sections};
};

const isComplete = (slopes: Partial<Slopes>): slopes is Slopes => slopeNames.every(name => name in slopes);

/**
 * Measures slopes and computes estimates for the target deployment, for
 * docs/CAPACITY.md: `npm run bench -- capacity [GROUP...]`. Without GROUP, all groups
 * are measured. `--page FILE --commit ID` regenerates the generated sections of the
 * page.
 */
export const measureCapacity = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values: {page, commit}, positionals} = parseArgs({
		args: [...flags], allowPositionals: true, options: {page: {type: 'string'}, commit: {type: 'string', default: 'not given'}},
	});
	const selected = selectGroups(positionals);
	if (page !== undefined && selected.length < groupNames.length) {
		throw new Error('--page requires all groups: sections from different runs would mix versions of the program');
	}

	const {slopes, sections} = await runGroups(selected);
	const memory = await measureIdleMemory();
	print(memoryTable(memory));
	if (!isComplete(slopes)) {
		return {
			bench: 'capacity', groups: selected, slopes, memory,
		};
	}

	const estimates = estimateAll(slopes);
	print(estimateTable(estimates));
	if (page !== undefined) {
		const run = `\`npm run bench -- capacity\` at commit ${commit}, Node ${process.version}.`;
		let text = await readFile(page, 'utf8');
		text = replaceSection(text, 'slopes', `${run}\n\n${slopeTable(slopes)}`);
		text = replaceSection(text, 'memory', memoryTable(memory));
		text = replaceSection(text, 'estimates', estimateTable(estimates));
		for (const [name, section] of sections) {
			text = replaceSection(text, name, section);
		}

		await writeFile(page, text);
	}

	return {
		bench: 'capacity', groups: selected, commit, slopes, memory, estimates,
	};
};
