import type {Counts} from '@bitternpaddle/model';

const width = 900;
const height = 320;
const margin = 40;
const parts = [
	{field: 'inTime', fill: '#3a7d44', label: 'in time'},
	{field: 'late', fill: '#e0a030', label: 'late'},
	{field: 'refused', fill: '#b03a3a', label: 'finally refused'},
	{field: 'lost', fill: '#555555', label: 'lost'},
] as const;

/** Returns an SVG with the outcomes of the callers of each second as stacked bars. */
export const plotSeconds = (title: string, seconds: readonly Counts[]): string => {
	const maxCallers = Math.max(1, ...seconds.map(({asked}) => asked));
	const barWidth = (width - (2 * margin)) / seconds.length;
	const scale = (height - (2 * margin)) / maxCallers;
	const bars = seconds.flatMap((counts, index) => {
		let top = height - margin;
		return parts.map(({field, fill}) => {
			const size = counts[field] * scale;
			top -= size;
			return `<rect x="${(margin + (index * barWidth)).toFixed(1)}" y="${top.toFixed(1)}" width="${(barWidth - 1).toFixed(1)}" height="${size.toFixed(1)}" fill="${fill}"/>`;
		});
	});
	const legend = parts.map(({fill, label}, index) => {
		const left = margin + (index * 150);
		return `<rect x="${left}" y="${height - 22}" width="12" height="12" fill="${fill}"/><text x="${left + 18}" y="${height - 12}">${label}</text>`;
	});
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">
<text x="${margin}" y="20">${title}: callers per second of arrival, maximum ${maxCallers.toFixed(0)}</text>
${[...bars, ...legend].join('\n')}
</svg>
`;
};
