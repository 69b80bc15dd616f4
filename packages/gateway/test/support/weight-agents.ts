import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {createUploadServer, type TransferPeer} from '@bitternpaddle/daemon/transfer';
import {chunkAnnouncementSchema} from '@bitternpaddle/protocol';
import {
	createHttpServer, createRpcServer, rpcPath, sendJson, silentLogger, type Logger,
} from '@bitternpaddle/transport';
import {
	createPacedLinks, createWeightExchange, type EngineClient, type LoadGoal, type OriginClient, type WeightExchange,
} from '@bitternpaddle/gateway';

export const model = 'm';

/** Content of a chunk, which differs for each version and chunk. */
export const chunkOf = (version: number, chunk: number, chunkBytes: number): Buffer => Buffer.alloc(chunkBytes, `${version}/${chunk};`);

export const digestOf = (data: Uint8Array): string => createHash('sha256').update(data).digest('hex');

export const digestsOf = (version: number, chunks: number, chunkBytes: number): string[] => Array.from({length: chunks}, (_, chunk) => digestOf(chunkOf(version, chunk, chunkBytes)));

export type GoalOptions = {readonly version: number; readonly chunks: number; readonly chunkBytes: number};

export const goalOf = ({version, chunks, chunkBytes}: GoalOptions): LoadGoal => ({
	profile: {
		slots: 16, stepsPerPass: 6, stepMs: 7, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 1000, usualPromptTokens: 1, usualAnswerTokens: 1,
		kvCapacityTokens: 1, model, chunks, chunkBytes, loadMs: 0,
	},
	origin: {
		address: '127.0.0.1:1', zoneId: null, maxConnections: 1, linkMbps: 1000,
	},
	version,
	namedAgeMs: 0,
	isConfirmed: true,
});

export type LoggedEvent = {readonly id: string; readonly fields: Record<string, unknown>};

export const createEventLog = (): {readonly logger: Logger; readonly events: LoggedEvent[]} => {
	const events: LoggedEvent[] = [];
	const logger: Logger = {
		...silentLogger,
		event(id, fields = {}) {
			events.push({id, fields});
		},
	};
	return {logger, events};
};

/** The exchange of one agent behind its HTTP server, as `createAgentNode` connects them. */
export type WeightAgent = {
	readonly exchange: WeightExchange;
	readonly events: LoggedEvent[];
	/** Chunks staged at the agent's engine. */
	readonly staged: Map<number, Buffer>;
	readonly peer: TransferPeer;
	close(): void;
};

export type WeightAgentOptions = {
	readonly origin: OriginClient;
	readonly linkBytesPerSecond: number;
	readonly peers: readonly TransferPeer[];
	/** Chunks staged at the start. @default none */
	readonly staged?: ReadonlyMap<number, Buffer>;
	/** Real bandwidth of the host's link. @default `linkBytesPerSecond` */
	readonly realBytesPerSecond?: number;
};

/** `options.peers` may contain the agent itself, and agents may be added to it later. */
export const createWeightAgent = async (options: WeightAgentOptions): Promise<WeightAgent> => {
	const {origin, linkBytesPerSecond, peers, realBytesPerSecond = linkBytesPerSecond} = options;
	const staged = new Map(options.staged);
	const {logger, events} = createEventLog();
	const engine: EngineClient = {
		state: async () => ({
			running: 0, queued: 0, pace: 1, isBusy: false, orderCount: 0, startedAtMs: null, models: [], askedAtMs: performance.now(),
		}),
		async putChunk(_, chunk, data) {
			staged.set(chunk, Buffer.from(data));
			return 'written';
		},
		identity: async () => null,
		getChunk: async (_, chunk) => staged.get(chunk) ?? null,
		load: async () => 'begun',
	};
	const links = createPacedLinks({bytesPerSecond: realBytesPerSecond, share: () => 1});
	const rpc = createRpcServer();
	rpc.method('agent.have', chunkAnnouncementSchema, parameters => {
		exchange.receiveHave(parameters);
	});
	const serveUpload = createUploadServer({links, readChunk: async (manifestId, chunk) => exchange.readChunk(manifestId, chunk)});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			const url = request.url!;
			if (url.startsWith(rpcPath)) {
				await rpc.serve(request, response);
				return;
			}

			const [, kind, name = '', version] = url.split('/');
			if (kind === 'digests') {
				const digests = exchange.digests(name, Number(version));
				sendJson(response, digests === null ? 404 : 200, digests ?? []);
				return;
			}

			await serveUpload(request, response);
		},
	});
	const {address} = server;
	const exchange = createWeightExchange({
		selfAddress: address, zoneId: 'z', regionId: 'r', engine, origin, links, linkBytesPerSecond, logger,
		peers: () => peers.filter(peer => peer.address !== address),
	});
	return {
		exchange, events, staged,
		peer: {
			hostId: address, address, zoneId: 'z', regionId: 'r',
		},
		close() {
			exchange.close();
			links.close();
			server.destroy();
		},
	};
};

export const untilComplete = async ({exchange}: WeightAgent): Promise<void> => {
	while (exchange.missingChunks() !== 0) {
		await delay(5);
	}
};

/** Blocks the event loop. */
export const blockEventLoop = (forMs: number): void => {
	const untilMs = performance.now() + forMs;
	while (performance.now() < untilMs) {
		// Busy wait.
	}
};
