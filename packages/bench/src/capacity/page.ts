import {slopeDefinitions, slopeNames, type SlopeName} from './definitions.js';
import type {Estimate} from './estimate.js';
import {limits} from './letter.js';
import type {IdleMemory} from './measure-host.js';
import {
	brokenAt, engineTokenMs, type Times, type TokenRow,
} from './measure-tokens.js';
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

const times = ({p50Ms, p95Ms, p99Ms}: Times): string => [p50Ms, p95Ms, p99Ms].map(value => digits(value)).join(' / ');

/** Times as p50 / p95 / p99. */
export const tokenTable = (rows: readonly TokenRow[]): string => table(
	['times a node\'s share', 'tokens/s', 'failed', 'first token direct, ms', 'through', 'added at p95', 'between tokens direct, ms', 'through', 'entry, % of a core'],
	rows.map(({multiple, entryPercent, direct, through}) => [
		digits(multiple),
		digits(through.tokensPerSecond),
		String(through.failed + direct.failed),
		times(direct.firstToken),
		times(through.firstToken),
		digits(through.firstToken.p95Ms - direct.firstToken.p95Ms),
		times(direct.gap),
		times(through.gap),
		digits(entryPercent),
	]),
);

/** Table, and at which multiple the letter's bound between tokens is missed. */
export const tokenSection = (rows: readonly TokenRow[]): string => {
	const broken = brokenAt(rows);
	const verdict = broken === null ? `holds up to ${digits(rows.at(-1)!.multiple)} times a node's share, the most that was measured` : `is missed at ${digits(broken)} times a node's share`;
	return `${tokenTable(rows)}\n\nThe bound of ${limits.tokenGapMs} ms between tokens for 95 in 100, with an engine that takes ${engineTokenMs} ms, ${verdict}.`;
};

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
