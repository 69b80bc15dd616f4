import {
	burnRateOf, floorTo, hourMs, retainedHours, oldestStartMs, type BurnPoint, type BurnReport, type BurnRow, type ObjectiveBurn,
} from '@bitternpaddle/coordination';
import {burnPageStyle} from './burn-page-style.js';
import {formatPercent, formatRate, objectiveText} from './burn-text.js';
import {drawPlot, escapeHtml} from './svg-plot.js';

type ObjectiveName = 'answeredWhole' | 'firstToken';
const objectiveNames: readonly ObjectiveName[] = ['answeredWhole', 'firstToken'];

const hotRate = 6;
const lowBudgetPercent = 25;

const rateCell = (rate: number): string => {
	const heatClass = rate > hotRate ? 'hot' : (rate > 1 ? 'warm' : '');
	return `<td class="${heatClass}">${formatRate(rate)}</td>`;
};

const budgetCell = ({budgetLeftPercent}: ObjectiveBurn): string => {
	const state = budgetLeftPercent <= 0 ? 'spent' : (budgetLeftPercent < lowBudgetPercent ? 'low' : '');
	const shown = Math.max(0, Math.min(100, budgetLeftPercent));
	return `<td><span class="budget ${state}"><i style="width:${shown.toFixed(0)}%"></i></span><span class="left">${formatPercent(budgetLeftPercent)}</span></td>`;
};

const alertText = {none: 'ok', ticket: 'ticket', page: 'page'} as const;

const tableRow = (row: BurnRow, name: ObjectiveName, label: string): string => {
	const burn = row[name];
	const {bad, total} = burn.rates.at(-1)!;
	const isFirst = name === objectiveNames[0];
	return `<tr${isFirst ? ' class="first"' : ''}><td class="text">${isFirst ? escapeHtml(label) : ''}</td><td class="text">${objectiveText(row, name)}</td>`
		+ `${burn.rates.map(({rate}) => rateCell(rate)).join('')}<td>${bad.toLocaleString('en')} of ${total.toLocaleString('en')}</td>`
		+ `${budgetCell(burn)}<td><span class="pill ${burn.alert}">${alertText[burn.alert]}</span></td></tr>`;
};

const table = (rows: readonly BurnRow[], firstColumn: string, labelOf: (row: BurnRow) => string): string => `<table><thead><tr><th class="text">${firstColumn}</th><th class="text">objective</th>`
	+ '<th>burn 5 m</th><th>1 h</th><th>6 h</th><th>3 d</th><th>bad in 3 d</th><th>budget left</th><th>alert</th></tr></thead><tbody>'
	+ `${rows.flatMap(row => objectiveNames.map(name => tableRow(row, name, labelOf(row)))).join('\n')}</tbody></table>`;

/** Every hour of the three days, with its point if any request was counted. */
const hourlyPoints = (row: BurnRow, nowMs: number): Array<{startMs: number; point: BurnPoint | undefined}> => {
	const points = new Map(row.points.map(point => [floorTo(point.startMs, hourMs), point]));
	const oldestMs = oldestStartMs(nowMs, hourMs, retainedHours);
	return Array.from({length: retainedHours}, (_, index) => {
		const startMs = oldestMs + (index * hourMs);
		return {startMs, point: points.get(startMs)};
	});
};

/** Percentage of the budget that remains after each hour; the last value equals the one in the report. */
const budgetOverTime = (row: BurnRow, hours: ReturnType<typeof hourlyPoints>, name: ObjectiveName): Array<number | null> => {
	const {total, bad: totalBad} = row[name].rates.at(-1)!;
	const percent = name === 'answeredWhole' ? row.objective.answeredWholePercent : row.objective.firstTokenPercent;
	const shown = hours.reduce((sum, {point}) => sum + badCount(point, name), 0);
	// The window starts within the oldest hour; bad requests outside the plot count as spent at its start.
	let spent = totalBad - shown;
	return hours.map(({point}) => {
		spent += badCount(point, name);
		return total === 0 ? null : 100 * (1 - burnRateOf(spent, total, percent));
	});
};

const badCount = (point: BurnPoint | undefined, name: ObjectiveName): number => {
	if (point === undefined) {
		return 0;
	}

	return name === 'answeredWhole' ? point.counts.notWhole : point.counts.slow;
};

const formatMs = (value: number): string => value >= 1000 ? `${(value / 1000).toLocaleString('en', {maximumFractionDigits: 2})} s` : `${Math.round(value)} ms`;

const plots = (row: BurnRow, nowMs: number): string => {
	const hours = hourlyPoints(row, nowMs);
	const shared = {startsMs: hours.map(({startMs}) => startMs), stepMs: hourMs};
	return `<div class="plots">${[
		drawPlot({
			...shared, title: 'Burn rate by hour: incomplete answers', formatValue: value => String(Math.round(value * 100) / 100), minAxisMaximum: 2,
			threshold: {value: 1, name: 'rate that spends the budget in exactly 3 days'},
			series: [{
				type: 'bars', name: 'burn rate', className: 'bar',
				values: hours.map(({point}) => point === undefined ? null : burnRateOf(point.counts.notWhole, point.counts.total, row.objective.answeredWholePercent)),
			}],
		}),
		drawPlot({
			...shared, title: 'Remaining budget over three days', formatValue: value => `${Math.round(value)}%`, minAxisMaximum: 100, threshold: null,
			series: [
				{
					type: 'line', name: objectiveText(row, 'answeredWhole'), className: 'first', values: budgetOverTime(row, hours, 'answeredWhole'),
				},
				{
					type: 'line', name: objectiveText(row, 'firstToken'), className: 'second', values: budgetOverTime(row, hours, 'firstToken'),
				},
			],
		}),
		drawPlot({
			...shared, title: 'Time to the first token', formatValue: formatMs, minAxisMaximum: row.objective.firstTokenMs * 1.2,
			threshold: {value: row.objective.firstTokenMs, name: `objective for ${row.objective.firstTokenPercent}%`},
			series: [
				{
					type: 'line', name: 'median', className: 'first', values: hours.map(({point}) => point?.firstTokenP50Ms ?? null),
				},
				{
					type: 'line', name: '95th percentile', className: 'second', values: hours.map(({point}) => point?.firstTokenP95Ms ?? null),
				},
			],
		}),
	].join('\n')}</div>`;
};

const section = (row: BurnRow, rows: readonly BurnRow[], nowMs: number): string => `<h2 id="${escapeHtml(row.serviceId)}">${escapeHtml(row.serviceId)}</h2>
${plots(row, nowMs)}
${table(rows.filter(({serviceId, teamId}) => serviceId === row.serviceId && teamId !== null), 'team', ({teamId}) => teamId!)}`;

/** Renders the report as a self-contained HTML page that loads no external resources. */
export const renderBurnHtml = ({nowMs, heardEntries, missingEntries, rows}: BurnReport): string => {
	const services = rows.filter(({teamId}) => teamId === null);
	const missing = missingEntries.length === 0 ? '' : `<p class="missing">Not heard, so not counted: ${escapeHtml(missingEntries.join(', '))}</p>`;
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>Service-level burn</title><style>${burnPageStyle}</style></head><body>
<h1>Service-level burn</h1>
<p>${new Date(nowMs).toISOString().slice(0, 19).replace('T', ' ')} UTC, counted by ${escapeHtml(heardEntries.join(', '))}.
A burn rate of 1 spends the budget of three days in exactly three days.
Page: over 14.4 in 1 h and 5 m, or over 6 in 6 h and 1 h. Ticket: over 1 in 3 d and 6 h.</p>
${missing}
${services.length === 0 ? '<p>No request has ended yet.</p>' : table(services, 'service', ({serviceId}) => serviceId)}
${services.map(row => section(row, rows, nowMs)).join('\n')}
</body></html>
`;
};
