import {
	createLimitLedger, endpointStartOf, limitOf, noteLimitAnswer, pruneLimits, type Announcement, type LimitChange, type LimitNotice,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';

/** The parts of an endpoint's answer that determine its limit. */
export type EndpointAnswer = {
	readonly announcement: Announcement;
	readonly notice: LimitNotice;
	/** Whether the endpoint ran the request. */
	readonly hasRun: boolean;
	/** When the request was sent. */
	readonly sentAtMs: number;
};

export type EndpointLimitsOptions = {
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	nowMs(): number;
};

/** Tracks and logs the request rate limits that endpoints advertise in their answers. */
export type EndpointLimits = {
	noteAnswer(answer: EndpointAnswer): void;
	/** Requests per second accepted from all entries together; `null` if no limit is in force. */
	perSecondOf(announcement: Announcement): number | null;
	close(): void;
};

const pruneMs = 5000;

export const createEndpointLimits = ({logger, metrics, nowMs}: EndpointLimitsOptions): EndpointLimits => {
	const ledger = createLimitLedger();

	const logChange = ({id, address}: Announcement, {previousPerSecond, previousSinceMs, known: {perSecond}}: LimitChange): void => {
		metrics.count('limit_changes', 'Limits that endpoints named, changed and lifted.');
		if (perSecond === null) {
			logger.event('BP4041', {
				endpointId: id, address, previousPerSecond, limitedForMs: Math.round(nowMs() - previousSinceMs),
			});
		} else {
			logger.event('BP4040', {
				endpointId: id, address, perSecond, previousPerSecond,
			});
		}
	};

	const pruning = setInterval(() => {
		pruneLimits(ledger, nowMs());
	}, pruneMs);
	metrics.gauge('limited_endpoints', 'Endpoints that name a limit.', () => [...ledger.limits.values()].filter(({perSecond}) => perSecond !== null).length);
	return {
		noteAnswer({announcement, notice, hasRun, sentAtMs}) {
			if (notice.type === 'unreadable') {
				logger.event('BP4042', {endpointId: announcement.id, address: announcement.address, text: notice.text.slice(0, 40)});
			}

			const change = noteLimitAnswer(ledger, {
				start: endpointStartOf(announcement), notice, hasRun, sentAtMs,
			}, nowMs());
			if (change !== null) {
				logChange(announcement, change);
			}
		},
		perSecondOf: announcement => limitOf(ledger, endpointStartOf(announcement)),
		close() {
			clearInterval(pruning);
		},
	};
};
