import {writeFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {
	profileNames, resolveScenario, scenarioNames, upperBound, workloadNames, type Counts, type ProfileName, type Result, type ScenarioName, type WorkloadName,
} from '@bitternpaddle/model';
import {mean, standardDeviation} from 'simple-statistics';
import {playAll} from './play-all.js';
import type {PlayDone, PlayJob} from './play-worker.js';
import {plotSeconds} from './plot.js';
import {ablations, baselines} from './policies.js';

type Options = {
	readonly scenarios: readonly ScenarioName[];
	readonly policies: readonly string[];
	readonly seeds: number;
	readonly engineCount: number;
	readonly entryCount: number;
	readonly profile: ProfileName;
	readonly work: WorkloadName;
	readonly reportAgeMs: number;
	readonly plotFile: string | null;
};

const product = 'product';
const fractionDigits = 4;

const parseNames = <Name extends string>(kind: string, text: string, known: readonly Name[]): Name[] => text.split(',').map(name => {
	const found = known.find(knownName => knownName === name);
	if (found === undefined) {
		throw new Error(`unknown ${kind} "${name}": expected one of ${known.join(', ')}`);
	}

	return found;
});

/** Like `parseNames`, but returns no names for an empty text. */
const parseOptionalNames = (kind: string, text: string, known: readonly string[]): string[] => text === '' ? [] : parseNames(kind, text, known);

const parseCount = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name} is "${text}": expected an integer of at least 1`);
	}

	return value;
};

const parseAge = (text: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 0) {
		throw new Error(`--report-age is "${text}": expected an integer of at least 0`);
	}

	return value;
};

/** Bursts of one kind exist for the workload `ranks` only. */
const defaultScenarios = scenarioNames.filter(name => !name.startsWith('burst-'));

const resolveOptions = (flags: readonly string[]): Options => {
	const {values} = parseArgs({
		args: [...flags], options: {
			scenario: {type: 'string', default: defaultScenarios.join(',')}, seeds: {type: 'string', default: '4'}, policy: {type: 'string', default: Object.keys(baselines).join(',')},
			without: {type: 'string', default: Object.keys(ablations).join(',')}, engines: {type: 'string', default: '36'}, entries: {type: 'string', default: '19'},
			profile: {type: 'string', default: 'batch8'}, work: {type: 'string', default: 'drafts'}, plot: {type: 'string'},
			'report-age': {type: 'string', default: '0'},
		},
	});
	return {
		scenarios: parseNames('scenario', values.scenario, scenarioNames), seeds: parseCount('seeds', values.seeds), engineCount: parseCount('engines', values.engines),
		entryCount: parseCount('entries', values.entries),
		policies: [product, ...parseOptionalNames('policy', values.policy, Object.keys(baselines)), ...parseOptionalNames('mechanism', values.without, Object.keys(ablations))],
		profile: parseNames('profile', values.profile, profileNames)[0]!, work: parseNames('work', values.work, workloadNames)[0]!, plotFile: values.plot ?? null,
		reportAgeMs: parseAge(values['report-age']),
	};
};

/** Mean over the seeds and its standard error. */
type Figure = readonly [mean: number, error: number];

const figureOf = (values: readonly number[]): Figure => {
	const error = values.length < 2 ? 0 : standardDeviation([...values]) / Math.sqrt(values.length - 1);
	return [Number(mean([...values]).toFixed(fractionDigits)), Number(error.toFixed(fractionDigits))];
};

const figuresOf = (results: readonly Result[]): Record<string, Figure> => Object.fromEntries(Object.keys(results[0]!)
	.map(field => [field, figureOf(results.map(result => result[field as keyof Result]))]));

/** Returns the difference to the product's own policy, seed by seed; negative if the product is better. */
const differenceOf = (results: readonly Result[], baseline: readonly Result[]): Record<string, Figure> => Object.fromEntries((['worth', 'nines', 'inTime', 'refused'] as const)
	.map(field => [field, figureOf(results.map((result, index) => result[field] - baseline[index]![field]))]));

/** Requests by kind and outcome, over all seeds; `admitted` are those that were not refused for good. */
const sumKinds = (plays: readonly PlayDone[]): Record<string, unknown> => Object.fromEntries(Object.keys(plays[0]!.byKind).map(kind => {
	const sum = (field: keyof Counts): number => plays.reduce((total, {byKind}) => total + byKind[kind]![field], 0);
	return [kind, {
		asked: sum('asked'), admitted: sum('asked') - sum('refused'), refused: sum('refused'), inTime: sum('inTime'),
	}];
}));

const sumSeconds = (plays: readonly PlayDone[]): Counts[] => plays[0]!.bySecond.map((_, second) => {
	const sum = (field: keyof Counts): number => plays.reduce((total, {bySecond}) => total + bySecond[second]![field], 0);
	return {
		asked: sum('asked'), inTime: sum('inTime'), late: sum('late'), refused: sum('refused'), lost: sum('lost'),
	};
});

/**
 * Simulates scenarios of queueing, refusing and placing requests in virtual time with
 * the product's policy, with simpler policies, and with each mechanism of the product
 * switched off in turn.
 */
export const measurePlacement = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {scenarios, policies, seeds, engineCount, entryCount, profile, work, reportAgeMs, plotFile} = resolveOptions(flags);
	const jobs = scenarios.flatMap(scenario => policies.flatMap(policy => Array.from({length: seeds}, (_, index): PlayJob => ({
		scenario, policy, seed: index + 1, engineCount, entryCount, profile, work, reportAgeMs,
	}))));
	const plays = await playAll(jobs);
	const playsOf = (scenario: ScenarioName, policy: string): PlayDone[] => plays.filter(({job}) => job.scenario === scenario && job.policy === policy);
	const resultsOf = (scenario: ScenarioName, policy: string): Result[] => playsOf(scenario, policy).map(({result}) => result);
	const kindsOf = (scenario: ScenarioName, policy: string): Record<string, unknown> => sumKinds(playsOf(scenario, policy));
	const differencesOf = (names: readonly string[]): Record<string, unknown> => Object.fromEntries(names.filter(name => policies.includes(name))
		.map(name => [name, Object.fromEntries(scenarios.map(scenario => [scenario, differenceOf(resultsOf(scenario, name), resultsOf(scenario, product))]))]));
	if (plotFile !== null) {
		await writeFile(plotFile, plotSeconds(scenarios[0]!, sumSeconds(playsOf(scenarios[0]!, product))));
	}

	return {
		bench: 'placement', seeds, engineCount, entryCount, profile, work, reportAgeMs,
		scenarios: Object.fromEntries(scenarios.map(scenario => [scenario, {
			...figuresOf(resultsOf(scenario, product)), upperBound: upperBound(resolveScenario(scenario, {
				engineCount, entryCount, profile, work,
			})),
		}])),
		byKind: Object.fromEntries(scenarios.map(scenario => [scenario, {
			product: kindsOf(scenario, product), ...(policies.includes('priorities') && {withoutPriorities: kindsOf(scenario, 'priorities')}),
		}])),
		baselines: differencesOf(Object.keys(baselines)), ablations: differencesOf(Object.keys(ablations)),
	};
};
