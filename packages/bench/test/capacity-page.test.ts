import {readFile} from 'node:fs/promises';
import path from 'node:path';
import t from 'tap';
import {
	estimateAll, fitSlope, replaceSection, slopeDefinitions, slopeNames, type Slopes,
} from '@bitternpaddle/bench/capacity';

const readPage = async (): Promise<string> => readFile(path.resolve('docs/CAPACITY.md'), 'utf8');

const sectionOf = (page: string, name: string): string => page.split(`<!-- begin ${name} -->`)[1]?.split(`<!-- end ${name} -->`)[0] ?? '';

/** Returns the first cells of a table's rows, without its header. */
const firstCells = (section: string): string[] => section
	.split('\n')
	.filter(line => line.startsWith('| '))
	.slice(2)
	.map(line => line.split('|')[1]!.trim());

// Guards against a page that quotes a slope which the benchmark no longer measures, or
// omits one that it measures: its figures could no longer be regenerated, and nobody
// would notice. The names must be the same, in the same order.
t.test('the page quotes exactly the slopes that the benchmark prints', async t => {
	const section = sectionOf(await readPage(), 'slopes');
	t.same(firstCells(section), slopeNames);
});

t.test('the page lists every estimate in order', async t => {
	const slope = fitSlope([1, 2, 3, 4].map(x => ({x, y: x})));
	const estimates = estimateAll(Object.fromEntries(slopeNames.map(name => [name, slope])) as Slopes);
	const rows = sectionOf(await readPage(), 'estimates')
		.split('\n')
		.filter(line => line.startsWith('| '))
		.slice(2)
		.map(line => line.split('|').slice(1, 4).map(cell => cell.trim()));
	t.same(rows, estimates.map(({role, what, unit}) => [role, what, unit]));
});

// Guards against text that quotes a slope which no longer exists.
t.test('every slope named in the text is measured', async t => {
	const quotedNames = new Set([...(await readPage()).matchAll(/`((?:control|host|entry|agent|swarm)\.\w+\.\w+)`/gv)].map(found => found[1]!));
	t.same([...quotedNames].filter(name => !(name in slopeDefinitions)), []);
});

t.test('fitSlope() fits a line through known points', async t => {
	const exact = fitSlope([{x: 0, y: 3}, {x: 1, y: 5}, {x: 2, y: 7}, {x: 3, y: 9}]);
	t.match(exact, {
		slope: 2, intercept: 3, standardError: 0, rSquared: 1,
	});
	// Computed by hand: mean x 1.5, mean y 2.5; Sxx 5, Sxy 4; sum of squared residuals 1.8.
	const scattered = fitSlope([{x: 0, y: 1}, {x: 1, y: 3}, {x: 2, y: 2}, {x: 3, y: 4}]);
	t.ok(Math.abs(scattered.slope - 0.8) < 1e-9);
	t.ok(Math.abs(scattered.standardError - Math.sqrt(1.8 / 2 / 5)) < 1e-9);
	t.throws(() => fitSlope([{x: 0, y: 1}, {x: 1, y: 3}, {x: 2, y: 2}]), /needs 4/v);
});

t.test('replaceSection() replaces a generated section and throws if it is missing', async t => {
	const page = 'a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n';
	t.equal(replaceSection(page, 'x', 'new'), 'a\n<!-- begin x -->\n\nnew\n\n<!-- end x -->\nb\n');
	t.throws(() => replaceSection(page, 'y', 'new'), /no section "y"/v);
});
