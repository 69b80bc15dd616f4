import type {Buffer} from 'node:buffer';
import {
	createLimitLedger, endpointIdIn, endpointStartOf, limitOf, limitsToShare, recordLimitAnswer, recordSharedLimit, pruneLimits, releaseLimits,
	type Announcement, type EndpointStart, type LimitChange, type LimitNotice, type PermitState, type Random, type SharedLimit,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import {chunk, samplePeers} from '../link/gossip.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createColdEndpoints, type ColdEndpointsOptions, type ColdNews} from './cold-endpoints.js';
import {decodeLimitMessage, encodeLimitMessage, type LimitMessage} from './limit-message.js';
import {createPermitExchange} from './permit-exchange.js';

/** The parts of an endpoint's answer that determine its limit. */
export type EndpointAnswer = {
	readonly announcement: Announcement;
	readonly notice: LimitNotice;
	/** Whether the endpoint ran the request. */
	readonly hasRun: boolean;
	/** When the request was sent. */
	readonly sentAtMs: number;
};

export type EndpointLimitsOptions = Pick<ColdEndpointsOptions, 'bounds' | 'coldStartOf' | 'evacuationEndedAtMs'> & {
	readonly selfAddress: string;
	/** The other entries; `null` while they are not known. */
	peers(): readonly string[] | null;
	send(data: Uint8Array, addresses: readonly string[]): void;
	/** Called when permits arrive that requests may wait for. */
	onGranted(): void;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Tracks the request rate limits that endpoints advertise in their answers, and those of
 * cold endpoints, and enforces them jointly with the other entries. If both apply to an
 * endpoint, a request needs a permit of each, so that the smaller one holds.
 */
export type EndpointLimits = {
	recordAnswer(answer: EndpointAnswer): void;
	/** Records what a core host reports about cold endpoints. */
	recordNews(news: ColdNews): void;
	/** Determines again which endpoints are cold, after the configuration changed. */
	refresh(): void;
	/** Requests per second accepted from all entries together; `null` if no limit is in force. */
	perSecondOf(announcement: Announcement): number | null;
	/** Whether the limit of the endpoint allows a request to be sent now. */
	stateOf(announcement: Announcement): PermitState;
	/** Whether any limit is in force. */
	hasLimits(): boolean;
	/** Requests permits for an endpoint that is at its limit, unless enough are held or a request is pending. */
	requestPermits(announcement: Announcement): void;
	/** Consumes a permit for a request that is sent to the endpoint. */
	usePermit(announcement: Announcement): void;
	/** Requests the known limits from other entries, once; does nothing until there are peers. */
	sync(): void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

const pruneMs = 5000;
/** Interval at which queued permit requests are granted; bounds the delay of a grant. */
const issueMs = 20;
/** Interval at which known limits are sent again, so that entries that missed them catch up. */
const repeatMs = 500;
const peersPerRepeat = 2;
const peersToSync = 3;
/** Limits in a datagram, at about 50 bytes each; keeps it within one packet. */
const maxLimitsPerDatagram = 20;
/** Limits in one repetition; the next one continues after them. */
const maxLimitsPerRepeat = 60;

const available: PermitState = {type: 'available'};

/** The state of an endpoint with two limits. */
const laterState = (a: PermitState, b: PermitState): PermitState => {
	if (a.type === 'available') {
		return b;
	}

	return b.type === 'available'
		? a
		: {
			type: 'limited', nextAtMs: Math.max(a.nextAtMs, b.nextAtMs), gapMs: Math.max(a.gapMs, b.gapMs), isCold: (a.isCold ?? false) || (b.isCold ?? false),
		};
};

export const createEndpointLimits = (options: EndpointLimitsOptions): EndpointLimits => {
	const {selfAddress, send, onGranted, logger, metrics, random, nowMs} = options;
	const peers = (): readonly string[] => options.peers() ?? [];
	const ledger = createLimitLedger();
	let hasSynced = false;
	let repeatedFrom = 0;
	/** Number of limits in force; 0 skips the checks for each request. */
	let limitedCount = 0;
	let issueTimer: NodeJS.Timeout | null = null;

	const sendMessage = (message: LimitMessage, addresses: readonly string[]): void => {
		if (addresses.length > 0) {
			send(encodeLimitMessage(message, nowMs()), addresses);
		}
	};

	const cold = createColdEndpoints({...options, send: sendMessage});

	const shareLimits = (limits: readonly SharedLimit[], addresses: readonly string[]): void => {
		for (const part of chunk(limits, maxLimitsPerDatagram)) {
			sendMessage({type: 'limits', limits: part}, addresses);
		}
	};

	const exchange = createPermitExchange({
		selfAddress, peers: options.peers, send: sendMessage, onGranted, random, nowMs,
		limitOf(start) {
			const known = ledger.limits.get(start);
			return known === undefined || known.perSecond === null ? null : {start, perSecond: known.perSecond, advertisedAtMs: known.receivedAtMs};
		},
		onIssuerChange({start, issuerAddress, isSilent}) {
			logger.event(isSilent ? 'BP4043' : 'BP4044', {endpointId: endpointIdIn(start), issuerAddress});
		},
		onQueued() {
			issueTimer ??= setInterval(issue, issueMs);
		},
	});

	const issue = (): void => {
		if (!exchange.issue()) {
			clearInterval(issueTimer ?? undefined);
			issueTimer = null;
		}
	};

	const countLimited = (): void => {
		limitedCount = [...ledger.limits.values()].filter(({perSecond}) => perSecond !== null).length;
	};

	const applyChange = ({start, previousPerSecond, previousSinceMs, known: {perSecond, receivedAtMs}}: LimitChange, source: 'answer' | 'entry' | 'release', address?: string): void => {
		countLimited();
		metrics.count('limit_changes', 'Limits that endpoints named, changed and lifted.');
		const fields = {
			endpointId: endpointIdIn(start), address, previousPerSecond, source, ageMs: Math.round(nowMs() - receivedAtMs),
		};
		if (perSecond === null) {
			exchange.remove(start);
			logger.event('BP4041', {...fields, limitedForMs: Math.round(nowMs() - previousSinceMs)});
			return;
		}

		if (previousPerSecond !== null && perSecond < previousPerSecond) {
			exchange.discard(start);
		}

		logger.event('BP4040', {...fields, perSecond});
	};

	const applySharedLimits = (limits: readonly SharedLimit[]): void => {
		for (const limit of limits) {
			const change = recordSharedLimit(ledger, limit);
			if (change !== null) {
				applyChange(change, 'entry');
			}
		}
	};

	const knownLimits = (start: EndpointStart): SharedLimit[] => {
		const known = ledger.limits.get(start);
		return known === undefined ? [] : [{start, perSecond: known.perSecond, advertisedAtMs: known.receivedAtMs}];
	};

	const release = (): void => {
		for (const change of releaseLimits(ledger, nowMs())) {
			applyChange(change, 'release');
			shareLimits(knownLimits(change.start), peers());
		}
	};

	const repeat = (): void => {
		release();
		const all = limitsToShare(ledger, nowMs());
		repeatedFrom = repeatedFrom < all.length ? repeatedFrom : 0;
		const part = all.slice(repeatedFrom, repeatedFrom + maxLimitsPerRepeat);
		repeatedFrom += part.length;
		shareLimits(part, samplePeers(peers(), peersPerRepeat, random));
	};

	const handleMessage = (message: LimitMessage): void => {
		switch (message.type) {
			case 'limits': {
				applySharedLimits(message.limits);
				break;
			}

			case 'sync': {
				shareLimits(limitsToShare(ledger, nowMs()), [message.entryAddress]);
				break;
			}

			case 'request': {
				const {start, perSecond} = message.limit;
				applySharedLimits([message.limit]);
				if (limitOf(ledger, start) !== perSecond) {
					shareLimits(knownLimits(start), [message.entryAddress]);
				}

				exchange.handleRequest(message);
				break;
			}

			case 'reply': {
				applySharedLimits([message.limit]);
				exchange.handleReply(message.limit.start, message.reply);
				break;
			}

			case 'coldRequest':
			case 'coldReturn':
			case 'coldReply': {
				cold.receive(message);
				break;
			}
		}
	};

	const hasLimits = (): boolean => limitedCount > 0 || cold.hasCold();
	const repeatTimer = setInterval(repeat, repeatMs);
	const pruneTimer = setInterval(() => {
		pruneLimits(ledger, nowMs());
		countLimited();
		exchange.prune();
	}, pruneMs);
	metrics.gauge('limited_endpoints', 'Endpoints that name a limit.', () => limitedCount);
	return {
		recordAnswer({announcement, notice, hasRun, sentAtMs}) {
			if (notice.type === 'unreadable') {
				logger.event('BP4042', {endpointId: announcement.id, address: announcement.address, text: notice.text.slice(0, 40)});
			}

			const start = endpointStartOf(announcement);
			const change = recordLimitAnswer(ledger, {
				start, notice, hasRun, sentAtMs,
			}, nowMs());
			if (change !== null) {
				applyChange(change, 'answer', announcement.address);
				shareLimits(knownLimits(start), peers());
			}
		},
		recordNews: cold.recordNews,
		refresh: cold.refresh,
		perSecondOf(announcement) {
			if (!hasLimits()) {
				return null;
			}

			const start = endpointStartOf(announcement);
			const limits = [limitOf(ledger, start), cold.perSecondOf(start)].filter(perSecond => perSecond !== null);
			return limits.length === 0 ? null : Math.min(...limits);
		},
		stateOf(announcement) {
			if (!hasLimits()) {
				return available;
			}

			const start = endpointStartOf(announcement);
			return laterState(exchange.state(start), cold.stateOf(start));
		},
		hasLimits,
		requestPermits(announcement) {
			const start = endpointStartOf(announcement);
			exchange.request(start);
			// A cold endpoint's permit expires soon, so it is requested once the other one is held.
			if (exchange.state(start).type === 'available') {
				cold.requestPermits(start);
			}
		},
		usePermit(announcement) {
			if (hasLimits()) {
				const start = endpointStartOf(announcement);
				exchange.use(start);
				cold.usePermit(start);
			}
		},
		sync() {
			if (hasSynced || peers().length === 0) {
				return;
			}

			hasSynced = true;
			sendMessage({type: 'sync', entryAddress: selfAddress}, samplePeers(peers(), peersToSync, random));
		},
		receive(data) {
			const message = decodeLimitMessage(data, nowMs());
			if (message === null) {
				return false;
			}

			handleMessage(message);
			return true;
		},
		close() {
			cold.close();
			clearInterval(repeatTimer);
			clearInterval(pruneTimer);
			clearInterval(issueTimer ?? undefined);
		},
	};
};
