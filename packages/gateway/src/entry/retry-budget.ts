import {
	chargeLifeMs, createRetryCredit, creditLeft, earnCredit, returnCredit, takeCredit, type CreditCharge, type RetryCredit, type RetryTerms,
} from '@bitternpaddle/coordination';
import {maxRetriesPerCall, type RequestReport, type RetryGrant} from '../link/methods.js';
import {createLazyMap} from './lazy-map.js';

export type RetryBudgetOptions = {
	readonly terms: Pick<RetryTerms, 'share' | 'windowMs'>;
	/** Identifies this start of the process. */
	readonly startId: string;
	/** Core hosts that may grant further attempts, the preferred one first. */
	coreAddresses(): readonly string[];
	/** Requests grants of a core host; rejects if it does not answer in time. */
	requestGrant(address: string, serviceName: string, count: number): Promise<RetryGrant>;
	nowMs(): number;
};

/** A further attempt that may be sent. */
export type RetryCharge = {
	readonly source: 'own' | 'pool';
	readonly takenAtMs: number;
	/** What it took from this entry's own credit; `null` if it was granted. */
	readonly credit: CreditCharge | null;
};

/**
 * This entry's access to the budget of further attempts that all entries share. Without
 * that limit, failing endpoints would multiply each request, and the retries would
 * overload the remaining endpoints.
 */
export type RetryBudget = {
	/** Records a request of a caller. */
	recordRequest(serviceName: string): void;
	/** Takes one further attempt, from this entry's own credit or else from a core host; `null` if neither has one. */
	take(serviceName: string): Promise<RetryCharge | null>;
	/** Whether an attempt may still be sent on a charge. */
	isValid(charge: RetryCharge): boolean;
	/** Returns a charge on which nothing was sent. */
	release(charge: RetryCharge): void;
	/** Further attempts that this entry may make on its own, for all services. */
	creditLeft(): number;
	requestReport(): RequestReport;
	/** Forgets the services that are not listed. */
	retainOnly(serviceNames: readonly string[]): void;
};

type Waiter = (charge: RetryCharge | null) => void;
type ServiceBudget = {readonly credit: RetryCredit; requestCount: number; readonly waiters: Waiter[]; isDrawing: boolean; readonly exhaustedUntilMs: Map<string, number>};

/** How long a core host that did not answer is passed over. */
const unreachableMs = 1000;

export const createRetryBudget = ({terms, startId, coreAddresses, requestGrant, nowMs}: RetryBudgetOptions): RetryBudget => {
	const budgets = createLazyMap((): ServiceBudget => ({
		credit: createRetryCredit(terms), requestCount: 0, waiters: [], isDrawing: false, exhaustedUntilMs: new Map(),
	}));

	const requestFrom = async (address: string, serviceName: string, {waiters, exhaustedUntilMs}: ServiceBudget): Promise<void> => {
		const requestedAtMs = nowMs();
		try {
			const {grantedCount, retryAfterMs} = await requestGrant(address, serviceName, Math.min(waiters.length, maxRetriesPerCall));
			exhaustedUntilMs.set(address, nowMs() + retryAfterMs);
			for (const answer of waiters.splice(0, grantedCount)) {
				// The grant may be older than its arrival here, if this process was suspended.
				answer({source: 'pool', takenAtMs: requestedAtMs, credit: null});
			}
		} catch {
			exhaustedUntilMs.set(address, nowMs() + unreachableMs);
		}
	};

	/** Requests grants until every waiter has one or no core host is left to ask. */
	const draw = async (serviceName: string, budget: ServiceBudget): Promise<void> => {
		budget.isDrawing = true;
		while (budget.waiters.length > 0) {
			const address = coreAddresses().find(core => (budget.exhaustedUntilMs.get(core) ?? 0) <= nowMs());
			if (address === undefined) {
				break;
			}

			await requestFrom(address, serviceName, budget);
		}

		budget.isDrawing = false;
		for (const answer of budget.waiters.splice(0)) {
			answer(null);
		}
	};

	return {
		recordRequest(serviceName) {
			const budget = budgets.of(serviceName);
			budget.requestCount++;
			earnCredit(budget.credit, nowMs());
		},
		async take(serviceName) {
			const budget = budgets.of(serviceName);
			const credit = takeCredit(budget.credit, nowMs());
			if (credit !== null) {
				return {source: 'own', takenAtMs: nowMs(), credit};
			}

			return new Promise(resolve => {
				budget.waiters.push(resolve);
				if (!budget.isDrawing) {
					void draw(serviceName, budget);
				}
			});
		},
		isValid: ({takenAtMs}) => nowMs() - takenAtMs < chargeLifeMs,
		release({credit}) {
			if (credit !== null) {
				returnCredit(credit);
			}
		},
		creditLeft: () => budgets.entries().reduce((sum, [, {credit}]) => sum + Math.floor(creditLeft(credit, nowMs())), 0),
		requestReport: () => ({startId, counts: Object.fromEntries(budgets.entries().map(([serviceName, {requestCount}]) => [serviceName, requestCount]))}),
		retainOnly: budgets.retainOnly,
	};
};
