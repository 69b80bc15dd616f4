import {
	coldPeriodOf, endpointIdIn, endpointStartOf, isLaterStart, type AgedAnnouncement, type Announcement, type ColdBounds, type ColdCause, type EndpointStart, type PermitState,
} from '@bitternpaddle/coordination';
import type {ColdStart} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createColdExchange, type ColdMessage} from './cold-exchange.js';

export type ColdEndpointsOptions = {
	readonly selfAddress: string;
	readonly bounds: ColdBounds;
	/** The cold start of a service; `null` if its endpoints are not limited after a start. */
	coldStartOf(serviceName: string): ColdStart | null;
	/** When the evacuation of a zone ended; `null` if it was not evacuated. */
	evacuationEndedAtMs(zoneId: string): number | null;
	send(message: ColdMessage, addresses: readonly string[]): void;
	/** Called when permits arrive that requests may wait for. */
	onGranted(): void;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	nowMs(): number;
};

/** What a watch result of a core host says about cold endpoints. */
export type ColdNews = {
	readonly announcements: readonly AgedAnnouncement[];
	/** The other entries; `null` if the result has no roster. */
	readonly peers: readonly string[] | null;
	/** When the core host was confirmed to hold all acknowledged documents; `null` if it is not. */
	readonly confirmedAtMs: number | null;
};

/** The endpoints that are cold, and the permits for requests to them. */
export type ColdEndpoints = {
	recordNews(news: ColdNews): void;
	/** Determines again which endpoints are cold, after the configuration changed. */
	refresh(): void;
	/** Whether any endpoint is cold. */
	hasCold(): boolean;
	/** Requests per second accepted from all entries together; `null` if the endpoint is warm. */
	perSecondOf(start: EndpointStart): number | null;
	stateOf(start: EndpointStart): PermitState;
	requestPermits(start: EndpointStart): void;
	/** Consumes a permit for a request that is sent to the endpoint. */
	usePermit(start: EndpointStart): void;
	receive(message: ColdMessage): void;
	close(): void;
};

type Tracked = {readonly announcement: Announcement; readonly madeAtMs: number};
type Period = {readonly address: string; readonly perSecond: number; readonly sinceMs: number; untilMs: number; cause: ColdCause; sentCount: number};

/** Interval at which queued permit requests are granted and unused permits returned; bounds the delay of a grant. */
const tickMs = 10;
/** Interval at which ended cold periods are removed; until then they cost a lookup for each request. */
const sweepMs = 200;
/** Endpoints without an announcement for this long are removed; announcements are forwarded at least every 5 s. */
const retentionMs = 60_000;

const available: PermitState = {type: 'available'};

export const createColdEndpoints = (options: ColdEndpointsOptions): ColdEndpoints => {
	const {selfAddress, bounds, coldStartOf, evacuationEndedAtMs, send, onGranted, logger, metrics, nowMs} = options;
	const tracked = new Map<string, Tracked>();
	const periods = new Map<EndpointStart, Period>();
	let tickTimer: NodeJS.Timeout | null = null;

	const perSecondOf = (start: EndpointStart): number | null => {
		const period = periods.get(start);
		return period === undefined || period.untilMs <= nowMs() ? null : period.perSecond;
	};

	const exchange = createColdExchange({
		selfAddress, bounds, send, perSecondOf, onGranted, nowMs,
		onIssuerChange({start, issuerAddress, isSilent}) {
			logger.event(isSilent ? 'BP4043' : 'BP4044', {endpointId: endpointIdIn(start), issuerAddress, isCold: true});
		},
		onWithheld(start, reason) {
			logger.event('BP4058', {endpointId: endpointIdIn(start), isWithheld: reason !== null, reason});
		},
		onWork() {
			tickTimer ??= setInterval(tick, tickMs);
		},
		onUnused(count) {
			metrics.count('cold_permits_unused', 'Permits for cold endpoints that expired unused.', count);
		},
	});

	const tick = (): void => {
		if (!exchange.tick()) {
			clearInterval(tickTimer ?? undefined);
			tickTimer = null;
		}
	};

	const endPeriod = (start: EndpointStart, {address, sinceMs, sentCount}: Period): void => {
		periods.delete(start);
		exchange.remove(start);
		logger.event('BP4057', {
			endpointId: endpointIdIn(start), address, coldMs: Math.round(nowMs() - sinceMs), sentCount,
		});
	};

	const startPeriod = (start: EndpointStart, address: string, perSecond: number, {untilMs, cause}: {readonly untilMs: number; readonly cause: ColdCause}): void => {
		const sinceMs = nowMs();
		periods.set(start, {
			address, perSecond, sinceMs, untilMs, cause, sentCount: 0,
		});
		metrics.count('cold_starts', 'Times that an endpoint became cold.');
		logger.event('BP4056', {
			endpointId: endpointIdIn(start), address, perSecond, cause, coldForMs: Math.round(untilMs - sinceMs),
		});
	};

	const refreshOne = ({announcement, madeAtMs}: Tracked): void => {
		const {serviceName, zoneId, address, coldForMs = 0} = announcement;
		const start = endpointStartOf(announcement);
		const coldStart = coldStartOf(serviceName);
		const period = coldPeriodOf({
			coldStart, announcement: {coldForMs, madeAtMs}, evacuationEndedAtMs: evacuationEndedAtMs(zoneId), nowMs: nowMs(),
		});
		const known = periods.get(start);
		if (period === null || coldStart === null) {
			if (known !== undefined) {
				endPeriod(start, known);
			}
		} else if (known?.perSecond === coldStart.perSecond) {
			known.untilMs = period.untilMs;
			known.cause = period.cause;
		} else {
			startPeriod(start, address, coldStart.perSecond, period);
		}
	};

	const refresh = (): void => {
		for (const endpoint of tracked.values()) {
			refreshOne(endpoint);
		}
	};

	const forget = (id: string, {announcement}: Tracked): void => {
		tracked.delete(id);
		const start = endpointStartOf(announcement);
		const period = periods.get(start);
		if (period !== undefined) {
			endPeriod(start, period);
		}
	};

	const record = ({ageMs, ...announcement}: AgedAnnouncement): void => {
		const known = tracked.get(announcement.id);
		if (known !== undefined) {
			const isLater = isLaterStart(known.announcement, announcement);
			if (!isLater && (isLaterStart(announcement, known.announcement) || announcement.sequence <= known.announcement.sequence)) {
				return;
			}

			if (isLater) {
				forget(announcement.id, known);
			}
		}

		tracked.set(announcement.id, {announcement, madeAtMs: nowMs() - ageMs});
	};

	const sweep = (): void => {
		for (const [start, period] of periods) {
			if (period.untilMs <= nowMs()) {
				endPeriod(start, period);
			}
		}

		for (const [id, endpoint] of tracked) {
			if (nowMs() - endpoint.madeAtMs > retentionMs) {
				forget(id, endpoint);
			}
		}

		exchange.prune();
	};

	const sweepTimer = setInterval(sweep, sweepMs);
	metrics.gauge('cold_endpoints', 'Endpoints that are cold and accept a limited number of requests.', () => periods.size);
	return {
		recordNews({announcements, peers, confirmedAtMs}) {
			if (peers !== null) {
				exchange.recordPeers(peers);
			}

			if (confirmedAtMs !== null) {
				exchange.recordConfirmation(confirmedAtMs);
			}

			for (const announcement of announcements) {
				record(announcement);
			}

			refresh();
		},
		refresh,
		hasCold: () => periods.size > 0,
		perSecondOf,
		stateOf: start => periods.size === 0 ? available : exchange.state(start),
		requestPermits: exchange.request,
		usePermit(start) {
			const period = periods.get(start);
			if (period !== undefined && period.untilMs > nowMs()) {
				exchange.use(start);
				period.sentCount++;
				metrics.count('cold_requests', 'Requests sent to cold endpoints.');
			}
		},
		receive: exchange.receive,
		close() {
			clearInterval(sweepTimer);
			clearInterval(tickTimer ?? undefined);
		},
	};
};
