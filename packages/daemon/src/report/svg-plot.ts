/** One series of a plot; `null` leaves a gap. */
export type PlotSeries
	= | {readonly type: 'bars'; readonly name: string; readonly className: string; readonly values: ReadonlyArray<number | null>}
		| {readonly type: 'line'; readonly name: string; readonly className: string; readonly values: ReadonlyArray<number | null>};

export type PlotOptions = {
	readonly title: string;
	/** What the values are, as the axis and tooltips say it. */
	readonly formatValue: (value: number) => string;
	/** Left edge of each value's slot; all slots are equally long. */
	readonly startsMs: readonly number[];
	readonly stepMs: number;
	readonly series: readonly PlotSeries[];
	/** A bound to draw across, such as the objective. */
	readonly bound: {readonly value: number; readonly name: string} | null;
	/** The axis reaches at least this far. */
	readonly leastMaximum: number;
};

const width = 420;
const height = 190;
const margin = {
	left: 52, right: 12, top: 12, bottom: 30,
} as const;
const innerWidth = width - margin.left - margin.right;
const innerHeight = height - margin.top - margin.bottom;

export const escapeHtml = (text: string): string => text
	.replaceAll('&', '&amp;')
	.replaceAll('<', '&lt;')
	.replaceAll('>', '&gt;')
	.replaceAll('"', '&quot;');

type Attributes = Readonly<Record<string, string | number>>;

/** One SVG element; numbers are written with one decimal. */
const element = (name: string, attributes: Attributes, content = ''): string => {
	const written = Object.entries(attributes).map(([key, value]) => ` ${key}="${typeof value === 'number' ? value.toFixed(1) : escapeHtml(value)}"`);
	return `<${name}${written.join('')}>${content}</${name}>`;
};

const horizontal = (className: string, y: number): string => element('line', {
	class: className, x1: margin.left, x2: width - margin.right, y1: y, y2: y,
});

/** A round step (1, 2 or 5 times a power of ten) that gives about four ticks. */
const tickStep = (span: number): number => {
	const rough = span / 4;
	const power = 10 ** Math.floor(Math.log10(rough));
	const factor = [1, 2, 5, 10].find(candidate => candidate * power >= rough) ?? 10;
	return factor * power;
};

type Scale = {readonly minimum: number; readonly maximum: number; readonly step: number; toY(value: number): number};

const createScale = ({series, bound, leastMaximum}: PlotOptions): Scale => {
	const values = [...series.flatMap(({values}) => values.filter(value => value !== null)), bound?.value ?? 0, leastMaximum];
	const lowest = Math.min(0, ...values);
	const step = tickStep(Math.max(...values) - lowest);
	const minimum = Math.floor(lowest / step) * step;
	const maximum = Math.ceil(Math.max(...values) / step) * step;
	return {
		minimum, maximum, step,
		toY: value => margin.top + (innerHeight * (1 - ((value - minimum) / (maximum - minimum)))),
	};
};

const xOf = (options: PlotOptions, slot: number): number => margin.left + (innerWidth * slot / options.startsMs.length);

const valueAxis = (scale: Scale, formatValue: PlotOptions['formatValue']): string => {
	const ticks: string[] = [];
	for (let tick = 0; tick <= Math.round((scale.maximum - scale.minimum) / scale.step); tick++) {
		const value = scale.minimum + (tick * scale.step);
		const label = element('text', {
			class: 'tick', x: margin.left - 6, y: scale.toY(value), dy: '0.32em', 'text-anchor': 'end',
		}, escapeHtml(formatValue(value)));
		ticks.push(horizontal('grid', scale.toY(value)), label);
	}

	return ticks.join('');
};

const dayFormat = new Intl.DateTimeFormat('en-GB', {day: 'numeric', month: 'short', timeZone: 'UTC'});
const halfDayMs = 12 * 3_600_000;
const dayMs = 2 * halfDayMs;

/** A tick at every noon and midnight (UTC); midnight carries the day. */
const timeAxis = (options: PlotOptions): string => options.startsMs
	.map((startMs, slot) => {
		if (startMs % halfDayMs !== 0) {
			return '';
		}

		const x = xOf(options, slot);
		const bottom = margin.top + innerHeight;
		const mark = element('line', {
			class: 'grid', x1: x, x2: x, y1: bottom, y2: bottom + 4,
		});
		const label = element('text', {
			class: 'tick', x, y: height - 10, 'text-anchor': 'middle',
		}, startMs % dayMs === 0 ? dayFormat.format(startMs) : '12:00');
		return mark + label;
	})
	.join('');

const timeOf = (startMs: number): string => `${new Date(startMs).toISOString().slice(0, 16).replace('T', ' ')} UTC`;

const tooltip = (options: PlotOptions, series: PlotSeries, slot: number, value: number): string => {
	const text = `${timeOf(options.startsMs[slot]!)}: ${series.name} ${options.formatValue(value)}`;
	return element('title', {}, escapeHtml(text));
};

const drawBars = (options: PlotOptions, scale: Scale, series: PlotSeries): string => {
	const barWidth = Math.max(1, (innerWidth / options.startsMs.length) - 1);
	return series.values
		.map((value, slot) => {
			if (value === null) {
				return '';
			}

			const y = Math.min(scale.toY(value), scale.toY(0) - (value > 0 ? 1 : 0));
			const isOver = options.bound !== null && value > options.bound.value;
			return element('rect', {
				class: `${series.className}${isOver ? ' over' : ''}`, x: xOf(options, slot), y, width: barWidth, height: scale.toY(0) - y,
			}, tooltip(options, series, slot, value));
		})
		.join('');
};

const drawLine = (options: PlotOptions, scale: Scale, series: PlotSeries): string => {
	const parts: string[] = [];
	const dots: string[] = [];
	let isDown = false;
	for (const [slot, value] of series.values.entries()) {
		if (value === null) {
			isDown = false;
			continue;
		}

		const x = xOf(options, slot + 0.5);
		const y = scale.toY(value);
		parts.push(`${isDown ? 'L' : 'M'}${x.toFixed(1)} ${y.toFixed(1)}`);
		isDown = true;
		dots.push(element('circle', {
			class: series.className, cx: x, cy: y, r: 1.6,
		}, tooltip(options, series, slot, value)));
	}

	return element('path', {class: series.className, d: parts.join(' ')}) + dots.join('');
};

const legendEntry = (className: string, name: string): string => `<span class="${className}"></span>${escapeHtml(name)}`;

/** Names stand under the plot, where no bar or line runs through them. */
const legend = ({series, bound}: PlotOptions): string => {
	const entries = [
		...(series.length < 2 ? [] : series.map(({name, className}) => legendEntry(className, name))),
		...(bound === null ? [] : [legendEntry('bound', bound.name)]),
	];
	return `<p class="legend">${entries.join(' ')}</p>`;
};

/** One plot as a figure with an SVG in it; colours come from the page's style sheet. */
export const drawPlot = (options: PlotOptions): string => {
	const scale = createScale(options);
	const drawn = options.series.map(series => series.type === 'bars' ? drawBars(options, scale, series) : drawLine(options, scale, series)).join('');
	const bound = options.bound === null ? '' : horizontal('bound', scale.toY(options.bound.value));
	const content = [valueAxis(scale, options.formatValue), timeAxis(options), drawn, bound].join('');
	const svg = element('svg', {viewBox: `0 0 ${width} ${height}`, role: 'img', 'aria-label': options.title}, content);
	return `<figure><figcaption>${escapeHtml(options.title)}</figcaption>\n${svg}\n${legend(options)}</figure>`;
};
