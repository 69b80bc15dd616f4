import {createRandom, type Random, type SwarmPeer} from '@bitternpaddle/coordination';
import type {LinkMode, LinkModel} from './links.js';

export type Scenario = 'calm' | 'faults';

export type RunOptions = {
	readonly hosts: number;
	readonly mode: LinkMode;
	readonly scenario: Scenario;
	readonly originCopies: number;
	readonly seed: number;
};

export const totalChunks = 512;
export const chunkSizeBytes = 4 * 1024 * 1024;
/** 1 Gbit/s for transfers; the origin has twice this rate. */
export const linkBytesPerMs = 125_000;
const requestBytes = 1024;
/** Lower bound of the transfer time: all chunks once over the link of one host. */
export const floorMs = totalChunks * chunkSizeBytes / linkBytesPerMs;

export const createLinkModel = (mode: LinkMode): LinkModel => ({
	mode,
	chunkMs: (chunkSizeBytes + requestBytes) / linkBytesPerMs,
	originChunkMs: (chunkSizeBytes + requestBytes) / linkBytesPerMs / 2,
	zoneLatencyMs: 1.5,
	regionLatencyMs: 3,
	requestOverheadMs: 1,
});

const regions = 3;
const zonesPerRegion = 3;

export const createPeers = (hosts: number): SwarmPeer[] => Array.from({length: hosts}, (_, index) => ({
	hostId: `h${index}`, regionId: `region-${index % regions}`, zoneId: `zone-${index % (regions * zonesPerRegion)}`,
}));

export type FaultPlan = {
	readonly atMs: number;
	/** Delay after which control notifies the other hosts of the loss. */
	readonly detectionMs: number;
	readonly killed: ReadonlySet<number>;
	/** Hosts whose links stall for `stallMs`. */
	readonly stalled: ReadonlySet<number>;
	readonly stallMs: number;
	/** Share of transfers between hosts that arrive corrupted. */
	readonly corruptShare: number;
	/** Share of host pairs that cannot exchange data any more, while both can still reach all other hosts. */
	readonly stalledPathShare: number;
	readonly random: Random;
};

const affectedShare = 0.05;

const pickHosts = (random: Random, hosts: number, count: number, excluded: ReadonlySet<number>): Set<number> => {
	const picked = new Set<number>();
	while (picked.size < count) {
		const host = random.between(0, hosts - 1);
		if (!excluded.has(host)) {
			picked.add(host);
		}
	}

	return picked;
};

/** Creates the faults of a run, all of which occur in the middle of the transfer; the `calm` scenario has none. */
export const createFaultPlan = ({hosts, scenario, seed, mode}: RunOptions): FaultPlan => {
	const random = createRandom(seed * 7919);
	const hasNoFaults = scenario === 'calm';
	const count = hasNoFaults ? 0 : Math.ceil(hosts * affectedShare);
	const killed = pickHosts(random, hosts, count, new Set());
	return {
		atMs: floorMs / 2 * (mode === 'shared' ? 2 : 1),
		detectionMs: 3000,
		killed,
		stalled: pickHosts(random, hosts, count, killed),
		stallMs: 2500,
		corruptShare: hasNoFaults ? 0 : 0.01,
		stalledPathShare: hasNoFaults ? 0 : affectedShare,
		random,
	};
};
