import {StatsD} from 'hot-shots';
import {ignore} from '../utils.js';

export type Metrics = {
	increment(name: string, tags?: Record<string, string>): void;
	timing(name: string, durationMs: number, tags?: Record<string, string>): void;
	gauge(name: string, value: number, tags?: Record<string, string>): void;
	close(): Promise<void>;
};

export type CreateMetricsOptions = {
	/** `ip:port` of a StatsD listener; without it nothing is sent. */
	readonly address?: string;
	readonly labels?: Record<string, string>;
};

export const createMetrics = ({address, labels = {}}: CreateMetricsOptions = {}): Metrics => {
	const [host, port] = address === undefined ? [] : address.split(':');
	const client = new StatsD({
		host, port: port === undefined ? undefined : Number(port), prefix: 'bitternpaddle.', globalTags: labels, mock: address === undefined,
		// Metrics are best effort: a listener that is away must not stop the process.
		errorHandler: ignore,
	});
	return {
		increment(name, tags = {}) {
			client.increment(name, 1, tags);
		},
		timing(name, durationMs, tags = {}) {
			client.timing(name, durationMs, tags);
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, tags);
		},
		close: async () => new Promise(resolve => {
			client.close(() => {
				resolve();
			});
		}),
	};
};
