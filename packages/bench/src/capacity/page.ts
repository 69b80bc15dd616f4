import {slopeDefinitions, slopeNames, type SlopeName} from './definitions.js';
import type {Estimate} from './estimate.js';
import {limits} from './target-deployment.js';
import type {IdleMemory} from './measure-host.js';
import {
	firstMultipleOverLimit, engineTokenMs, type Quantiles, type TokenRow,
} from './measure-tokens.js';
import type {Slope} from './slope.js';

const format = (value: number): string => Number(value.toPrecision(3)).toLocaleString('en', {maximumSignificantDigits: 3});

const table = (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [head, head.map(() => '---'), ...rows]
	.map(cells => `| ${cells.join(' | ')} |`)
	.join('\n');

const slopeRow = (name: SlopeName, {points, slope, intercept, standardError, rSquared}: Slope): string[] => {
	const {per, unit} = slopeDefinitions[name];
	return [
		name,
		unit,
		per,
		format(slope),
		format(standardError),
		format(intercept),
		rSquared.toFixed(3),
		`${points.length}: ${format(points[0]!.x)} to ${format(points.at(-1)!.x)}`,
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

	const exceeded = Object.entries(values).filter(([, value]) => value > limit);
	return exceeded.length === 0 ? 'fits' : exceeded.map(([variant, value]) => `**${variant}: ${(value / limit).toFixed(1)} times**`).join(', ');
};

export const estimateTable = (estimates: readonly Estimate[]): string => table(
	['role', 'what', 'unit', 'agent per host', 'agent per worker', 'limit', 'verdict', 'formula'],
	estimates.map(estimate => [
		estimate.role,
		estimate.what,
		estimate.unit,
		format(estimate.values['agent per host']),
		format(estimate.values['agent per worker']),
		estimate.limit === null ? '' : format(estimate.limit),
		verdictOf(estimate),
		estimate.from,
	]),
);

const formatQuantiles = ({p50Ms, p95Ms, p99Ms}: Quantiles): string => [p50Ms, p95Ms, p99Ms].map(value => format(value)).join(' / ');

/** Durations are shown as p50 / p95 / p99. */
export const tokenTable = (rows: readonly TokenRow[]): string => table(
	['times a node\'s share', 'tokens/s', 'failed', 'first token direct, ms', 'through', 'added at p95', 'between tokens direct, ms', 'through', 'entry, % of a core'],
	rows.map(({multiple, entryPercent, direct, through}) => [
		format(multiple),
		format(through.tokensPerSecond),
		String(through.failed + direct.failed),
		formatQuantiles(direct.firstToken),
		formatQuantiles(through.firstToken),
		format(through.firstToken.p95Ms - direct.firstToken.p95Ms),
		formatQuantiles(direct.gap),
		formatQuantiles(through.gap),
		format(entryPercent),
	]),
);

/** Returns the table of tokens and a sentence on the multiple at which the required limit between tokens is exceeded. */
export const tokenSection = (rows: readonly TokenRow[]): string => {
	const exceededAt = firstMultipleOverLimit(rows);
	const verdict = exceededAt === null ? `holds up to ${format(rows.at(-1)!.multiple)} times a node's share, the maximum measured` : `is exceeded at ${format(exceededAt)} times a node's share`;
	return `${tokenTable(rows)}\n\nThe limit of ${limits.tokenGapMs} ms between tokens at p95, with an engine that takes ${engineTokenMs} ms per token, ${verdict}.`;
};

/** Replaces the content between the markers of a generated section of the page. */
export const replaceSection = (page: string, section: string, content: string): string => {
	const [begin, end] = [`<!-- begin ${section} -->`, `<!-- end ${section} -->`];
	const from = page.indexOf(begin);
	const to = page.indexOf(end);
	if (from === -1 || to < from) {
		throw new Error(`the page has no section "${section}" between a begin and an end marker`);
	}

	return `${page.slice(0, from + begin.length)}\n\n${content}\n\n${page.slice(to)}`;
};
