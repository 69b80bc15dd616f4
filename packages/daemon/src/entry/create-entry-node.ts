import {createBurnCounter, type AdmissionOptions} from '@bitternpaddle/coordination';
import {entrySharesAnswerSchema, loadResultSchema, type HostReport} from '@bitternpaddle/protocol';
import {
	callRpc, createHttpServer, rpcPath, sendJson, silentLogger, type Logger, type Metrics, type ServerLimits,
} from '@bitternpaddle/transport';
import {createConfigurationClient, type ConfigurationInForce} from '../host/configuration-client.js';
import {createFailingHosts} from '../host/failing-hosts.js';
import {createListenerLimitReporter} from '../host/listener-limit-reporter.js';
import {createFleetOutcomes} from './fleet-outcomes.js';
import {adminPrefix, createAdminHandler} from './admin-api.js';
import {exchangeToken, type AdminToken} from './admin-tokens.js';
import {countRequest, serviceOfTarget, servicesOfModels} from './count-burn.js';
import {createEntryPeers, createEntryRpc} from './entry-peers.js';
import {createRelay, sendRefusal} from './relay.js';
import {createRequestQuarantine} from './request-quarantine.js';
import {createRequestLog} from './request-log.js';
import {createCallServer} from './serve-call.js';
import {createTraffic} from './traffic.js';

export type EntryNodeOptions = {
	readonly entryId: string;
	readonly controls: readonly string[];
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	readonly adminTokens?: readonly AdminToken[];
	/** Requests that this entry processes concurrently; further ones are refused. @default 4096 */
	readonly maxRequests?: number;
	/** @default 30000 */
	readonly defaultDeadlineMs?: number;
	/** @default 3 */
	readonly maxAttempts?: number;
	/** If a connection to an agent carries no byte for this long, the attempt is resolved on another connection. @default 2000 */
	readonly suspectMs?: number;
	/** @default 'zone-1' */
	readonly zoneId?: string;
	/** @default 'region-1' */
	readonly regionId?: string;
	/** Rate limits and queue bounds of admission. @default {} */
	readonly limits?: AdmissionOptions;
	/** Resource limits of this host's server. @default {} */
	readonly serverLimits?: ServerLimits;
	readonly logger?: Logger;
	readonly metrics?: Metrics;
};

export type EntryNode = {
	readonly entryId: string;
	readonly address: string;
	/** The configuration that this entry uses now. */
	inForce(): ConfigurationInForce;
	/** Graceful shutdown: refuses new requests, finishes running ones, then exits. */
	stop(): Promise<void>;
	kill(): Promise<void>;
};

const probeTimeoutMs = 500;
const sharesTimeoutMs = 900;
const crashesTimeoutMs = 900;

/** One entry host, which serves callers and operators. */
export const createEntryNode = async (options: EntryNodeOptions): Promise<EntryNode> => {
	const {
		entryId, controls, listen = '127.0.0.1:0', adminTokens = [], maxRequests = 4096, defaultDeadlineMs = 30_000, maxAttempts = 3, suspectMs = 2000,
		zoneId = 'zone-1', regionId = 'region-1', limits = {}, serverLimits, logger = silentLogger, metrics,
	} = options;
	const teams = new Map<string, string>();
	const burnCounter = createBurnCounter();
	let modelServices = new Map<string, string>();
	const requestLog = createRequestLog({
		entryId,
		serviceOf: target => serviceOfTarget(modelServices, target),
		onEnd(record) {
			countRequest(burnCounter, configuration.catalog(), record);
		},
	});
	let isLeaving = false;
	const failing = createFailingHosts();
	const outcomes = createFleetOutcomes();

	const report = (): HostReport => ({
		hostId: entryId, role: 'entry', address: server.address, revision: configuration.catalog().revision, requestsInFlight: calls.inFlight(),
		announcement: null, readyVersionId: null, isLeaving, transfers: [], failingHostIds: failing.list(), fleetOutcomes: outcomes.list(),
		serviceOutcomes: [...burnCounter.totals].map(([serviceId, counts]) => ({serviceId, ...counts})),
	});

	const server = await createHttpServer({
		listen, limits: serverLimits, onLimit: createListenerLimitReporter('entry', {logger, metrics}),
		async handler(request, response) {
			const path = request.url ?? '';
			if (path === '/healthz' || path === '/readyz') {
				const isReady = path === '/healthz' || (!isLeaving && configuration.hasLease());
				sendJson(response, isReady ? 200 : 503, {entryId, revision: configuration.catalog().revision, inFlight: calls.inFlight()});
			} else if (path === rpcPath) {
				await entryRpc.serve(request, response);
			} else if (path.startsWith(adminPrefix)) {
				await handleAdmin(request, response);
			} else if (path === '/v1/chat/completions' || path === '/v1/completions' || path.startsWith('/services/')) {
				await calls.serve(request, response);
			} else {
				sendRefusal(response, {status: 404, type: 'not_found', message: `${request.method} ${path}`});
			}
		},
		onError(error) {
			logger.event('BP9003', {message: error.message});
		},
	});

	const configuration = createConfigurationClient({
		controls, logger, report,
		onChange(catalog, changes) {
			traffic.update(catalog, changes);
			modelServices = servicesOfModels(catalog);
			teams.clear();
			for (const [teamId, {keyDigest}] of Object.entries(catalog.teams)) {
				teams.set(keyDigest, teamId);
			}
		},
	});
	const traffic = createTraffic({
		entryId, zoneId, regionId, limits, logger, metrics,
		async listEntries() {
			const {rows} = await configuration.query({type: 'show', subject: 'hosts', where: [{field: 'role', operator: '=', value: 'entry'}]});
			return new Map(rows.map(({host, address}) => [String(host), String(address)]));
		},
		async requestShares(address, request) {
			const answer = await callRpc<unknown>({
				address, method: 'entry.shares', params: {token: exchangeToken(adminTokens), request}, timeoutMs: sharesTimeoutMs,
			});
			return entrySharesAnswerSchema.parse(answer);
		},
		async requestLoad(address) {
			const answer = await callRpc<unknown>({
				address, method: 'agent.load', params: {}, timeoutMs: probeTimeoutMs,
			});
			return loadResultSchema.parse(answer).running;
		},
	});
	const quarantine = createRequestQuarantine({
		entryId, logger, metrics,
		async listPeers() {
			const {rows} = await configuration.query({type: 'show', subject: 'hosts', where: [{field: 'role', operator: '=', value: 'entry'}]});
			return rows.filter(({host}) => host !== entryId).map(({address}) => String(address));
		},
		async send(address, crashUpdate) {
			await callRpc<unknown>({
				address, method: 'entry.crashes', params: {token: exchangeToken(adminTokens), ...crashUpdate}, timeoutMs: crashesTimeoutMs,
			});
		},
	});
	const calls = createCallServer({
		configuration, teams, requestLog, routing: traffic, admit: async call => traffic.admit(call), relay: createRelay({logger, metrics}), maxRequests, maxAttempts, defaultDeadlineMs, suspectMs,
		failing, outcomes, quarantine,
		isLeaving: () => isLeaving,
	});
	const handleAdmin = createAdminHandler({configuration, peers: createEntryPeers(configuration), tokens: adminTokens});
	const entryRpc = createEntryRpc({
		entryId, tokens: adminTokens, counter: burnCounter, requests: requestLog, answerShares: request => traffic.answerShares(request),
		receiveCrashUpdate: quarantine.receive,
	});

	return {
		entryId,
		address: server.address,
		inForce: () => configuration.inForce(),
		async stop() {
			isLeaving = true;
			logger.event('BP9002', {entryId});
			await calls.whenIdle();
			traffic.close();
			quarantine.close();
			configuration.close();
			await server.close();
		},
		async kill() {
			traffic.close();
			quarantine.close();
			configuration.close();
			server.destroy();
		},
	};
};
