import type {HostRecord} from '@bitternpaddle/state';
import type {Endpoint, Tier} from './types.js';

/**
 * Stores the numbers of all hosts in one array, with those of one host adjacent.
 * As object fields, each floating-point number would be boxed separately on the
 * heap, and routing over 12,000 hosts would spend its time on cache misses.
 */
export type HostNumbers = {
	values: Float64Array;
	/** Start offsets that were freed by removed hosts. */
	readonly free: number[];
	hosts: number;
};

/** Two CPU cache lines; the first one holds the numbers that endpoint selection reads. */
const numbersPerHost = 16;
const initialHosts = 64;

export const createHostNumbers = (): HostNumbers => ({values: new Float64Array(initialHosts * numbersPerHost), free: [], hosts: 0});

const allocate = (numbers: HostNumbers): number => {
	const start = numbers.free.pop() ?? numbersPerHost * numbers.hosts++;
	if (start >= numbers.values.length) {
		const grown = new Float64Array(2 * numbers.values.length);
		grown.set(numbers.values);
		numbers.values = grown;
	}

	numbers.values.fill(0, start, start + numbersPerHost);
	return start;
};

/** Frees a removed host's numbers for reuse by a new host. */
export const freeNumbers = ({numbers, start}: HostState): void => {
	numbers.free.push(start);
};

export type HostStateOptions = {
	readonly record: HostRecord;
	readonly endpoint: Endpoint;
	/** Rendezvous weight of this entry for the host. */
	readonly weight: number;
	/** Other entries with a greater weight for the host. */
	readonly entriesAhead: number;
};

/** This entry's state of one host: accessors for its numbers, and the non-numeric fields. */
export class HostState {
	readonly numbers: HostNumbers;
	readonly start: number;
	/** Tier in which the host serves; `null` while it serves nothing. */
	tier: Tier | null = null;
	endpoint: Endpoint;
	/** The host is in this entry's subset, so the entry keeps connections to it. */
	isActive = false;
	isEjected = false;
	readonly hostId: string;
	/** The record from which `endpoint` was derived; a different object means a change. */
	record: HostRecord;
	readonly weight: number;
	entriesAhead: number;
	countedCapacity = 0;
	consecutiveFailures = 0;
	ejectedUntilMs = 0;
	ejections = 0;

	constructor(numbers: HostNumbers, {record, endpoint, weight, entriesAhead}: HostStateOptions) {
		this.numbers = numbers;
		this.start = allocate(numbers);
		this.endpoint = endpoint;
		this.hostId = endpoint.hostId;
		this.record = record;
		this.weight = weight;
		this.entriesAhead = entriesAhead;
		this.position = -1;
		this.reportedAtMs = Number.NEGATIVE_INFINITY;
		this.probedAtMs = Number.NEGATIVE_INFINITY;
		this.readySinceMs = Number.NEGATIVE_INFINITY;
	}

	/** This entry's requests in flight. */
	get running(): number {
		return this.numbers.values[this.start]!;
	}

	set running(value: number) {
		this.numbers.values[this.start] = value;
	}

	/** Running requests of other entries, computed from the last report. */
	get others(): number {
		return this.numbers.values[this.start + 1]!;
	}

	set others(value: number) {
		this.numbers.values[this.start + 1] = value;
	}

	get reportedAtMs(): number {
		return this.numbers.values[this.start + 2]!;
	}

	set reportedAtMs(value: number) {
		this.numbers.values[this.start + 2] = value;
	}

	get capacity(): number {
		return this.numbers.values[this.start + 3]!;
	}

	set capacity(value: number) {
		this.numbers.values[this.start + 3] = value;
	}

	get readySinceMs(): number {
		return this.numbers.values[this.start + 4]!;
	}

	set readySinceMs(value: number) {
		this.numbers.values[this.start + 4] = value;
	}

	/** Recent failures counted as extra load; decays exponentially. */
	get penalty(): number {
		return this.numbers.values[this.start + 5]!;
	}

	set penalty(value: number) {
		this.numbers.values[this.start + 5] = value;
	}

	get penaltyAtMs(): number {
		return this.numbers.values[this.start + 6]!;
	}

	set penaltyAtMs(value: number) {
		this.numbers.values[this.start + 6] = value;
	}

	/** This host's contribution to the tier's total load. */
	get countedLoad(): number {
		return this.numbers.values[this.start + 7]!;
	}

	set countedLoad(value: number) {
		this.numbers.values[this.start + 7] = value;
	}

	/** Index in the start times of its most recent request in flight. */
	get latestStart(): number {
		return this.numbers.values[this.start + 8]!;
	}

	set latestStart(value: number) {
		this.numbers.values[this.start + 8] = value;
	}

	/** Index in `tier.available`, or -1. */
	get position(): number {
		return this.numbers.values[this.start + 9]!;
	}

	set position(value: number) {
		this.numbers.values[this.start + 9] = value;
	}

	/** Number of requests that have not received a first byte. */
	get awaiting(): number {
		return this.numbers.values[this.start + 10]!;
	}

	set awaiting(value: number) {
		this.numbers.values[this.start + 10] = value;
	}

	get outcomes(): number {
		return this.numbers.values[this.start + 11]!;
	}

	set outcomes(value: number) {
		this.numbers.values[this.start + 11] = value;
	}

	/** Moving average over outcomes, like `latencyMs`. */
	get failureShare(): number {
		return this.numbers.values[this.start + 12]!;
	}

	set failureShare(value: number) {
		this.numbers.values[this.start + 12] = value;
	}

	get latencyMs(): number {
		return this.numbers.values[this.start + 13]!;
	}

	set latencyMs(value: number) {
		this.numbers.values[this.start + 13] = value;
	}

	/** Index in the start times of its oldest request in flight. */
	get oldestStart(): number {
		return this.numbers.values[this.start + 14]!;
	}

	set oldestStart(value: number) {
		this.numbers.values[this.start + 14] = value;
	}

	get probedAtMs(): number {
		return this.numbers.values[this.start + 15]!;
	}

	set probedAtMs(value: number) {
		this.numbers.values[this.start + 15] = value;
	}
}
