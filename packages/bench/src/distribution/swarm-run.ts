import {
	admitUpload, createRandom, createUploads, finishUpload, type ChunkSource, type Random, type SwarmEffect, type SwarmEvent, type SwarmPeer, type Uploads,
} from '@bitternpaddle/coordination';
import {
	createHostLinks, createOriginLink, latencyBetween, occupy, type Link, type LinkModel,
} from './links.js';
import {
	chunkSizeBytes, createFaultPlan, createLinkModel, createPeers, floorMs, totalChunks, type FaultPlan, type RunOptions,
} from './scenario.js';
import {createVirtualTime, type VirtualTime} from './virtual-time.js';

/** A policy on one host: the real swarm, or one that it is compared with. */
export type HostPolicy = {step(event: SwarmEvent, nowMs: number): SwarmEffect[]};

export type CreatePolicyOptions = {
	readonly self: SwarmPeer;
	readonly peers: readonly SwarmPeer[];
	readonly random: Random;
	readonly originCopies: number;
};

export type CreatePolicy = (options: CreatePolicyOptions) => {policy: HostPolicy; effects: SwarmEffect[]};

export type RunResult = {
	/** Of each living host; infinite when it never had all chunks. */
	readonly doneAtMs: readonly number[];
	readonly originCopies: number;
	readonly originBytes: number;
	/** Messages that told a neighbour of chunks. */
	readonly announcements: number;
};

type Request = {readonly from: Host; readonly chunk: number; isCancelled: boolean};

type Host = {
	readonly index: number;
	readonly peer: SwarmPeer;
	readonly policy: HostPolicy;
	readonly links: {out: Link; in: Link};
	readonly uploads: Uploads;
	readonly queue: Request[];
	/** Requests of this host that run, by chunk and source. */
	readonly requests: Map<string, Request>;
	readonly held: Uint8Array;
	isSending: boolean;
	isDead: boolean;
	doneAtMs: number | null;
};

type World = {
	readonly time: VirtualTime;
	readonly model: LinkModel;
	readonly faults: FaultPlan;
	readonly hosts: Map<string, Host>;
	readonly originLink: Link;
	originChunks: number;
	announcements: number;
	waiting: number;
};

const tickMs = 100;
/** A run that takes more floors than the origin alone would need for all is given up. */
const limitFloors = (hosts: number): number => hosts + 8;
const originId = '';

/** Runs one burst from the first request to the last living host's completion, in virtual time. */
export const runSwarm = (options: RunOptions, createPolicy: CreatePolicy): RunResult => {
	const {hosts, mode, originCopies, seed} = options;
	const faults = createFaultPlan(options);
	const world: World = {
		time: createVirtualTime(), model: createLinkModel(mode), faults, hosts: new Map(), originLink: createOriginLink(), originChunks: 0, announcements: 0,
		waiting: hosts - faults.killed.size,
	};
	const peers = createPeers(hosts);
	const starts = peers.map((self, index) => {
		const {policy, effects} = createPolicy({
			self, peers, random: createRandom((seed * 65_536) + index), originCopies,
		});
		const links = createHostLinks(mode);
		if (faults.stalled.has(index)) {
			for (const link of [links.out, links.in]) {
				link.stalledFromMs = faults.atMs;
				link.stalledUntilMs = faults.atMs + faults.stallMs;
			}
		}

		const host: Host = {
			index, peer: self, policy, links, uploads: createUploads(), queue: [], requests: new Map(), held: new Uint8Array(totalChunks),
			isSending: false, isDead: false, doneAtMs: null,
		};
		world.hosts.set(self.hostId, host);
		return {host, effects};
	});
	for (const {host, effects} of starts) {
		perform(world, host, effects);
		tick(world, host, host.index % tickMs);
	}

	scheduleFaults(world, peers);
	world.time.run(() => world.waiting === 0, floorMs * limitFloors(hosts));
	return {
		doneAtMs: [...world.hosts.values()].filter(host => !host.isDead).map(host => host.doneAtMs ?? Number.POSITIVE_INFINITY),
		originCopies: world.originChunks / totalChunks,
		originBytes: world.originChunks * chunkSizeBytes,
		announcements: world.announcements,
	};
};

const scheduleFaults = (world: World, peers: readonly SwarmPeer[]): void => {
	const {time, faults, hosts} = world;
	if (faults.killed.size === 0) {
		return;
	}

	time.at(faults.atMs, () => {
		for (const host of hosts.values()) {
			host.isDead = faults.killed.has(host.index);
		}
	});
	time.at(faults.atMs + faults.detectionMs, () => {
		const living = peers.filter((_, index) => !faults.killed.has(index));
		for (const host of hosts.values()) {
			dispatch(world, host, {type: 'peersChanged', peers: living});
		}
	});
};

const tick = (world: World, host: Host, atMs: number): void => {
	world.time.at(atMs, () => {
		if (!host.isDead && host.doneAtMs === null) {
			dispatch(world, host, {type: 'tick'});
			tick(world, host, world.time.nowMs + tickMs);
		}
	});
};

const dispatch = (world: World, host: Host, event: SwarmEvent): void => {
	if (!host.isDead) {
		perform(world, host, host.policy.step(event, world.time.nowMs));
	}
};

const requestKey = (chunk: number, source: ChunkSource): string => `${chunk}/${source.type === 'origin' ? originId : source.hostId}`;

const perform = (world: World, host: Host, effects: readonly SwarmEffect[]): void => {
	for (const effect of effects) {
		switch (effect.type) {
			case 'fetch': {
				startFetch(world, host, effect.chunk, effect.source);
				break;
			}

			case 'cancel': {
				cancel(world, host, effect.chunk, effect.source);
				break;
			}

			case 'announce': {
				announce(world, host, effect);
				break;
			}

			case 'complete': {
				host.doneAtMs = world.time.nowMs;
				world.waiting--;
				break;
			}

			case 'setAside': {
				break;
			}
		}
	}
};

const startFetch = (world: World, host: Host, chunk: number, source: ChunkSource): void => {
	const request: Request = {from: host, chunk, isCancelled: false};
	host.requests.set(requestKey(chunk, source), request);
	if (source.type === 'origin') {
		askOrigin(world, request);
	} else {
		askPeer(world, request, world.hosts.get(source.hostId)!);
	}
};

type Announce = Extract<SwarmEffect, {type: 'announce'}>;

/** One action for all targets at the same distance. */
const announce = (world: World, host: Host, {to, chunks, isGreeting}: Announce): void => {
	const {time, model, hosts} = world;
	const targetsByLatency = new Map<number, Host[]>();
	world.announcements += to.length;
	for (const hostId of to) {
		const target = hosts.get(hostId)!;
		if (!isPathStalled(world, host, target)) {
			const latencyMs = latencyBetween(model, host.peer, target.peer);
			const targets = targetsByLatency.get(latencyMs);
			if (targets === undefined) {
				targetsByLatency.set(latencyMs, [target]);
			} else {
				targets.push(target);
			}
		}
	}

	for (const [latencyMs, targets] of targetsByLatency) {
		time.at(time.nowMs + latencyMs, () => {
			for (const target of targets) {
				dispatch(world, target, {
					type: 'peerHas', hostId: host.peer.hostId, chunks, isGreeting,
				});
			}
		});
	}
};

const askOrigin = (world: World, request: Request): void => {
	const {time, model, originLink} = world;
	time.at(time.nowMs + model.regionLatencyMs + model.requestOverheadMs, () => {
		if (request.isCancelled) {
			return;
		}

		world.originChunks++;
		const {startMs, endMs} = occupy(originLink, time.nowMs, model.originChunkMs);
		receive(world, request, {type: 'origin'}, {startMs: startMs + model.regionLatencyMs, endMs: endMs + model.regionLatencyMs});
	});
};

const askPeer = (world: World, request: Request, holder: Host): void => {
	const {time, model} = world;
	const latencyMs = latencyBetween(model, request.from.peer, holder.peer);
	if (isPathStalled(world, request.from, holder)) {
		return;
	}

	time.at(time.nowMs + latencyMs + model.requestOverheadMs, () => {
		if (holder.isDead || request.isCancelled) {
			return;
		}

		if (!admitUpload(holder.uploads, request.from.peer.hostId)) {
			time.at(time.nowMs + latencyMs, () => {
				fail(world, request, {type: 'peer', hostId: holder.peer.hostId}, 'busy', model.chunkMs);
			});
			return;
		}

		holder.queue.push(request);
		sendNext(world, holder);
	});
};

const sendNext = (world: World, holder: Host): void => {
	const {time, model} = world;
	if (holder.isSending || holder.isDead) {
		return;
	}

	const request = holder.queue.shift();
	if (request === undefined) {
		return;
	}

	holder.isSending = true;
	const {startMs, endMs} = occupy(holder.links.out, time.nowMs, model.chunkMs);
	const latencyMs = latencyBetween(model, request.from.peer, holder.peer);
	receive(world, request, {type: 'peer', hostId: holder.peer.hostId}, {startMs: startMs + latencyMs, endMs: endMs + latencyMs});
	time.at(endMs, () => {
		holder.isSending = false;
		finishUpload(holder.uploads, request.from.peer.hostId);
		sendNext(world, holder);
	});
};

/** The receiver's link takes the chunk in while the sender's still sends it. */
const receive = (world: World, request: Request, source: ChunkSource, arrival: {startMs: number; endMs: number}): void => {
	const {time, model, hosts} = world;
	const host = request.from;
	time.at(arrival.startMs, () => {
		const {endMs} = occupy(host.links.in, time.nowMs, model.chunkMs);
		time.at(Math.max(endMs, arrival.endMs), () => {
			const sender = source.type === 'peer' ? hosts.get(source.hostId)! : null;
			if (sender !== null && (sender.isDead && arrival.endMs > world.faults.atMs)) {
				return;
			}

			finishReceive(world, request, source);
		});
	});
};

const finishReceive = (world: World, request: Request, source: ChunkSource): void => {
	const {faults} = world;
	const host = request.from;
	if (request.isCancelled) {
		return;
	}

	if (source.type === 'peer' && faults.corruptShare > 0 && faults.random.between(0, 999_999) < faults.corruptShare * 1_000_000) {
		fail(world, request, source, 'corrupt');
		return;
	}

	host.requests.delete(requestKey(request.chunk, source));
	host.held[request.chunk] = 1;
	dispatch(world, host, {type: 'stored', chunk: request.chunk, source});
};

const fail = (world: World, request: Request, source: ChunkSource, reason: 'busy' | 'corrupt', retryAfterMs?: number): void => {
	if (!request.isCancelled) {
		request.from.requests.delete(requestKey(request.chunk, source));
		dispatch(world, request.from, {
			type: 'failed', chunk: request.chunk, source, reason, retryAfterMs,
		});
	}
};

const cancel = (world: World, host: Host, chunk: number, source: ChunkSource): void => {
	const key = requestKey(chunk, source);
	const request = host.requests.get(key);
	if (request === undefined) {
		return;
	}

	request.isCancelled = true;
	host.requests.delete(key);
	const holder = source.type === 'peer' ? world.hosts.get(source.hostId)! : null;
	if (holder === null) {
		return;
	}

	world.time.at(world.time.nowMs + latencyBetween(world.model, host.peer, holder.peer), () => {
		const place = holder.queue.indexOf(request);
		if (place !== -1) {
			holder.queue.splice(place, 1);
			finishUpload(holder.uploads, host.peer.hostId);
		}
	});
};

const pathModulus = 1000;

/** The same pairs for the whole run, by a hash of both ends. */
const isPathStalled = ({time, faults}: World, a: Host, b: Host): boolean => {
	if (faults.stalledPathShare === 0 || time.nowMs < faults.atMs) {
		return false;
	}

	const low = Math.min(a.index, b.index);
	const high = Math.max(a.index, b.index);
	return ((low * 7919) + (high * 104_729)) % pathModulus < faults.stalledPathShare * pathModulus;
};
