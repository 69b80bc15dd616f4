import {slopeDefinitions, slopeNames, type SlopeName} from './definitions.js';
import type {Estimate} from './estimate.js';
import type {IdleMemory} from './measure-host.js';
import type {Slope} from './slope.js';

const digits = (value: number): string => Number(value.toPrecision(3)).toLocaleString('en', {maximumSignificantDigits: 3});

const table = (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [head, head.map(() => '---'), ...rows]
	.map(cells => `| ${cells.join(' | ')} |`)
	.join('\n');

const slopeRow = (name: SlopeName, {points, slope, intercept, standardError, rSquared}: Slope): string[] => {
	const {per, unit} = slopeDefinitions[name];
	return [
		name,
		unit,
		per,
		digits(slope),
		digits(standardError),
		digits(intercept),
		rSquared.toFixed(3),
		`${points.length}: ${digits(points[0]!.x)} to ${digits(points.at(-1)!.x)}`,
	];
};

export const slopeTable = (slopes: Readonly<Partial<Record<SlopeName, Slope>>>): string => table(
	['slope', 'unit', 'per', 'slope', 'standard error', 'intercept', 'R²', 'points'],
	slopeNames.filter(name => name in slopes).map(name => slopeRow(name, slopes[name]!)),
);

const megabytes = (bytes: number): string => (bytes / 1024 / 1024).toFixed(1);

export const memoryTable = (memory: IdleMemory): string => table(
	['process, idle', 'resident MB', 'private MB', 'shared MB', 'private over empty Node MB'],
	Object.entries(memory).map(([name, {residentBytes, privateBytes, sharedBytes}]) => [
		name, megabytes(residentBytes), megabytes(privateBytes), megabytes(sharedBytes), megabytes(privateBytes - memory.emptyNode.privateBytes),
	]),
);

const verdictOf = ({limit, values}: Estimate): string => {
	if (limit === null) {
		return '';
	}

	const over = Object.entries(values).filter(([, value]) => value > limit);
	return over.length === 0 ? 'fits' : over.map(([reading, value]) => `**${reading}: ${(value / limit).toFixed(1)} times**`).join(', ');
};

export const estimateTable = (estimates: readonly Estimate[]): string => table(
	['role', 'what', 'unit', 'agent per host', 'agent per worker', 'limit', 'verdict', 'worked out from'],
	estimates.map(estimate => [
		estimate.role,
		estimate.what,
		estimate.unit,
		digits(estimate.values['agent per host']),
		digits(estimate.values['agent per worker']),
		estimate.limit === null ? '' : digits(estimate.limit),
		verdictOf(estimate),
		estimate.from,
	]),
);

/** Puts `content` between the markers of a generated section of the page. */
export const renewSection = (page: string, section: string, content: string): string => {
	const [begin, end] = [`<!-- begin ${section} -->`, `<!-- end ${section} -->`];
	const from = page.indexOf(begin);
	const to = page.indexOf(end);
	if (from === -1 || to < from) {
		throw new Error(`the page has no section "${section}" between its two markers`);
	}

	return `${page.slice(0, from + begin.length)}\n\n${content}\n\n${page.slice(to)}`;
};
