import type {Buffer} from 'node:buffer';
import {
	clearRequest, confirmEnded, confirmRestarted, createBrokenAttempts, createCrashLedger, isEmpty, mayBeKnown, noteBroken, pruneLedger, takeSightings, verdictOn,
	type AnswerStage, type BrokenAttempt, type CrashSighting, type Random, type RequestFingerprint, type RequestOutline, type Verdict,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createCrashExchange} from './crash-exchange.js';
import type {CrashNews} from './crash-news.js';

/** What the quarantine must know of a request. */
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
 * Keeps requests that end the endpoints that run them from all further endpoints.
 * What this entry sees it tells all others, and the other way round.
 */
export type RequestQuarantine = {
	/** Why a request must not be sent to an endpoint; `null` if it may. */
	verdictOn(request: QuarantinedRequest): Verdict | null;
	/** The endpoint's side ended the connection before the answer was whole. */
	noteBroken(request: QuarantinedRequest, address: string, stage: AnswerStage): void;
	/** Nothing listens at the endpoint's address any more, or its own host cannot reach it. */
	noteEnded(address: string): void;
	/** Another start of an endpoint runs at the address. */
	noteRestarted(address: string): void;
	/** An endpoint gave the request a whole answer. */
	noteCompleted(request: QuarantinedRequest): void;
	/** Calls `stop` if a verdict on the request comes while it is under way; returns what ends that. */
	watch(request: QuarantinedRequest, stop: (verdict: Verdict) => void): () => void;
	/** A datagram of another entry; `false` if it is of another kind. */
	hear(data: Buffer): boolean;
	close(): void;
};

type Watched = {readonly request: QuarantinedRequest; stop(verdict: Verdict): void};

const pruneMs = 5000;

export const createRequestQuarantine = ({peers, send, logger, metrics, random, nowMs}: RequestQuarantineOptions): RequestQuarantine => {
	const ledger = createCrashLedger();
	const broken = createBrokenAttempts();
	const watched = new Set<Watched>();

	const isKnown = (request: QuarantinedRequest): boolean => !isEmpty(ledger) && mayBeKnown(ledger, request.outline());

	const announceVerdict = (verdict: Verdict, isOwn: boolean): void => {
		const now = nowMs();
		logger.event('BP4029', {
			fingerprint: verdict.fingerprint, endpoints: verdict.evidence.map(({address}) => address), agesMs: verdict.evidence.map(({atMs}) => Math.round(now - atMs)),
			lastSeenBy: isOwn ? 'this entry' : 'another entry', untilMs: Math.round(verdict.untilMs - now),
		});
		metrics.count('quarantined_requests', 'Verdicts on requests that end endpoints.');
	};

	const stopWatched = (verdicts: readonly Verdict[]): void => {
		for (const {request, stop} of watched) {
			const verdict = isKnown(request) && verdicts.find(({fingerprint}) => fingerprint === request.fingerprint());
			if (verdict) {
				stop(verdict);
			}
		}
	};

	const take = (sightings: readonly CrashSighting[], isOwn: boolean, condemnedElsewhere?: ReadonlySet<RequestFingerprint>): readonly CrashSighting[] => {
		const news = takeSightings(ledger, sightings, nowMs(), condemnedElsewhere);
		for (const verdict of news.verdicts) {
			announceVerdict(verdict, isOwn);
		}

		if (news.verdicts.length > 0) {
			stopWatched(news.verdicts);
		}

		return news.sightings;
	};

	const takeOwn = (ended: readonly BrokenAttempt[]): void => {
		if (ended.length === 0) {
			return;
		}

		exchange.tell({sightings: take(ended, true), clearances: []});
	};

	const takeNews = ({sightings, condemned, clearances}: CrashNews): void => {
		for (const clearance of clearances) {
			clearRequest(ledger, clearance, nowMs());
		}

		take(sightings, false, new Set(condemned));
	};

	const exchange = createCrashExchange({
		ledger, peers, send, random, nowMs, onNews: takeNews,
	});
	const pruning = setInterval(() => {
		pruneLedger(ledger, nowMs());
	}, pruneMs);
	metrics.gauge('quarantine_verdicts', 'Requests that are sent to no endpoint.', () => ledger.verdicts.size);
	metrics.gauge('quarantine_ends', 'Ends of endpoints that requests may have caused.', () => ledger.ends.length);
	return {
		verdictOn: request => isKnown(request) ? verdictOn(ledger, request.fingerprint(), nowMs()) : null,
		noteBroken(request, address, stage) {
			const attempt = {
				fingerprint: request.fingerprint(), address, atMs: nowMs(), stage,
			};
			if (noteBroken(broken, attempt)) {
				takeOwn([attempt]);
			}
		},
		noteEnded(address) {
			takeOwn(confirmEnded(broken, address, nowMs()));
		},
		noteRestarted(address) {
			takeOwn(confirmRestarted(broken, address, nowMs()));
		},
		noteCompleted(request) {
			if (!isKnown(request)) {
				return;
			}

			const clearance = {fingerprint: request.fingerprint(), atMs: nowMs()};
			const hadVerdict = ledger.verdicts.has(clearance.fingerprint);
			if (clearRequest(ledger, clearance, nowMs()) && hadVerdict) {
				exchange.tell({sightings: [], clearances: [clearance]});
			}
		},
		watch(request, stop) {
			const entry = {request, stop};
			watched.add(entry);
			return () => {
				watched.delete(entry);
			};
		},
		hear: exchange.hear,
		close() {
			clearInterval(pruning);
			exchange.close();
		},
	};
};
