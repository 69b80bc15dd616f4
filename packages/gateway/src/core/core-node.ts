import {randomUUID} from 'node:crypto';
import {
	announcedSince, createRegistry, hearAnnounced, isLaterStart, pruneRegistry, withdraw, type Announcement, type Clock,
} from '@bitternpaddle/coordination';
import {consensusEnvelopesSchema, rpcErrorCodes, standbyParametersSchema} from '@bitternpaddle/protocol';
import type {Document} from '@bitternpaddle/state';
import {
	callRpc, createHttpServer, createRpcServer, RpcError, type HttpServer, type Logger,
} from '@bitternpaddle/transport';
import {createCoreClient, type CoreClient} from '../link/core-client.js';
import {
	permitParametersSchema, readParametersSchema, readResultSchema, submitParametersSchema, submitResultSchema, watchParametersSchema,
	type Follower, type Roster, type SubmitOutcome, type WatchParameters, type WatchResult,
} from '../link/methods.js';
import {createDocumentLog} from './document-log.js';
import {createFollowers, rosterAgeMs} from './followers.js';
import {createPermitDesk} from './permit-desk.js';
import {createWatchDesk} from './watch-desk.js';

export type CoreNodeOptions = {
	/** Where other processes of the system reach this one; also its name among core hosts. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** Where the log is kept; `null`: the host has no disk, and only follows the log. */
	readonly folder: string | null;
	/** The whole system starts for the first time, with empty disks. */
	readonly isFirstStart: boolean;
	seeds(): readonly string[];
	/** Core hosts that may be lost at once. */
	readonly lossesBorne: number;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** `unknown`: nobody confirmed it in time; it may be in force later. */
export type SubmitResult = SubmitOutcome | 'unknown';

/** `unsure`: this host cannot tell which configuration is the newest. */
export type ReadConfiguration = {readonly type: 'text'; readonly text: string} | {readonly type: 'none'} | {readonly type: 'unsure'; readonly reason: string};

export type CoreNode = {
	submit(document: Document): Promise<SubmitResult>;
	read(): Promise<ReadConfiguration>;
	/** `true` if it was taken, or a later one was. */
	announce(announcement: Announcement): void;
	/** An endpoint has left; `startedAtMs` tells which start of it, `null` if it did not say. */
	withdraw(id: string, startedAtMs: number | null): void;
	isLeader(): boolean;
	/** Graceful: hands the leadership over first. */
	stop(): Promise<void>;
	close(): Promise<void>;
};

/** Operators move on after a second; a document must be confirmed, or given up on, before. */
const forwardTimeoutMs = 900;
const pruneMs = 5000;
/** How long to look for a leader before an operator is sent elsewhere: an election takes 0.6 to 1.2 s. */
const leaderWaitMs = 700;
const leaderPollMs = 25;

const notLeader = (): RpcError => new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');

/** For what endpoints and followers say: only the log's leases must count the time that a host was suspended. */
const steadyNowMs = (): number => performance.now();

/** One core host: its part of the document log, what endpoints announced to it, and whoever follows it. */
export const createCoreNode = async (options: CoreNodeOptions): Promise<CoreNode> => {
	const {
		selfAddress, zoneId, regionId, folder, isFirstStart, seeds, lossesBorne, clock, logger,
	} = options;
	const epoch = randomUUID();
	const self: Follower = {
		role: 'core', address: selfAddress, zoneId, regionId, endpointAddress: null, serviceName: null,
	};
	const registry = createRegistry();
	const followers = createFollowers();
	const permits = createPermitDesk({
		engineCount: serviceName => [...registry.entries.values()].filter(({announcement}) => announcement.serviceName === serviceName && announcement.state === 'ready').length,
		nowMs: steadyNowMs,
	});
	const versionsKnownAtMs = new Map<string, {version: number; atMs: number}>();
	let client: CoreClient | null = null;

	const otherAddresses = (): string[] => [...new Set([...seeds(), ...log.memberAddresses(), ...client?.addresses() ?? []])].filter(address => address !== selfAddress);

	const noteVersions = (): void => {
		for (const [model, version] of Object.entries(log.state().versions)) {
			if (versionsKnownAtMs.get(model)?.version !== version) {
				versionsKnownAtMs.set(model, {version, atMs: steadyNowMs()});
			}
		}
	};

	const log = await createDocumentLog({
		selfAddress, folder, isFirstStart, seeds, clock, logger, otherAddresses,
		// An odd number, of which the losses are a minority.
		voterCount: (2 * lossesBorne) + 1,
		onChange() {
			setImmediate(() => {
				noteVersions();
				desk.wake();
			});
		},
	});

	const versionsHash = (): string => JSON.stringify(log.state().versions);

	const configurationNumber = (): number => log.state().configuration?.number ?? -1;

	/**
	 * Core hosts that processes should follow. One without a disk is left out: each
	 * follower keeps a question open at each of them, and it knows nothing sooner than
	 * those that it follows itself.
	 */
	const followable = (): string[] => [...new Set([...folder === null ? [] : [selfAddress], ...log.diskAddresses()])];

	const rosterOf = (follower: Follower): Roster => followers.roster(follower, followable(), steadyNowMs());

	const isRosterNews = ({follower, rosterHash}: WatchParameters): boolean => rosterHash !== null && rosterOf(follower).hash !== rosterHash;

	const answer = (parameters: WatchParameters): WatchResult => {
		const nowMs = steadyNowMs();
		// Also those that were named before this process started, which no change tells of.
		noteVersions();
		followers.note(parameters.follower, nowMs);
		return {
			epoch, position: registry.position,
			zoneId,
			announcements: parameters.follower.role === 'agent' ? [] : announcedSince(registry, parameters.epoch === epoch ? parameters.position : 0, nowMs),
			configurationNumber: configurationNumber(), versionsHash: versionsHash(),
			freshAgeMs: log.freshAgeMs(),
			versions: [...versionsKnownAtMs].map(([model, {version, atMs}]) => ({model, version, ageMs: nowMs - atMs})),
			roster: isRosterNews(parameters) ? rosterOf(parameters.follower) : null,
		};
	};

	const desk = createWatchDesk({
		answer,
		isNews: parameters => parameters.epoch !== epoch || parameters.versionsHash !== versionsHash()
			|| (parameters.follower.role !== 'agent' && registry.urgentPosition > parameters.position)
			|| (parameters.follower.role === 'entry' && parameters.configurationNumber < configurationNumber())
			|| isRosterNews(parameters),
	});

	const submitHere = async (document: Document): Promise<SubmitOutcome> => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		return log.propose(document);
	};

	const readHere = async (): Promise<string | null> => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		await log.confirm();
		return log.state().configuration?.text ?? null;
	};

	/** Asks the leader, wherever it is; looks for one for a moment if there is none. */
	const atLeader = async <Result>(here: () => Promise<Result>, there: (address: string) => Promise<Result>): Promise<Result> => {
		const giveUpAtMs = performance.now() + leaderWaitMs;
		for (;;) {
			try {
				const address = log.leaderAddress();
				return await (log.isLeader() || address === null ? here() : there(address));
			} catch (error) {
				const isOther = (error as {code?: number}).code !== rpcErrorCodes.notLeader;
				if (isOther || performance.now() > giveUpAtMs) {
					throw error;
				}
			}

			await new Promise(resolve => {
				setTimeout(resolve, leaderPollMs);
			});
		}
	};

	const rpc = createRpcServer();
	rpc.method('consensus.messages', consensusEnvelopesSchema, ({envelopes}) => {
		for (const envelope of envelopes) {
			log.receive(envelope);
		}
	});
	rpc.method('control.standby', standbyParametersSchema, ({memberId}) => {
		log.hearStandby(memberId);
	});
	rpc.method('gateway.watch', watchParametersSchema, async parameters => desk.watch(parameters));
	rpc.method('gateway.configuration', readParametersSchema, () => log.state().configuration);
	rpc.method('gateway.submit', submitParametersSchema, async ({document}) => ({outcome: await submitHere(document)}));
	rpc.method('gateway.read', readParametersSchema, async () => ({text: await readHere()}));
	rpc.method('gateway.permit', permitParametersSchema, async ({agentAddress, serviceName, isDone}) => {
		if (isDone) {
			permits.giveBack(agentAddress);
			return {isGranted: false};
		}

		if (!log.isLeader()) {
			throw notLeader();
		}

		return {isGranted: await permits.ask(agentAddress, serviceName)};
	});

	const server: HttpServer = await createHttpServer({
		listen: selfAddress,
		handler: async (request, response) => rpc.serve(request, response),
	});
	client = createCoreClient({
		self, clock, logger,
		wantsConfiguration: () => false,
		configurationNumber,
		onConfiguration: () => undefined,
		seeds: () => [...seeds(), ...log.memberAddresses()],
		onResult(result) {
			let isNews = false;
			for (const announcement of result.announcements) {
				isNews = hearAnnounced(registry, announcement, steadyNowMs(), 'host') || isNews;
			}

			if (isNews) {
				noteVersions();
				desk.wake();
			}
		},
	});
	const pruning = setInterval(() => {
		pruneRegistry(registry, steadyNowMs());
	}, pruneMs);
	const telling = setInterval(() => {
		// A roster may be too young to be made anew at this turn: then it is at the next. Told of it only by its
		// next question, an agent would leave an entry that has just come without reports for four seconds.
		if (followers.isStale()) {
			desk.wake();
		}
	}, rosterAgeMs);

	const close = async (): Promise<void> => {
		clearInterval(pruning);
		clearInterval(telling);
		client?.close();
		desk.close();
		permits.close();
		server.destroy();
		await log.close();
	};

	return {
		async submit(document) {
			try {
				const outcome = await atLeader(async () => submitHere(document), async address => {
					const answered = await callRpc<unknown>({
						address, method: 'gateway.submit', params: {document}, isPacked: true, timeoutMs: forwardTimeoutMs,
					});
					return submitResultSchema.parse(answered).outcome;
				});
				logger.event('BP4007', {kind: document.kind, number: document.kind === 'configuration' ? document.number : document.version, outcome});
				return outcome;
			} catch (error) {
				logger.event('BP4007', {kind: document.kind, outcome: 'unknown', reason: (error as Error).message});
				return 'unknown';
			}
		},
		async read() {
			try {
				const text = await atLeader(readHere, async address => {
					const answered = await callRpc<unknown>({
						address, method: 'gateway.read', params: {}, isPacked: true, timeoutMs: forwardTimeoutMs,
					});
					return readResultSchema.parse(answered).text;
				});
				return text === null ? {type: 'none'} : {type: 'text', text};
			} catch (error) {
				return {type: 'unsure', reason: (error as Error).message};
			}
		},
		announce(announcement) {
			const known = registry.entries.get(announcement.id)?.announcement;
			const isTaken = hearAnnounced(registry, {...announcement, ageMs: 0}, steadyNowMs());
			if (isTaken && (known?.state !== announcement.state || isLaterStart(known, announcement))) {
				logger.event('BP4009', {
					endpointId: announcement.id, address: announcement.address, state: announcement.state, startedAtMs: announcement.startedAtMs, sequence: announcement.sequence,
				});
			}

			desk.wake();
		},
		withdraw(id, startedAtMs) {
			if (withdraw(registry, id, startedAtMs)) {
				logger.event('BP4009', {endpointId: id, state: 'gone'});
			}

			desk.wake();
		},
		isLeader: log.isLeader,
		async stop() {
			await log.leave();
			await close();
		},
		close,
	};
};
