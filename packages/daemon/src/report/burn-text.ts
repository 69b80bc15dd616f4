import type {BurnReport, BurnRow, ObjectiveBurn} from '@bitternpaddle/coordination';

/** Formats a rate for display: two decimals below 100, none from there on. */
export const formatRate = (rate: number): string => rate >= 100 ? String(Math.round(rate)) : rate.toFixed(2);

export const formatPercent = (percent: number): string => `${percent.toFixed(Math.abs(percent) >= 100 ? 0 : 1)}%`;

export const objectiveText = ({objective: {answeredWholePercent, firstTokenPercent, firstTokenMs}}: BurnRow, name: 'answeredWhole' | 'firstToken'): string => name === 'answeredWhole'
	? `${answeredWholePercent}% whole`
	: `${firstTokenPercent}% within ${firstTokenMs} ms`;

const columns = ['service', 'team', 'objective', '5m', '1h', '6h', '3d', 'bad of total (3d)', 'budget left', 'alert'];

const cellsOf = (row: BurnRow, name: 'answeredWhole' | 'firstToken'): string[] => {
	const burn: ObjectiveBurn = row[name];
	const {bad, total} = burn.rates.at(-1)!;
	return [
		row.serviceId,
		row.teamId ?? '(all)',
		objectiveText(row, name),
		...burn.rates.map(({rate}) => formatRate(rate)),
		`${bad}/${total}`,
		formatPercent(burn.budgetLeftPercent),
		burn.alert === 'none' ? '-' : burn.alert,
	];
};

/** Renders the report as a text table; a rate of 1 spends the three-day budget in exactly three days. */
export const renderBurnText = ({nowMs, heardEntries, missingEntries, rows}: BurnReport): string => {
	const lines = [columns, ...rows.flatMap(row => [cellsOf(row, 'answeredWhole'), cellsOf(row, 'firstToken')])];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
	const table = lines.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd());
	const missing = missingEntries.length === 0 ? '' : `; NOT HEARD, so not counted: ${missingEntries.join(', ')}`;
	return [
		`Burn of service levels at ${new Date(nowMs).toISOString()}, from ${heardEntries.join(', ')}${missing}`,
		...(rows.length === 0 ? ['No request has ended yet.'] : table),
		'',
	].join('\n');
};
