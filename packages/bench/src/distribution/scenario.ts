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
/** 1 Gbit/s for transfers; the origin has twice that. */
export const linkBytesPerMs = 125_000;
const requestBytes = 1024;
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
	/** Control tells the others this much later. */
	readonly detectionMs: number;
	readonly killed: ReadonlySet<number>;
	/** Hosts whose link stalls for `stallMs`. */
	readonly stalled: ReadonlySet<number>;
	readonly stallMs: number;
	/** Share of transfers between hosts that arrive with a wrong byte. */
	readonly corruptShare: number;
	/** Share of host pairs between which no byte passes any more, while both are fine with all others. */
	readonly stalledPathShare: number;
	readonly random: Random;
};

const share = 0.05;

const pick = (random: Random, hosts: number, count: number, not: ReadonlySet<number>): Set<number> => {
	const picked = new Set<number>();
	while (picked.size < count) {
		const host = random.between(0, hosts - 1);
		if (!not.has(host)) {
			picked.add(host);
		}
	}

	return picked;
};

/** Everything strikes in mid-burst. `calm` has none of it. */
export const createFaultPlan = ({hosts, scenario, seed, mode}: RunOptions): FaultPlan => {
	const random = createRandom(seed * 7919);
	const isCalm = scenario === 'calm';
	const count = isCalm ? 0 : Math.ceil(hosts * share);
	const killed = pick(random, hosts, count, new Set());
	return {
		atMs: floorMs / 2 * (mode === 'shared' ? 2 : 1),
		detectionMs: 3000,
		killed,
		stalled: pick(random, hosts, count, killed),
		stallMs: 2500,
		corruptShare: isCalm ? 0 : 0.01,
		stalledPathShare: isCalm ? 0 : share,
		random,
	};
};
