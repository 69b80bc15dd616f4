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

/** The distribution policy of one host: the agents' swarm, or a policy for comparison. */
export type HostPolicy = {step(event: SwarmEvent, nowMs: number): SwarmEffect[]};

export type CreatePolicyOptions = {
	readonly self: SwarmPeer;
	readonly peers: readonly SwarmPeer[];
	readonly random: Random;
	readonly originCopies: number;
};

export type CreatePolicy = (options: CreatePolicyOptions) => {policy: HostPolicy; effects: SwarmEffect[]};

export type RunResult = {
	/** Completion time of each running host; infinite if it never had all chunks. */
	readonly doneAtMs: readonly number[];
	readonly originCopies: number;
	readonly originBytes: number;
	/** Number of announcements of chunks to neighbours. */
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
	/** Requests of this host in flight, by chunk and source. */
	readonly requests: Map<string, Request>;
	readonly held: Uint8Array;
	isSending: boolean;
	isDown: boolean;
	doneAtMs: number | null;
};

type SimulationState = {
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
/** A run is aborted after this many lower bounds, more than the origin alone would need for all hosts. */
const maxLowerBounds = (hosts: number): number => hosts + 8;
const originId = '';

/** Simulates one distribution in virtual time, from the first request until the last running host has completed. */
export const runSwarm = (options: RunOptions, createPolicy: CreatePolicy): RunResult => {
	const {hosts, mode, originCopies, seed} = options;
	const faults = createFaultPlan(options);
	const simulation: SimulationState = {
		time: createVirtualTime(), model: createLinkModel(mode), faults, hosts: new Map(), originLink: createOriginLink(), originChunks: 0, announcements: 0,
		waiting: hosts - faults.killed.size,
	};
	const peers = createPeers(hosts);
	const startedHosts = peers.map((self, index) => {
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
			isSending: false, isDown: false, doneAtMs: null,
		};
		simulation.hosts.set(self.hostId, host);
		return {host, effects};
	});
	for (const {host, effects} of startedHosts) {
		perform(simulation, host, effects);
		tick(simulation, host, host.index % tickMs);
	}

	scheduleFaults(simulation, peers);
	simulation.time.run(() => simulation.waiting === 0, floorMs * maxLowerBounds(hosts));
	return {
		doneAtMs: [...simulation.hosts.values()].filter(host => !host.isDown).map(host => host.doneAtMs ?? Number.POSITIVE_INFINITY),
		originCopies: simulation.originChunks / totalChunks,
		originBytes: simulation.originChunks * chunkSizeBytes,
		announcements: simulation.announcements,
	};
};

const scheduleFaults = (simulation: SimulationState, peers: readonly SwarmPeer[]): void => {
	const {time, faults, hosts} = simulation;
	if (faults.killed.size === 0) {
		return;
	}

	time.at(faults.atMs, () => {
		for (const host of hosts.values()) {
			host.isDown = faults.killed.has(host.index);
		}
	});
	time.at(faults.atMs + faults.detectionMs, () => {
		const runningPeers = peers.filter((_, index) => !faults.killed.has(index));
		for (const host of hosts.values()) {
			dispatch(simulation, host, {type: 'peersChanged', peers: runningPeers});
		}
	});
};

const tick = (simulation: SimulationState, host: Host, atMs: number): void => {
	simulation.time.at(atMs, () => {
		if (!host.isDown && host.doneAtMs === null) {
			dispatch(simulation, host, {type: 'tick'});
			tick(simulation, host, simulation.time.nowMs + tickMs);
		}
	});
};

const dispatch = (simulation: SimulationState, host: Host, event: SwarmEvent): void => {
	if (!host.isDown) {
		perform(simulation, host, host.policy.step(event, simulation.time.nowMs));
	}
};

const requestKey = (chunk: number, source: ChunkSource): string => `${chunk}/${source.type === 'origin' ? originId : source.hostId}`;

const perform = (simulation: SimulationState, host: Host, effects: readonly SwarmEffect[]): void => {
	for (const effect of effects) {
		switch (effect.type) {
			case 'fetch': {
				startFetch(simulation, host, effect.chunk, effect.source);
				break;
			}

			case 'cancel': {
				cancel(simulation, host, effect.chunk, effect.source);
				break;
			}

			case 'announce': {
				announce(simulation, host, effect);
				break;
			}

			case 'complete': {
				host.doneAtMs = simulation.time.nowMs;
				simulation.waiting--;
				break;
			}

			case 'setAside': {
				break;
			}
		}
	}
};

const startFetch = (simulation: SimulationState, host: Host, chunk: number, source: ChunkSource): void => {
	const request: Request = {from: host, chunk, isCancelled: false};
	host.requests.set(requestKey(chunk, source), request);
	if (source.type === 'origin') {
		requestFromOrigin(simulation, request);
	} else {
		requestFromPeer(simulation, request, simulation.hosts.get(source.hostId)!);
	}
};

type Announce = Extract<SwarmEffect, {type: 'announce'}>;

/** Delivers an announcement with one scheduled action for all targets at the same latency. */
const announce = (simulation: SimulationState, host: Host, {to, chunks, isGreeting}: Announce): void => {
	const {time, model, hosts} = simulation;
	const targetsByLatency = new Map<number, Host[]>();
	simulation.announcements += to.length;
	for (const hostId of to) {
		const target = hosts.get(hostId)!;
		if (!isPathStalled(simulation, host, target)) {
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
				dispatch(simulation, target, {
					type: 'peerHas', hostId: host.peer.hostId, chunks, isGreeting,
				});
			}
		});
	}
};

const requestFromOrigin = (simulation: SimulationState, request: Request): void => {
	const {time, model, originLink} = simulation;
	time.at(time.nowMs + model.regionLatencyMs + model.requestOverheadMs, () => {
		if (request.isCancelled) {
			return;
		}

		simulation.originChunks++;
		const {startMs, endMs} = occupy(originLink, time.nowMs, model.originChunkMs);
		receive(simulation, request, {type: 'origin'}, {startMs: startMs + model.regionLatencyMs, endMs: endMs + model.regionLatencyMs});
	});
};

const requestFromPeer = (simulation: SimulationState, request: Request, holder: Host): void => {
	const {time, model} = simulation;
	const latencyMs = latencyBetween(model, request.from.peer, holder.peer);
	if (isPathStalled(simulation, request.from, holder)) {
		return;
	}

	time.at(time.nowMs + latencyMs + model.requestOverheadMs, () => {
		if (holder.isDown || request.isCancelled) {
			return;
		}

		if (!admitUpload(holder.uploads, request.from.peer.hostId)) {
			time.at(time.nowMs + latencyMs, () => {
				fail(simulation, request, {type: 'peer', hostId: holder.peer.hostId}, 'busy', model.chunkMs);
			});
			return;
		}

		holder.queue.push(request);
		sendNext(simulation, holder);
	});
};

const sendNext = (simulation: SimulationState, holder: Host): void => {
	const {time, model} = simulation;
	if (holder.isSending || holder.isDown) {
		return;
	}

	const request = holder.queue.shift();
	if (request === undefined) {
		return;
	}

	holder.isSending = true;
	const {startMs, endMs} = occupy(holder.links.out, time.nowMs, model.chunkMs);
	const latencyMs = latencyBetween(model, request.from.peer, holder.peer);
	receive(simulation, request, {type: 'peer', hostId: holder.peer.hostId}, {startMs: startMs + latencyMs, endMs: endMs + latencyMs});
	time.at(endMs, () => {
		holder.isSending = false;
		finishUpload(holder.uploads, request.from.peer.hostId);
		sendNext(simulation, holder);
	});
};

/** The receiver's link receives the chunk while the sender's link is still sending it. */
const receive = (simulation: SimulationState, request: Request, source: ChunkSource, arrival: {startMs: number; endMs: number}): void => {
	const {time, model, hosts} = simulation;
	const host = request.from;
	time.at(arrival.startMs, () => {
		const {endMs} = occupy(host.links.in, time.nowMs, model.chunkMs);
		time.at(Math.max(endMs, arrival.endMs), () => {
			const sender = source.type === 'peer' ? hosts.get(source.hostId)! : null;
			if (sender !== null && (sender.isDown && arrival.endMs > simulation.faults.atMs)) {
				return;
			}

			finishReceive(simulation, request, source);
		});
	});
};

const finishReceive = (simulation: SimulationState, request: Request, source: ChunkSource): void => {
	const {faults} = simulation;
	const host = request.from;
	if (request.isCancelled) {
		return;
	}

	if (source.type === 'peer' && faults.corruptShare > 0 && faults.random.between(0, 999_999) < faults.corruptShare * 1_000_000) {
		fail(simulation, request, source, 'corrupt');
		return;
	}

	host.requests.delete(requestKey(request.chunk, source));
	host.held[request.chunk] = 1;
	dispatch(simulation, host, {type: 'stored', chunk: request.chunk, source});
};

const fail = (simulation: SimulationState, request: Request, source: ChunkSource, reason: 'busy' | 'corrupt', retryAfterMs?: number): void => {
	if (!request.isCancelled) {
		request.from.requests.delete(requestKey(request.chunk, source));
		dispatch(simulation, request.from, {
			type: 'failed', chunk: request.chunk, source, reason, retryAfterMs,
		});
	}
};

const cancel = (simulation: SimulationState, host: Host, chunk: number, source: ChunkSource): void => {
	const key = requestKey(chunk, source);
	const request = host.requests.get(key);
	if (request === undefined) {
		return;
	}

	request.isCancelled = true;
	host.requests.delete(key);
	const holder = source.type === 'peer' ? simulation.hosts.get(source.hostId)! : null;
	if (holder === null) {
		return;
	}

	simulation.time.at(simulation.time.nowMs + latencyBetween(simulation.model, host.peer, holder.peer), () => {
		const queueIndex = holder.queue.indexOf(request);
		if (queueIndex !== -1) {
			holder.queue.splice(queueIndex, 1);
			finishUpload(holder.uploads, host.peer.hostId);
		}
	});
};

const pathModulus = 1000;

/** Whether the path between two hosts is stalled; a hash of both hosts selects the same pairs for the whole run. */
const isPathStalled = ({time, faults}: SimulationState, a: Host, b: Host): boolean => {
	if (faults.stalledPathShare === 0 || time.nowMs < faults.atMs) {
		return false;
	}

	const lowIndex = Math.min(a.index, b.index);
	const highIndex = Math.max(a.index, b.index);
	return ((lowIndex * 7919) + (highIndex * 104_729)) % pathModulus < faults.stalledPathShare * pathModulus;
};
