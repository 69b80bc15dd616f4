import {writeFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {
	profileNames, resolveScenario, scenarioNames, upperBound, workNames, type Counts, type ProfileName, type Result, type ScenarioName, type WorkName,
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
	readonly work: WorkName;
	readonly plotFile: string | null;
};

const product = 'product';
const digits = 4;

const among = <Name extends string>(kind: string, text: string, known: readonly Name[]): Name[] => text.split(',').map(name => {
	const found = known.find(each => each === name);
	if (found === undefined) {
		throw new Error(`unknown ${kind} "${name}": expected one of ${known.join(', ')}`);
	}

	return found;
});

/** As `among`; nothing where no name is given. */
const someOf = (kind: string, text: string, known: readonly string[]): string[] => text === '' ? [] : among(kind, text, known);

const count = (name: string, text: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name} is "${text}": expected a whole number of 1 or more`);
	}

	return value;
};

const resolveOptions = (flags: readonly string[]): Options => {
	const {values} = parseArgs({
		args: [...flags], options: {
			scenario: {type: 'string', default: scenarioNames.join(',')}, seeds: {type: 'string', default: '4'}, policy: {type: 'string', default: Object.keys(baselines).join(',')},
			without: {type: 'string', default: Object.keys(ablations).join(',')}, engines: {type: 'string', default: '36'}, entries: {type: 'string', default: '19'},
			profile: {type: 'string', default: 'batch8'}, work: {type: 'string', default: 'drafts'}, plot: {type: 'string'},
		},
	});
	return {
		scenarios: among('scenario', values.scenario, scenarioNames), seeds: count('seeds', values.seeds), engineCount: count('engines', values.engines), entryCount: count('entries', values.entries),
		policies: [product, ...someOf('policy', values.policy, Object.keys(baselines)), ...someOf('mechanism', values.without, Object.keys(ablations))],
		profile: among('profile', values.profile, profileNames)[0]!, work: among('work', values.work, workNames)[0]!, plotFile: values.plot ?? null,
	};
};

/** Mean over the seeds, and its standard error. */
type Figure = readonly [mean: number, error: number];

const figureOf = (values: readonly number[]): Figure => {
	const error = values.length < 2 ? 0 : standardDeviation([...values]) / Math.sqrt(values.length - 1);
	return [Number(mean([...values]).toFixed(digits)), Number(error.toFixed(digits))];
};

const figuresOf = (results: readonly Result[]): Record<string, Figure> => Object.fromEntries(Object.keys(results[0]!)
	.map(field => [field, figureOf(results.map(result => result[field as keyof Result]))]));

/** Seed by seed against the product: negative if the product is better. */
const differenceOf = (results: readonly Result[], own: readonly Result[]): Record<string, Figure> => Object.fromEntries((['worth', 'nines', 'inTime', 'refused'] as const)
	.map(field => [field, figureOf(results.map((result, index) => result[field] - own[index]![field]))]));

const sumSeconds = (plays: readonly PlayDone[]): Counts[] => plays[0]!.bySecond.map((_, second) => {
	const sum = (field: keyof Counts): number => plays.reduce((total, {bySecond}) => total + bySecond[second]![field], 0);
	return {
		asked: sum('asked'), inTime: sum('inTime'), late: sum('late'), refused: sum('refused'), lost: sum('lost'),
	};
});

/**
 * Plays scenarios of queueing, refusing and placing in virtual time under the
 * product's policy, under simpler ones, and with one mechanism after the other
 * switched off.
 */
export const measurePlacement = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {scenarios, policies, seeds, engineCount, entryCount, profile, work, plotFile} = resolveOptions(flags);
	const jobs = scenarios.flatMap(scenario => policies.flatMap(policy => Array.from({length: seeds}, (_, index): PlayJob => ({
		scenario, policy, seed: index + 1, engineCount, entryCount, profile, work,
	}))));
	const plays = await playAll(jobs);
	const of = (scenario: ScenarioName, policy: string): PlayDone[] => plays.filter(({job}) => job.scenario === scenario && job.policy === policy);
	const resultsOf = (scenario: ScenarioName, policy: string): Result[] => of(scenario, policy).map(({result}) => result);
	const against = (names: readonly string[]): Record<string, unknown> => Object.fromEntries(names.filter(name => policies.includes(name))
		.map(name => [name, Object.fromEntries(scenarios.map(scenario => [scenario, differenceOf(resultsOf(scenario, name), resultsOf(scenario, product))]))]));
	if (plotFile !== null) {
		await writeFile(plotFile, plotSeconds(scenarios[0]!, sumSeconds(of(scenarios[0]!, product))));
	}

	return {
		bench: 'placement', seeds, engineCount, entryCount, profile, work,
		scenarios: Object.fromEntries(scenarios.map(scenario => [scenario, {
			...figuresOf(resultsOf(scenario, product)), upperBound: upperBound(resolveScenario(scenario, {
				engineCount, entryCount, profile, work,
			})),
		}])),
		baselines: against(Object.keys(baselines)), ablations: against(Object.keys(ablations)),
	};
};
