import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics of one process, served in the Prometheus text format. */
export type GatewayMetrics = {
	/** Counts a finished request; `outcome` is the result that the caller got. */
	request(service: string, outcome: string): void;
	attempt(service: string, outcome: string): void;
	/** Counts a decision on a request to a service whose requests have several priorities. */
	allocation(service: string, priority: number, decision: 'send' | 'refuse'): void;
	/** Counts an answer that was ended before its caller had received all of it. */
	truncated(cause: string): void;
	/** Counts an answer of an endpoint that was larger than it may be, by the part that was. */
	oversized(part: string): void;
	/** Counts a limit on callers that was met. */
	limit(listener: string, limit: string): void;
	/** Records the time to the first byte of the answer sent to the caller. */
	firstByte(service: string, tookMs: number): void;
	/** Records the difference between the actual and the expected time to the first byte. */
	expectation(service: string, expectedMs: number, tookMs: number): void;
	gauge(name: string, help: string, read: () => number): void;
	count(name: string, help: string, by?: number): void;
	text(): Promise<string>;
};

/** Bucket bounds in ms, finer around the latency objectives of 100 to 500 ms. */
const latencyBucketsMs = [5, 10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2500, 5000];
const expectationErrorBucketsMs = [-1000, -400, -200, -100, -50, -20, 20, 50, 100, 200, 400, 1000];

export const createGatewayMetrics = (): GatewayMetrics => {
	const registry = new Registry();
	const registers = [registry];
	const requests = new Counter({
		name: 'bitternpaddle_requests_total', help: 'Requests by what the caller got.', labelNames: ['service', 'outcome'], registers,
	});
	const attempts = new Counter({
		name: 'bitternpaddle_attempts_total', help: 'Requests sent to endpoints, by how that ended.', labelNames: ['service', 'outcome'], registers,
	});
	const allocations = new Counter({
		name: 'bitternpaddle_allocations_total', help: 'Decisions on requests to services with several priorities.', labelNames: ['service', 'priority', 'decision'], registers,
	});
	const truncations = new Counter({
		name: 'bitternpaddle_answers_truncated_total', help: 'Answers of which the caller received only a part, by cause.', labelNames: ['cause'], registers,
	});
	const oversized = new Counter({
		name: 'bitternpaddle_oversized_answers_total', help: 'Answers of endpoints that were larger than they may be, by the part that was.', labelNames: ['part'], registers,
	});
	const limits = new Counter({
		name: 'bitternpaddle_limits_met_total', help: 'Times that a limit on what callers may use was met, by listener.', labelNames: ['listener', 'limit'], registers,
	});
	const firstBytes = new Histogram({
		name: 'bitternpaddle_first_byte_ms', help: 'Time from a request to the first byte of its answer.', labelNames: ['service'], buckets: latencyBucketsMs, registers,
	});
	const expectationErrors = new Histogram({
		name: 'bitternpaddle_expectation_error_ms', help: 'Real less expected time to the first byte.', labelNames: ['service'], buckets: expectationErrorBucketsMs, registers,
	});
	const counters = new Map<string, Counter>();
	return {
		request(service, outcome) {
			requests.inc({service, outcome});
		},
		attempt(service, outcome) {
			attempts.inc({service, outcome});
		},
		allocation(service, priority, decision) {
			allocations.inc({service, priority, decision});
		},
		truncated(cause) {
			truncations.inc({cause});
		},
		oversized(part) {
			oversized.inc({part});
		},
		limit(listener, limit) {
			limits.inc({listener, limit});
		},
		firstByte(service, tookMs) {
			firstBytes.observe({service}, tookMs);
		},
		expectation(service, expectedMs, tookMs) {
			expectationErrors.observe({service}, tookMs - expectedMs);
		},
		gauge(name, help, read) {
			const gauge: Gauge = new Gauge({
				name: `bitternpaddle_${name}`, help, registers, collect() {
					gauge.set(read());
				},
			});
		},
		count(name, help, by = 1) {
			let counter = counters.get(name);
			if (counter === undefined) {
				counter = new Counter({name: `bitternpaddle_${name}_total`, help, registers});
				counters.set(name, counter);
			}

			counter.inc(by);
		},
		text: async () => registry.metrics(),
	};
};
