import type {Buffer} from 'node:buffer';
import {
	clearRequest, confirmExit, confirmRestart, createBrokenAttempts, createCrashLedger, hasJustExited, isEmpty, mayHaveRecords, pruneEndedAnswers, recordBrokenAttempt, recordEndedAnswer, pruneLedger,
	addSightings, takeAnswered, takeExited, takeReported, verdictOn,
	type AnswerStage, type BrokenAttempt, type CrashSighting, type EndedAnswer, type EndedAnswers, type Random, type RequestFingerprint, type RequestOutline, type Verdict,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createCrashExchange} from './crash-exchange.js';
import type {CrashUpdate} from './crash-update.js';

/** The properties of a request that the quarantine uses. */
export type QuarantinedRequest = {
	outline(): RequestOutline;
	/** Hashes the body. */
	fingerprint(): RequestFingerprint;
};

export type RequestQuarantineOptions = {
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
	verdictOn(request: QuarantinedRequest): Verdict | null;
	/** Records that the endpoint's side closed the connection before the answer was complete. */
	recordDisconnect(request: QuarantinedRequest, address: string, stage: AnswerStage): void;
	/** Records that an answer without a length ended with its connection: either it is complete, or the endpoint exited. */
	recordConnectionEnd(request: QuarantinedRequest, endpoint: {readonly id: string; readonly address: string}, stage: AnswerStage): void;
	/** Records that an endpoint answered a request that was sent to it at `sentAtMs`. */
	recordAnswer(endpointId: string, sentAtMs: number): void;
	/** Records that the endpoint's own host reaches it. */
	recordReport(address: string): void;
	/** Records that nothing listens at the endpoint's address any more, or that its own host cannot reach it. */
	recordExit(address: string): void;
	/** Records that another start of an endpoint runs at the address. */
	recordRestart(address: string): void;
	/** Records that an endpoint completed the answer to the request. */
	recordCompletion(request: QuarantinedRequest): void;
	/** Calls `stop` if a verdict on the request is reached while it is in progress; returns a function that removes the watch. */
	watch(request: QuarantinedRequest, stop: (verdict: Verdict) => void): () => void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

type Watcher = {readonly request: QuarantinedRequest; stop(verdict: Verdict): void};

const pruneMs = 5000;

export const createRequestQuarantine = ({peers, send, logger, metrics, random, nowMs}: RequestQuarantineOptions): RequestQuarantine => {
	const ledger = createCrashLedger();
	const brokenAttempts = createBrokenAttempts();
	const endedAnswers: EndedAnswers<QuarantinedRequest> = [];
	const watchers = new Set<Watcher>();

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
				stop(verdict);
			}
		}
	};

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
	};

	const recordDisconnect = (request: QuarantinedRequest, address: string, stage: AnswerStage, atMs: number): void => {
		const attempt = {
			fingerprint: request.fingerprint(), address, atMs, stage,
		};
		if (recordBrokenAttempt(brokenAttempts, attempt)) {
			recordOwn([attempt]);
		}
	};

	/** Takes the ended answers at an address for broken attempts, because the endpoint there has exited. */
	const breakEnded = (address: string): void => {
		for (const {request, atMs, stage} of takeExited(endedAnswers, address, nowMs())) {
			recordDisconnect(request, address, stage, atMs);
		}
	};

	const recordCompletion = (request: QuarantinedRequest, atMs: number): void => {
		if (!isKnown(request)) {
			return;
		}

		const clearance = {fingerprint: request.fingerprint(), atMs};
		const hadVerdict = ledger.verdicts.has(clearance.fingerprint);
		if (clearRequest(ledger, clearance, nowMs()) && hadVerdict) {
			exchange.broadcast({sightings: [], clearances: [clearance]});
		}
	};

	const completeEnded = (complete: ReadonlyArray<EndedAnswer<QuarantinedRequest>>): void => {
		for (const {request, atMs} of complete) {
			recordCompletion(request, atMs);
		}
	};

	const applyUpdate = ({sightings, condemned, clearances}: CrashUpdate): void => {
		for (const clearance of clearances) {
			clearRequest(ledger, clearance, nowMs());
		}

		recordSightings(sightings, false, new Set(condemned));
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
		verdictOn: request => isKnown(request) ? verdictOn(ledger, request.fingerprint(), nowMs()) : null,
		recordDisconnect(request, address, stage) {
			recordDisconnect(request, address, stage, nowMs());
		},
		recordConnectionEnd(request, {id, address}, stage) {
			const atMs = nowMs();
			if (hasJustExited(brokenAttempts, address, atMs)) {
				recordDisconnect(request, address, stage, atMs);
			} else {
				recordEndedAnswer(endedAnswers, {
					request, endpointId: id, address, atMs, stage,
				});
			}
		},
		recordAnswer(endpointId, sentAtMs) {
			completeEnded(takeAnswered(endedAnswers, endpointId, sentAtMs));
		},
		recordReport(address) {
			completeEnded(takeReported(endedAnswers, address, nowMs()));
		},
		recordExit(address) {
			breakEnded(address);
			recordOwn(confirmExit(brokenAttempts, address, nowMs()));
		},
		recordRestart(address) {
			breakEnded(address);
			recordOwn(confirmRestart(brokenAttempts, address, nowMs()));
		},
		recordCompletion(request) {
			recordCompletion(request, nowMs());
		},
		watch(request, stop) {
			const watcher = {request, stop};
			watchers.add(watcher);
			return () => {
				watchers.delete(watcher);
			};
		},
		receive: exchange.receive,
		close() {
			clearInterval(pruneTimer);
			exchange.close();
		},
	};
};
