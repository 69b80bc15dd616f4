import {createSwitchPermits, returnPermit, takePermit} from '@bitternpaddle/coordination';

export type PermitServiceOptions = {
	/** Number of a service's endpoints that are serving. */
	engineCount(serviceName: string): number;
	nowMs(): number;
};

/** Grants agents permits to take their engines out of service, in order of request. */
export type PermitService = {
	/** Resolves to whether `holder` got a permit, at once or within the maximum wait. */
	requestPermit(holder: string, serviceName: string): Promise<boolean>;
	releasePermit(holder: string): void;
	close(): void;
};

type PendingRequest = {readonly holder: string; readonly serviceName: string; readonly untilMs: number; answer(isGranted: boolean): void};

/**
 * How long a request is held before it is answered and the agent sends it again. A third
 * of the engines is out of service at once, so most of a fleet waits for most of a
 * rollout. Agents that polled every 0.1 s, trying each core host until one leads, would
 * send three thousand calls per second for a hundred engines.
 */
const maxWaitMs = 300;
/** Interval between checks for expired permits. */
const pollIntervalMs = 50;

export const createPermitService = ({engineCount, nowMs}: PermitServiceOptions): PermitService => {
	const permits = createSwitchPermits();
	let pendingRequests: PendingRequest[] = [];
	let timer: NodeJS.Timeout | null = null;
	let isClosed = false;

	const tryTakePermit = ({holder, serviceName}: Pick<PendingRequest, 'holder' | 'serviceName'>): boolean => takePermit(permits, {
		holder, serviceName, engineCount: engineCount(serviceName),
	}, nowMs());

	/** Answers requests that can be granted or have reached the maximum wait, in order of arrival. */
	const resolvePending = (): void => {
		const remaining: PendingRequest[] = [];
		for (const pending of pendingRequests) {
			const isGranted = !isClosed && tryTakePermit(pending);
			if (isGranted || isClosed || nowMs() >= pending.untilMs) {
				pending.answer(isGranted);
			} else {
				remaining.push(pending);
			}
		}

		pendingRequests = remaining;
		if (pendingRequests.length === 0 && timer !== null) {
			clearInterval(timer);
			timer = null;
		}
	};

	return {
		async requestPermit(holder, serviceName) {
			if (isClosed || tryTakePermit({holder, serviceName})) {
				return !isClosed;
			}

			return new Promise(resolve => {
				pendingRequests.push({
					holder, serviceName, untilMs: nowMs() + maxWaitMs, answer: resolve,
				});
				timer ??= setInterval(resolvePending, pollIntervalMs);
			});
		},
		releasePermit(holder) {
			returnPermit(permits, holder);
			resolvePending();
		},
		close() {
			isClosed = true;
			resolvePending();
		},
	};
};
