import {
	createRandom, createSwarm, stepSwarm, type SwarmEffect, type SwarmEvent, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';
import type {HaveParameters} from '@bitternpaddle/protocol';
import type {ChunkStore, ManifestId} from '@bitternpaddle/state';
import {notifyRpc, type Logger} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import {fetchChunk} from './fetch-chunk.js';

export type TransferPeer = SwarmPeer & {readonly address: string};

export type TransferOptions = {
	readonly store: ChunkStore;
	readonly self: SwarmPeer;
	readonly selfAddress: () => string;
	readonly originAddress: string;
	readonly peers: readonly TransferPeer[];
	readonly logger: Logger;
	onComplete(): void;
};

/** The exchange of one manifest's chunks on this host. It goes on serving after it is complete. */
export type Transfer = {
	readonly store: ChunkStore;
	readonly counters: {originBytes: number; peerBytes: number; lastFailure: string};
	hear(parameters: HaveParameters): void;
	changePeers(peers: readonly TransferPeer[]): void;
	close(): void;
};

const tickMs = 100;
const chunkIdleTimeoutMs = 5000;
const announceTimeoutMs = 2000;

export const createTransfer = (options: TransferOptions): Transfer => {
	const {store, self, selfAddress, originAddress, logger, onComplete} = options;
	const {manifestId, manifest} = store;
	const counters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
	const addresses = new Map<string, string>(options.peers.map(peer => [peer.hostId, peer.address]));
	const aborts = new Map<number, AbortController>();
	let isClosed = false;

	const dispatch = (event: SwarmEvent): void => {
		if (!isClosed) {
			perform(stepSwarm(state, event, performance.now()));
		}
	};

	const perform = (effects: readonly SwarmEffect[]): void => {
		for (const effect of effects) {
			match(effect)
				.with({type: 'fetch'}, fetching => {
					void fetchAndStore(fetching);
				})
				.with({type: 'cancel'}, ({chunk}) => {
					aborts.get(chunk)?.abort();
				})
				.with({type: 'announce'}, ({to, chunks}) => {
					for (const hostId of to) {
						announce(hostId, chunks);
					}
				})
				.with({type: 'setAside'}, ({hostId}) => {
					logger.event('BP3004', {peer: hostId, manifestId});
				})
				.with({type: 'complete'}, () => {
					onComplete();
				})
				.exhaustive();
		}
	};

	const fetchAndStore = async ({chunk, source}: Extract<SwarmEffect, {type: 'fetch'}>): Promise<void> => {
		const abort = new AbortController();
		aborts.set(chunk, abort);
		const outcome = await fetchChunk({
			manifestId, manifest, chunk, source, originAddress, idleTimeoutMs: chunkIdleTimeoutMs, signal: abort.signal,
			peerAddress: source.type === 'peer' ? addresses.get(source.hostId) : undefined,
		});
		if (aborts.get(chunk) === abort) {
			aborts.delete(chunk);
		}

		if (abort.signal.aborted || isClosed) {
			return;
		}

		if (outcome.type === 'failed') {
			counters.lastFailure = `chunk ${chunk}: ${outcome.detail}`;
			dispatch({
				type: 'failed', chunk, source, reason: outcome.reason,
			});
			return;
		}

		counters[source.type === 'origin' ? 'originBytes' : 'peerBytes'] += outcome.data.length;
		const isStored = await store.put(chunk, outcome.data);
		if (!isStored) {
			counters.lastFailure = `chunk ${chunk}: wrong digest from ${source.type === 'peer' ? source.hostId : 'origin'}`;
		}

		dispatch(isStored
			? {type: 'stored', chunk, source}
			: {
				type: 'failed', chunk, source, reason: 'corrupt',
			});
	};

	const announce = (to: string, chunks: readonly number[]): void => {
		const address = addresses.get(to);
		if (address === undefined) {
			return;
		}

		const parameters: HaveParameters = {
			from: self.hostId, address: selfAddress(), manifestId, chunks: [...chunks],
		};
		notifyRpc({
			address, method: 'agent.have', params: parameters, timeoutMs: announceTimeoutMs,
		}).catch(() => undefined);
	};

	const {state, effects}: {state: SwarmState; effects: SwarmEffect[]} = createSwarm({
		self, manifestId, totalChunks: manifest.chunkDigests.length, held: store.heldChunks(), peers: options.peers,
		random: createRandom(Math.floor(Math.random() * 2_147_483_647)), nowMs: performance.now(),
	});
	// The caller gets the transfer before its first effects run.
	setImmediate(() => {
		perform(effects);
		dispatch({type: 'tick'});
	});
	const timer = setInterval(() => {
		dispatch({type: 'tick'});
	}, tickMs);
	return {
		store,
		counters,
		hear({from, address, chunks}) {
			addresses.set(from, address);
			dispatch({type: 'peerHas', hostId: from, chunks});
		},
		changePeers(peers) {
			for (const peer of peers) {
				addresses.set(peer.hostId, peer.address);
			}

			dispatch({type: 'peersChanged', peers});
		},
		close() {
			isClosed = true;
			clearInterval(timer);
			for (const abort of aborts.values()) {
				abort.abort();
			}
		},
	};
};
