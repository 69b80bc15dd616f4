import path from 'node:path';
import type {SwarmPeer} from '@bitternpaddle/coordination';
import {chunkAnnouncementSchema} from '@bitternpaddle/protocol';
import {
	openChunkStore, type ChunkStore, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import {
	createHttpServer, createRpcServer, rpcPath, silentLogger, type HttpServer,
} from '@bitternpaddle/transport';
import {createTransferLinks, type TransferLinks} from '../agent/transfer-links.js';
import {
	createTransfer, type Transfer, type TransferCounters, type TransferPeer,
} from '../agent/transfer.js';
import {createUploadServer} from '../agent/upload-server.js';

export type MeshVersion = {readonly manifestId: ManifestId; readonly manifest: Manifest};

export type TransferMeshOptions = {
	readonly folder: string;
	readonly originAddress: string;
	readonly storeAddress?: string;
	readonly originCopies?: number;
	readonly inBytesPerSecond?: number;
	readonly outBytesPerSecond?: number;
};

export type MeshHost = {
	readonly peer: TransferPeer;
	/** By manifest. */
	readonly stores: Map<ManifestId, ChunkStore>;
	readonly counters: Map<ManifestId, TransferCounters>;
	readonly links: TransferLinks;
	/** Opens the store and starts the exchange; resolves once it runs. */
	start(version: MeshVersion, peers: readonly TransferPeer[]): Promise<void>;
	changePeers(peers: readonly TransferPeer[]): void;
	/** Simulates a crash: stops responding and closes no connection gracefully. */
	kill(): Promise<void>;
};

/** The transfers of several agents with their servers and stores, without control and engines. */
export type TransferMesh = {
	addHost(peer: SwarmPeer): Promise<MeshHost>;
	close(): Promise<void>;
};

export const createTransferMesh = (options: TransferMeshOptions): TransferMesh => {
	const hosts: MeshHost[] = [];
	return {
		async addHost(peer) {
			const host = await createMeshHost(peer, options);
			hosts.push(host);
			return host;
		},
		async close() {
			await Promise.all(hosts.map(async host => host.kill()));
		},
	};
};

const createMeshHost = async (self: SwarmPeer, options: TransferMeshOptions): Promise<MeshHost> => {
	const {folder, originAddress, storeAddress, originCopies = 1, inBytesPerSecond = null, outBytesPerSecond = null} = options;
	const stores = new Map<ManifestId, ChunkStore>();
	const counters = new Map<ManifestId, TransferCounters>();
	const transfers = new Map<string, Transfer>();
	const links = createTransferLinks({
		inBytesPerSecond, outBytesPerSecond, hasStore: storeAddress !== undefined, gateLoad: () => ({running: 0, capacity: 1}),
	});
	const rpc = createRpcServer();
	rpc.method('agent.have', chunkAnnouncementSchema, parameters => {
		transfers.get(parameters.manifestId)?.receiveAnnouncement(parameters);
	});
	const sendChunk = createUploadServer({
		links,
		async readChunk(manifestId, chunk) {
			const store = stores.get(manifestId as ManifestId);
			return store?.has(chunk) ? store.read(chunk) : null;
		},
	});
	const server: HttpServer = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			await (request.url === rpcPath ? rpc.serve(request, response) : sendChunk(request, response));
		},
	});
	let isKilled = false;
	return {
		peer: {...self, address: server.address}, stores, counters, links,
		async start({manifestId, manifest}, peers) {
			const store = await openChunkStore({folder: path.join(folder, self.hostId), manifestId, manifest});
			const versionCounters: TransferCounters = {originBytes: 0, peerBytes: 0, lastFailure: ''};
			stores.set(manifestId, store);
			counters.set(manifestId, versionCounters);
			transfers.set(manifestId, createTransfer({
				store, self, selfAddress: () => server.address, sources: {origin: originAddress, store: storeAddress ?? null}, originCopies, peers, links,
				counters: versionCounters, logger: silentLogger, onComplete: () => undefined,
			}));
		},
		changePeers(peers) {
			for (const transfer of transfers.values()) {
				transfer.changePeers(peers);
			}
		},
		async kill() {
			if (isKilled) {
				return;
			}

			isKilled = true;
			links.close();
			for (const transfer of transfers.values()) {
				transfer.close();
			}

			server.destroy();
			await Promise.all([...stores.values()].map(async store => store.close()));
		},
	};
};
