import {
	createRetryPool, createVoterPart, currentPart, grantableRetries, grantRetries, pruneRetryPool, recordPooledRequests, recordVoters, type GrantRefusal, type RetryTerms, type VoterView,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {RequestReport, RetryGrant} from '../link/methods.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';

export type RetryGrantsOptions = {
	readonly terms: RetryTerms;
	/** Whether the whole system starts for the first time. */
	readonly isFirstStart: boolean;
	voterView(): VoterView;
	readonly logger: Logger;
	readonly metrics: Pick<GatewayMetrics, 'count' | 'gauge'>;
	nowMs(): number;
};

/** Grants further attempts to entries, from this core host's part of the budget that all entries share. */
export type RetryGrants = {
	/** Records the requests that an entry received since its last report. */
	recordReport(entryAddress: string, report: RequestReport): void;
	grant(serviceName: string, count: number): RetryGrant;
	/** Records the membership and removes expired counts; to be called at least every second. */
	tick(): void;
};

type Reported = {readonly startId: string; readonly counts: Map<string, number>; atMs: number};

/** Reports come with polls, which take up to 700 ms; the requests of a longer time could be older than the window. */
const maxReportGapMs = 2500;
const reportRetentionMs = 60_000;
/** When an entry that got less than it requested may ask again. */
const exhaustedMs = 500;

export const createRetryGrants = ({terms, isFirstStart, voterView, logger, metrics, nowMs}: RetryGrantsOptions): RetryGrants => {
	const pool = createRetryPool(terms);
	const part = createVoterPart(terms, {isFirstStart});
	const reports = new Map<string, Reported>();
	let refusal: GrantRefusal | null = null;

	const logRefusal = (current: GrantRefusal | null): void => {
		if (current !== refusal) {
			refusal = current;
			logger.event('BP4073', {isGranting: current === null, reason: current});
		}
	};

	const tick = (): void => {
		const now = nowMs();
		recordVoters(part, voterView(), now);
		pruneRetryPool(pool, now);
		for (const [address, {atMs}] of reports) {
			if (now - atMs > reportRetentionMs) {
				reports.delete(address);
			}
		}
	};

	const partNow = (): number => {
		const current = currentPart(part, voterView(), nowMs());
		return typeof current === 'number' ? current : 0;
	};

	metrics.gauge('retry_part', 'Part of the granted retry budget that this core host may grant; 0 while it may not.', partNow);
	metrics.gauge('retries_grantable', 'Further attempts that this core host may grant now, for all services.', () => {
		const current = partNow();
		return [...pool.services.keys()].reduce((sum, name) => sum + grantableRetries(pool, name, current, nowMs()), 0);
	});
	return {
		recordReport(entryAddress, {startId, counts}) {
			const now = nowMs();
			const known = reports.get(entryAddress);
			if (known?.startId !== startId || now - known.atMs > maxReportGapMs) {
				reports.set(entryAddress, {startId, counts: new Map(Object.entries(counts)), atMs: now});
				return;
			}

			known.atMs = now;
			for (const [serviceName, count] of Object.entries(counts)) {
				const knownCount = known.counts.get(serviceName) ?? 0;
				// Polls through different core hosts may arrive out of order.
				if (count > knownCount) {
					known.counts.set(serviceName, count);
					recordPooledRequests(pool, serviceName, count - knownCount, now);
				}
			}
		},
		grant(serviceName, count) {
			const now = nowMs();
			const view = voterView();
			recordVoters(part, view, now);
			const current = currentPart(part, view, now);
			logRefusal(typeof current === 'number' ? null : current);
			const grantedCount = typeof current === 'number' ? grantRetries(pool, serviceName, {count, part: current}, now) : 0;
			metrics.count('retries_granted', 'Further attempts that were granted to entries.', grantedCount);
			return {grantedCount, retryAfterMs: grantedCount < count ? exhaustedMs : 0};
		},
		tick,
	};
};
