/** One series of a plot; `null` leaves a gap. */
export type PlotSeries
	= | {readonly type: 'bars'; readonly name: string; readonly className: string; readonly values: ReadonlyArray<number | null>}
		| {readonly type: 'line'; readonly name: string; readonly className: string; readonly values: ReadonlyArray<number | null>};

export type PlotOptions = {
	readonly title: string;
	/** Formats a value for the axis and the tooltips. */
	readonly formatValue: (value: number) => string;
	/** Start of the time slot of each value; all slots have the same length. */
	readonly startsMs: readonly number[];
	readonly stepMs: number;
	readonly series: readonly PlotSeries[];
	/** Threshold to draw as a horizontal line, such as the objective. */
	readonly threshold: {readonly value: number; readonly name: string} | null;
	/** The maximum of the value axis is at least this value. */
	readonly minAxisMaximum: number;
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

/** Renders one SVG element; numbers are formatted with one decimal. */
const element = (name: string, attributes: Attributes, content = ''): string => {
	const formattedAttributes = Object.entries(attributes).map(([key, value]) => ` ${key}="${typeof value === 'number' ? value.toFixed(1) : escapeHtml(value)}"`);
	return `<${name}${formattedAttributes.join('')}>${content}</${name}>`;
};

const horizontal = (className: string, y: number): string => element('line', {
	class: className, x1: margin.left, x2: width - margin.right, y1: y, y2: y,
});

/** A round step (1, 2 or 5 times a power of ten) that gives about four ticks. */
const tickStep = (span: number): number => {
	const idealStep = span / 4;
	const power = 10 ** Math.floor(Math.log10(idealStep));
	const factor = [1, 2, 5, 10].find(candidate => candidate * power >= idealStep) ?? 10;
	return factor * power;
};

type Scale = {readonly minimum: number; readonly maximum: number; readonly step: number; toY(value: number): number};

const createScale = ({series, threshold, minAxisMaximum}: PlotOptions): Scale => {
	const values = [...series.flatMap(({values}) => values.filter(value => value !== null)), threshold?.value ?? 0, minAxisMaximum];
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

/** Renders a tick at every noon and midnight (UTC); the label of midnight is the date. */
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
			const exceedsThreshold = options.threshold !== null && value > options.threshold.value;
			return element('rect', {
				class: `${series.className}${exceedsThreshold ? ' over' : ''}`, x: xOf(options, slot), y, width: barWidth, height: scale.toY(0) - y,
			}, tooltip(options, series, slot, value));
		})
		.join('');
};

const drawLine = (options: PlotOptions, scale: Scale, series: PlotSeries): string => {
	const parts: string[] = [];
	const dots: string[] = [];
	let isPenDown = false;
	for (const [slot, value] of series.values.entries()) {
		if (value === null) {
			isPenDown = false;
			continue;
		}

		const x = xOf(options, slot + 0.5);
		const y = scale.toY(value);
		parts.push(`${isPenDown ? 'L' : 'M'}${x.toFixed(1)} ${y.toFixed(1)}`);
		isPenDown = true;
		dots.push(element('circle', {
			class: series.className, cx: x, cy: y, r: 1.6,
		}, tooltip(options, series, slot, value)));
	}

	return element('path', {class: series.className, d: parts.join(' ')}) + dots.join('');
};

const legendEntry = (className: string, name: string): string => `<span class="${className}"></span>${escapeHtml(name)}`;

/** Renders the names below the plot, where no bar or line crosses them. */
const legend = ({series, threshold}: PlotOptions): string => {
	const entries = [
		...(series.length < 2 ? [] : series.map(({name, className}) => legendEntry(className, name))),
		...(threshold === null ? [] : [legendEntry('bound', threshold.name)]),
	];
	return `<p class="legend">${entries.join(' ')}</p>`;
};

/** Renders one plot as a figure with an SVG; its colours are defined in the style sheet of the page. */
export const drawPlot = (options: PlotOptions): string => {
	const scale = createScale(options);
	const seriesContent = options.series.map(series => series.type === 'bars' ? drawBars(options, scale, series) : drawLine(options, scale, series)).join('');
	const thresholdLine = options.threshold === null ? '' : horizontal('bound', scale.toY(options.threshold.value));
	const content = [valueAxis(scale, options.formatValue), timeAxis(options), seriesContent, thresholdLine].join('');
	const svg = element('svg', {viewBox: `0 0 ${width} ${height}`, role: 'img', 'aria-label': options.title}, content);
	return `<figure><figcaption>${escapeHtml(options.title)}</figcaption>\n${svg}\n${legend(options)}</figure>`;
};
