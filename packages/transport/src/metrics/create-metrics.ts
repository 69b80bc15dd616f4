import {createRequire} from 'node:module';
import type * as HotShots from 'hot-shots';
import {ignore} from '../utils.js';

export type Metrics = {
	increment(name: string, tags?: Record<string, string>): void;
	timing(name: string, durationMs: number, tags?: Record<string, string>): void;
	gauge(name: string, value: number, tags?: Record<string, string>): void;
	close(): Promise<void>;
};

const require = createRequire(import.meta.url);

const silentMetrics: Metrics = {
	increment: ignore,
	timing: ignore,
	gauge: ignore,
	close: async () => undefined,
};

export type CreateMetricsOptions = {
	/** `ip:port` of a StatsD server; without it no metrics are sent. */
	readonly address?: string;
	readonly labels?: Record<string, string>;
};

export const createMetrics = ({address, labels = {}}: CreateMetricsOptions = {}): Metrics => {
	if (address === undefined) {
		return silentMetrics;
	}

	// Loaded only if metrics are sent, so that a process that sends none does not keep the library in memory.
	const {StatsD} = require('hot-shots') as typeof HotShots;
	const [host, port] = address.split(':');
	const client = new StatsD({
		host, port: Number(port), prefix: 'bitternpaddle.', globalTags: labels,
		// Metrics are best effort: an unreachable StatsD server must not stop the process.
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
