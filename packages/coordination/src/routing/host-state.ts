import type {HostRecord} from '@bitternpaddle/state';
import type {Endpoint, Tier} from './types.js';

/**
 * The numbers of all hosts in one array, those of one host next to each other.
 * As fields of an object each fraction is a box of its own somewhere on the
 * heap, and a decision over 12,000 hosts spends its time waiting for memory.
 */
export type HostNumbers = {
	values: Float64Array;
	/** Starts of hosts that have gone. */
	readonly free: number[];
	hosts: number;
};

/** Two lines of a processor's cache; what a choice reads is in the first. */
const numbersPerHost = 16;
const initialHosts = 64;

export const createHostNumbers = (): HostNumbers => ({values: new Float64Array(initialHosts * numbersPerHost), free: [], hosts: 0});

const allot = (numbers: HostNumbers): number => {
	const start = numbers.free.pop() ?? numbersPerHost * numbers.hosts++;
	if (start >= numbers.values.length) {
		const grown = new Float64Array(2 * numbers.values.length);
		grown.set(numbers.values);
		numbers.values = grown;
	}

	numbers.values.fill(0, start, start + numbersPerHost);
	return start;
};

/** Gives a gone host's numbers to the next that comes. */
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

/** What this entry knows of one host: its numbers by name, and what is not a number. */
export class HostState {
	readonly numbers: HostNumbers;
	readonly start: number;
	/** Where it serves now; `null` while it serves nothing. */
	tier: Tier | null = null;
	endpoint: Endpoint;
	/** This entry keeps connections to it. */
	isActive = false;
	isEjected = false;
	readonly hostId: string;
	/** The record that `endpoint` was made from; another object means a change. */
	record: HostRecord;
	readonly weight: number;
	entriesAhead: number;
	countedCapacity = 0;
	consecutiveFailures = 0;
	ejectedUntilMs = 0;
	ejections = 0;

	constructor(numbers: HostNumbers, {record, endpoint, weight, entriesAhead}: HostStateOptions) {
		this.numbers = numbers;
		this.start = allot(numbers);
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

	/** Requests of other entries, as last reported and as counted then. */
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

	/** Recent failures as extra load; halves with time. */
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

	/** What the tier's totals hold of this host. */
	get countedLoad(): number {
		return this.numbers.values[this.start + 7]!;
	}

	set countedLoad(value: number) {
		this.numbers.values[this.start + 7] = value;
	}

	/** Place of the last of them. */
	get latestStart(): number {
		return this.numbers.values[this.start + 8]!;
	}

	set latestStart(value: number) {
		this.numbers.values[this.start + 8] = value;
	}

	/** Place in `tier.available`, or -1. */
	get position(): number {
		return this.numbers.values[this.start + 9]!;
	}

	set position(value: number) {
		this.numbers.values[this.start + 9] = value;
	}

	/** Requests without a first byte. */
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

	/** Moving averages over outcomes. */
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

	/** Place in the start times of its oldest request in flight. */
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
