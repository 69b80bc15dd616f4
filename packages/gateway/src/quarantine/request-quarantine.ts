import type {Buffer} from 'node:buffer';
import {
	addSightings, attributeToPart, clearRequest, confirmExit, confirmRestart, createBrokenAttempts, createCrashLedger, hasJustExited, isEmpty, isFreshRun, mayHaveRecords,
	pruneEndedAnswers, pruneLedger, recordBrokenAttempt, recordEndedAnswer, shortDigestIn, takeAnswered, takeExited, takeReported, verdictOn,
	type AnswerStage, type BrokenAttempt, type CrashSighting, type EndedAnswer, type EndedAnswers, type PartVerdict, type PromptPart, type Random,
	type RequestFingerprint, type RequestOutline, type Verdict,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import {samplePeers} from '../link/gossip.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createCrashExchange} from './crash-exchange.js';
import type {CrashUpdate} from './crash-update.js';
import {createPartQuarantine} from './part-quarantine.js';
import {decodeQuarantineSync, encodeQuarantineSync, type QuarantineSyncMessage} from './quarantine-sync.js';

/** The properties of a request that the quarantine uses. */
export type QuarantinedRequest = {
	outline(): RequestOutline;
	/** Hashes the body. */
	fingerprint(): RequestFingerprint;
	/** The parts of its prompt that other requests may share. @default none */
	promptParts?(): readonly PromptPart[];
};

/** Why a request is not sent: it, or a part of its prompt, crashes endpoints. */
export type QuarantineVerdict = ({readonly type: 'request'} & Verdict) | ({readonly type: 'part'} & PartVerdict);

export type AnswerEnd = {
	/** Whether the run was successful if the answer is complete. @default true */
	readonly isSuccess?: boolean;
	/** Time since the answer began. @default 0 */
	readonly answeringMs?: number;
};

export type RequestQuarantineOptions = {
	/** Address of this entry, by which others know who saw an exit. @default '' */
	readonly selfAddress?: string;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Prevents requests that crash the endpoints that run them from being sent to further
 * endpoints. All entries share their sightings of crashes.
 */
export type RequestQuarantine = {
	/** The verdict that prevents a request from being sent; `null` if it may be sent. */
	verdictOn(request: QuarantinedRequest): QuarantineVerdict | null;
	/** Records that the endpoint's side closed the connection before the answer was complete. */
	recordDisconnect(request: QuarantinedRequest, address: string, stage: AnswerStage, /** Time since the answer began. @default 0 */ answeringMs?: number): void;
	/** Records that an answer without a length ended with its connection: either it is complete, or the endpoint exited. */
	recordConnectionEnd(request: QuarantinedRequest, endpoint: {readonly id: string; readonly address: string}, stage: AnswerStage, end?: AnswerEnd): void;
	/** Records that an endpoint answered a request that was sent to it at `sentAtMs`. */
	recordAnswer(endpointId: string, sentAtMs: number): void;
	/** Records that an endpoint sent an event of some answer. */
	recordActivity(endpointId: string): void;
	/** Records that the endpoint's own host reaches it. */
	recordReport(address: string): void;
	/** Records that nothing listens at the endpoint's address any more, or that its own host cannot reach it. */
	recordExit(address: string): void;
	/** Records that another start of an endpoint runs at the address. */
	recordRestart(address: string): void;
	/** Records that an endpoint completed the answer to the request. */
	recordCompletion(request: QuarantinedRequest, /** Where a run was successful. @default none was */ address?: string): void;
	/** Calls `stop` if a verdict on the request is reached while it is in progress; returns a function that removes the watch. */
	watch(request: QuarantinedRequest, stop: () => void): () => void;
	/** Requests what other entries know, once; does nothing until there are peers. */
	sync(): void;
	/** Whether the answer to `sync` is awaited; ends after a tenth of a second at the latest. */
	isSyncing(): boolean;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

type Watcher = {readonly request: QuarantinedRequest; stop(): void};

/** An ended answer, and whether its run was successful if it is complete. */
type EndedRequest = {readonly request: QuarantinedRequest; readonly isSuccess: boolean; readonly answeringMs: number};

const partsOf = (request: QuarantinedRequest): readonly PromptPart[] => request.promptParts?.() ?? [];

const pruneMs = 5000;
/** Data on another connection that arrives later than this after the end of an answer was sent after it. */
const reorderedMs = 50;
const peersToSync = 3;
/** A peer that takes longer is taken for lost; its verdicts arrive with the next repetition. */
const maxSyncMs = 100;

export const createRequestQuarantine = ({selfAddress = '', peers, send, logger, metrics, random, nowMs}: RequestQuarantineOptions): RequestQuarantine => {
	const ledger = createCrashLedger();
	const brokenAttempts = createBrokenAttempts();
	const endedAnswers: EndedAnswers<EndedRequest> = [];
	const watchers = new Set<Watcher>();
	/** `null` before the other entries were asked. */
	let syncEndsAtMs: number | null = null;

	const isKnown = (request: QuarantinedRequest): boolean => !isEmpty(ledger) && mayHaveRecords(ledger, request.outline());

	const logVerdict = (verdict: Verdict, isOwn: boolean): void => {
		const now = nowMs();
		logger.event('BP4029', {
			fingerprint: verdict.fingerprint, endpoints: verdict.evidence.map(({address}) => address), agesMs: verdict.evidence.map(({atMs}) => Math.round(now - atMs)),
			lastSeenBy: isOwn ? 'this entry' : 'another entry', untilMs: Math.round(verdict.untilMs - now),
		});
		metrics.count('quarantined_requests', 'Verdicts on requests that end endpoints.');
	};

	const stopQuarantined = (verdicts: readonly Verdict[]): void => {
		for (const {request, stop} of watchers) {
			const verdict = isKnown(request) && verdicts.find(({fingerprint}) => fingerprint === request.fingerprint());
			if (verdict) {
				stop();
			}
		}
	};

	const partQuarantine = createPartQuarantine({
		selfAddress, peers, send, logger, metrics, random, nowMs,
		onVerdict() {
			for (const {request, stop} of watchers) {
				if (partQuarantine.verdictOn(partsOf(request)) !== null) {
					stop();
				}
			}
		},
		onExplained(exits) {
			attributeToPart(ledger, exits);
		},
	});

	const recordSightings = (sightings: readonly CrashSighting[], isOwn: boolean, condemnedElsewhere?: ReadonlySet<RequestFingerprint>): readonly CrashSighting[] => {
		const recorded = addSightings(ledger, sightings, nowMs(), condemnedElsewhere);
		for (const verdict of recorded.verdicts) {
			logVerdict(verdict, isOwn);
		}

		if (recorded.verdicts.length > 0) {
			stopQuarantined(recorded.verdicts);
		}

		return recorded.sightings;
	};

	const recordOwn = (attempts: readonly BrokenAttempt[]): void => {
		if (attempts.length === 0) {
			return;
		}

		exchange.broadcast({sightings: recordSightings(attempts, true), clearances: []});
		partQuarantine.recordBroken(attempts.map(({fingerprint, address, atMs, promptParts = [], answeringMs = 0}) => ({
			request: shortDigestIn(fingerprint), address, atMs, parts: promptParts, isFresh: isFreshRun(answeringMs),
		})));
	};

	const recordDisconnect = (request: QuarantinedRequest, {address, stage, atMs, answeringMs}: Omit<BrokenAttempt, 'fingerprint' | 'promptParts'>): void => {
		const attempt = {
			fingerprint: request.fingerprint(), address, atMs, stage, answeringMs, promptParts: partsOf(request),
		};
		if (recordBrokenAttempt(brokenAttempts, attempt)) {
			recordOwn([attempt]);
		}
	};

	/** Takes the ended answers at an address for broken attempts, because the endpoint there has exited. Some may have been complete; they must not look like an exit of their own. */
	const breakEnded = (address: string): void => {
		const atMs = nowMs();
		for (const {request: {request, answeringMs}, stage} of takeExited(endedAnswers, address, atMs)) {
			recordDisconnect(request, {
				address, stage, atMs, answeringMs,
			});
		}
	};

	const recordCompletion = (request: QuarantinedRequest, atMs: number, address: string | null): void => {
		if (address !== null && partQuarantine.isActive()) {
			partQuarantine.recordSuccess({parts: partsOf(request), address, atMs});
		}

		if (!isKnown(request)) {
			return;
		}

		const clearance = {fingerprint: request.fingerprint(), atMs};
		const hadVerdict = ledger.verdicts.has(clearance.fingerprint);
		if (clearRequest(ledger, clearance, nowMs()) && hadVerdict) {
			exchange.broadcast({sightings: [], clearances: [clearance]});
		}
	};

	const completeEnded = (complete: ReadonlyArray<EndedAnswer<EndedRequest>>): void => {
		for (const {request: {request, isSuccess}, atMs, address} of complete) {
			recordCompletion(request, atMs, isSuccess ? address : null);
		}
	};

	const applyUpdate = ({sightings, condemned, clearances}: CrashUpdate): void => {
		for (const clearance of clearances) {
			clearRequest(ledger, clearance, nowMs());
		}

		recordSightings(sightings, false, new Set(condemned));
	};

	const isSyncing = (): boolean => syncEndsAtMs !== null && nowMs() < syncEndsAtMs;

	const handleSync = (message: QuarantineSyncMessage): void => {
		switch (message.type) {
			case 'sync': {
				exchange.shareWith(message.entryAddress);
				partQuarantine.shareWith(message.entryAddress);
				// An entry that awaits the answer itself doesn't know yet what it would confirm.
				if (!isSyncing()) {
					send(encodeQuarantineSync({type: 'synced'}), [message.entryAddress]);
				}

				break;
			}

			case 'synced': {
				syncEndsAtMs = nowMs();
				break;
			}
		}
	};

	const receiveSync = (data: Buffer): boolean => {
		const message = decodeQuarantineSync(data);
		if (message === null) {
			return false;
		}

		handleSync(message);
		return true;
	};

	const exchange = createCrashExchange({
		ledger, peers, send, random, nowMs, onUpdate: applyUpdate,
	});
	const pruneTimer = setInterval(() => {
		pruneLedger(ledger, nowMs());
		pruneEndedAnswers(endedAnswers, nowMs());
	}, pruneMs);
	metrics.gauge('quarantine_verdicts', 'Requests that are sent to no endpoint.', () => ledger.verdicts.size);
	metrics.gauge('quarantine_ends', 'Ends of endpoints that requests may have caused.', () => ledger.ends.length);
	return {
		verdictOn(request) {
			const verdict = isKnown(request) ? verdictOn(ledger, request.fingerprint(), nowMs()) : null;
			if (verdict !== null) {
				return {type: 'request', ...verdict};
			}

			const partVerdict = partQuarantine.isActive() ? partQuarantine.verdictOn(partsOf(request)) : null;
			return partVerdict === null ? null : {type: 'part', ...partVerdict};
		},
		recordDisconnect(request, address, stage, answeringMs = 0) {
			recordDisconnect(request, {
				address, stage, atMs: nowMs(), answeringMs,
			});
		},
		recordConnectionEnd(request, {id, address}, stage, {isSuccess = true, answeringMs = 0} = {}) {
			const atMs = nowMs();
			if (hasJustExited(brokenAttempts, address, atMs)) {
				recordDisconnect(request, {
					address, stage, atMs, answeringMs,
				});
			} else {
				recordEndedAnswer(endedAnswers, {
					request: {request, isSuccess, answeringMs}, endpointId: id, address, atMs, stage,
				});
			}
		},
		recordAnswer(endpointId, sentAtMs) {
			completeEnded(takeAnswered(endedAnswers, endpointId, sentAtMs));
		},
		recordActivity(endpointId) {
			if (endedAnswers.length > 0) {
				completeEnded(takeAnswered(endedAnswers, endpointId, nowMs() - reorderedMs));
			}
		},
		recordReport(address) {
			completeEnded(takeReported(endedAnswers, address, nowMs()));
		},
		recordExit(address) {
			partQuarantine.recordExit(address);
			breakEnded(address);
			recordOwn(confirmExit(brokenAttempts, address, nowMs()));
		},
		recordRestart(address) {
			partQuarantine.recordExit(address);
			breakEnded(address);
			recordOwn(confirmRestart(brokenAttempts, address, nowMs()));
		},
		recordCompletion(request, address) {
			recordCompletion(request, nowMs(), address ?? null);
		},
		watch(request, stop) {
			const watcher = {request, stop};
			watchers.add(watcher);
			return () => {
				watchers.delete(watcher);
			};
		},
		sync() {
			if (syncEndsAtMs !== null || peers().length === 0) {
				return;
			}

			syncEndsAtMs = nowMs() + maxSyncMs;
			send(encodeQuarantineSync({type: 'sync', entryAddress: selfAddress}), samplePeers(peers(), peersToSync, random));
		},
		isSyncing,
		receive: data => exchange.receive(data) || partQuarantine.receive(data) || receiveSync(data),
		close() {
			clearInterval(pruneTimer);
			exchange.close();
			partQuarantine.close();
		},
	};
};
