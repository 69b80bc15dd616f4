import {parseArgs} from 'node:util';
import {mean} from 'simple-statistics';
import {scenarioNames, type ScenarioName} from './scenarios.js';
import {simulateUneven, type Estimate, type Outcome} from './simulate.js';

const estimates: readonly Estimate[] = ['fixed', 'learned'];
const fractionDigits = 4;

const meanOutcome = (outcomes: readonly Outcome[]): Record<string, number> => Object.fromEntries((Object.keys(outcomes[0]!) as Array<keyof Outcome>)
	.map(field => [field, Number(mean(outcomes.map(outcome => outcome[field])).toFixed(fractionDigits))]));

const parseNumbers = (name: string, text: string): number[] => text.split(',').map(part => {
	const value = Number(part);
	if (!(value > 0)) {
		throw new Error(`--${name} is "${text}": expected positive numbers`);
	}

	return value;
});

const parseScenarios = (text: string): ScenarioName[] => text.split(',').map(part => {
	const found = scenarioNames.find(name => name === part);
	if (found === undefined) {
		throw new Error(`unknown scenario "${part}": expected one of ${scenarioNames.join(', ')}`);
	}

	return found;
});

/**
 * Simulates plain services on uneven endpoints in virtual time, with the estimate that
 * ignores the slowdown of endpoints and with the one that uses it; means over the seeds.
 */
export const measureUneven = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({
		args: [...flags], options: {
			scenario: {type: 'string', default: scenarioNames.join(',')}, seeds: {type: 'string', default: '4'}, rates: {type: 'string', default: '40,120,240,320'},
		},
	});
	const [seeds] = parseNumbers('seeds', values.seeds);
	const rates = parseNumbers('rates', values.rates);
	const resultsOf = (scenario: ScenarioName, perSecond: number): Record<string, unknown> => Object.fromEntries(estimates.map(estimate => [
		estimate, meanOutcome(Array.from({length: seeds!}, (_, index) => simulateUneven({
			scenario, estimate, seed: index + 1, perSecond,
		}))),
	]));
	return {
		bench: 'uneven', seeds, scenarios: Object.fromEntries(parseScenarios(values.scenario)
			.map(scenario => [scenario, Object.fromEntries(rates.map(perSecond => [perSecond, resultsOf(scenario, perSecond)]))])),
	};
};
