import type {QueryRow} from '@bitternpaddle/protocol';

/** Formats rows as a plain-text table; each column is as wide as its longest value. */
export const formatRows = (rows: readonly QueryRow[]): string => {
	if (rows.length === 0) {
		return '(none)\n';
	}

	const columns = Object.keys(rows[0]!);
	const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '-')))];
	const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]!.length)));
	return cells
		.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd())
		.join('\n') + '\n';
};
