import {
	cancelRequest, changedHostIds, chooseEndpoint, createAdmission, createRandom, createRouter, finishRequest, hasEndpoint, hasSpareSlots, recordLoadReport, offerRequest, returnToQueue,
	setEntries, dequeueRequest, tickAdmission, tickRouter, updateRouter, waitingCount,
	type AdmissionOptions, type AdmissionRefusal, type Choice, type Endpoint, type RouteTarget, type ShareAnswer, type ShareRequest,
} from '@bitternpaddle/coordination';
import {notRun} from '@bitternpaddle/state';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {verdictOf} from './admission-verdict.js';
import type {Call} from './call.js';
import {targetNameOf} from './target-names.js';
import {createLimitShares, type EntryAddresses} from './limit-shares.js';
import {createRoutedAttempt} from './routed-attempt.js';
import type {
	Admission, RoutedAttempt, Routing, RoutingResult,
} from './routing.js';
import {reportNotice} from './report-notice.js';

export type TrafficOptions = {
	readonly entryId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly limits: AdmissionOptions;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	/** Lists all entries that control knows. */
	listEntries(): Promise<EntryAddresses>;
	/** Requests part of another entry's share of the limit. */
	requestShares(address: string, request: ShareRequest): Promise<ShareAnswer>;
	/** Requests the number of requests that run at a host. */
	requestLoad(address: string): Promise<number>;
};

/** Admission and routing of one entry. */
export type Traffic = Routing & {
	admit(call: Call): Promise<Admission>;
	/** Answers another entry's request for a larger share of the limit. */
	answerShares(request: ShareRequest): ShareAnswer;
	close(): void;
};

type Waiter = {readonly call: Call; readonly tried: ReadonlySet<string>; resolve(result: RoutingResult): void};

/** State of a call between its admission and its release. */
type Admitted = {
	/** Endpoint slot reserved for the call when its turn came, until the call uses it. */
	reserved: {readonly choice: Choice; readonly attempt: RoutedAttempt} | null;
	hasRun: boolean;
};

const tickMs = 100;

/** Connects the entry's calls, timer ticks and load reports to admission and the router, and queues or starts calls as these decide. */
export const createTraffic = (options: TrafficOptions): Traffic => {
	const {entryId, zoneId, regionId, limits, logger, metrics, listEntries, requestShares, requestLoad} = options;
	const router = createRouter({
		entryId, zoneId, regionId, random: createRandom(Math.floor(Math.random() * 2_147_483_647)),
	});
	const admission = createAdmission(limits);
	const shares = createLimitShares({
		entryId, admission, listEntries, requestShares,
	});
	const waiters = new Map<string, Waiter>();
	const admitted = new Map<string, Admitted>();
	const targets = new Map<string, RouteTarget>();

	const probe = async ({hostId, address}: Endpoint): Promise<void> => {
		const requestedAtMs = performance.now();
		try {
			const running = await requestLoad(address);
			const nowMs = performance.now();
			recordLoadReport(router, hostId, {running, ageMs: nowMs - requestedAtMs}, nowMs);
		} catch {
			// If the host is unreachable, the next request to it will fail and be recorded.
		}
	};

	const chooseNow = ({target, prefixKey}: Call, tried: ReadonlySet<string>): Choice => {
		const choice = chooseEndpoint(router, {target, tried, prefixKey}, performance.now());
		for (const endpoint of choice.type === 'chosen' ? choice.probes : []) {
			void probe(endpoint);
		}

		return choice;
	};

	const startAttempt = (call: Call, endpoint: Endpoint): RoutedAttempt => createRoutedAttempt({
		router, endpoint,
		// Set when the answer begins, not when it ends: it ends once the caller has
		// received all of it, and by then the call is released, so that admission
		// would treat every answered call as one that never ran.
		onBegin() {
			const record = admitted.get(call.requestId);
			if (record !== undefined) {
				record.hasRun = true;
			}
		},
		onEnd() {
			dispatchQueued(targetNameOf(call.target));
		},
	});

	/** Starts queued calls in fair order while their target has spare slots. */
	const dispatchQueued = (key: string): void => {
		const target = targets.get(key);
		if (target === undefined) {
			return;
		}

		const canDispatch = (): boolean => hasSpareSlots(router, target) || !hasEndpoint(router, target);
		// At most one pass over the queue: a call that finds no free endpoint returns to it.
		for (let remaining = waitingCount(admission, key); remaining > 0 && canDispatch(); remaining--) {
			const {request, refused} = dequeueRequest(admission, key, performance.now());
			refuseAll(refused);
			if (request === null) {
				return;
			}

			dispatchWaiter(request.requestId);
		}
	};

	const dispatchWaiter = (requestId: string): void => {
		const {call, tried, resolve} = waiters.get(requestId)!;
		const choice = chooseNow(call, tried);
		if (choice.type === 'busy') {
			returnToQueue(admission, requestId);
			return;
		}

		// The slot is reserved synchronously: the call itself resumes a little
		// later, and until then the other calls of this pass would use the same slot.
		const reserved = choice.type === 'chosen' ? {choice, attempt: startAttempt(call, choice.endpoint)} : null;
		admitted.set(requestId, {reserved, hasRun: admitted.get(requestId)?.hasRun ?? false});
		waiters.delete(requestId);
		resolve(choice);
	};

	const refuseAll = (refusals: readonly AdmissionRefusal[]): void => {
		for (const refusal of refusals) {
			waiters.get(refusal.requestId)?.resolve({type: 'refused', verdict: verdictOf(refusal)});
			waiters.delete(refusal.requestId);
		}
	};

	const waitForTurn = async (call: Call, tried: ReadonlySet<string>): Promise<RoutingResult> => new Promise(resolve => {
		const {requestId, abort: {signal}} = call;
		const cancel = (): void => {
			if (waiters.delete(requestId)) {
				cancelRequest(admission, requestId);
				resolve({type: 'refused', verdict: notRun(signal.reason === 'deadline' ? 'the deadline passed' : 'the caller no longer waits for the answer')});
			}
		};

		waiters.set(requestId, {
			call, tried,
			resolve(result) {
				signal.removeEventListener('abort', cancel);
				resolve(result);
			},
		});
		signal.addEventListener('abort', cancel);
		if (signal.aborted) {
			cancel();
		}

		dispatchQueued(targetNameOf(call.target));
	});

	const requeue = async (call: Call, tried: ReadonlySet<string>): Promise<RoutingResult> => {
		if (!admitted.has(call.requestId)) {
			return {type: 'busy'};
		}

		returnToQueue(admission, call.requestId);
		return waitForTurn(call, tried);
	};

	const release = (requestId: string): void => {
		const record = admitted.get(requestId);
		admitted.delete(requestId);
		record?.reserved?.attempt.end('abandoned');
		finishRequest(admission, requestId, {hasRun: record?.hasRun ?? false}, performance.now());
	};

	const tick = (): void => {
		const nowMs = performance.now();
		for (const notice of tickRouter(router, nowMs)) {
			reportNotice(notice, {logger, metrics});
		}

		refuseAll(tickAdmission(admission, nowMs));
		shares.tick(nowMs);
		setEntries(router, shares.entryIds(), nowMs);
		for (const key of targets.keys()) {
			dispatchQueued(key);
			metrics?.gauge('entry.waiting', waitingCount(admission, key), {target: key});
		}
	};

	const timer = setInterval(tick, tickMs);
	timer.unref();
	return {
		revision: () => router.revision,
		update(catalog, changes) {
			const nowMs = performance.now();
			updateRouter(router, catalog, changes === null ? null : changedHostIds(changes), nowMs);
			shares.setTeams(new Map(Object.entries(catalog.teams).map(([teamId, {share}]) => [teamId, share])), nowMs);
		},
		async choose(call, tried) {
			const reserved = admitted.get(call.requestId)?.reserved;
			if (reserved !== null && reserved !== undefined) {
				return reserved.choice;
			}

			const choice = chooseNow(call, tried);
			return choice.type === 'busy' ? requeue(call, tried) : choice;
		},
		requeue,
		start(call, endpoint) {
			const record = admitted.get(call.requestId);
			const attempt = record?.reserved?.attempt;
			if (record === undefined || attempt === undefined) {
				return startAttempt(call, endpoint);
			}

			record.reserved = null;
			return attempt;
		},
		async admit(call) {
			const {requestId, target, teamId, cost, priority, deadlineAtMs, isStream} = call;
			if (!hasEndpoint(router, target)) {
				// The attempt itself distinguishes an unknown target from one that is not ready.
				return {type: 'admitted', release: () => undefined};
			}

			const key = targetNameOf(target);
			targets.set(key, target);
			const offered = offerRequest(admission, {
				requestId, teamId, target: key, cost, priority, deadlineAtMs, deadlineFor: isStream ? 'begin' : 'end',
			}, performance.now());
			const result: RoutingResult = offered.type === 'refused' ? {type: 'refused', verdict: verdictOf(offered)} : await waitForTurn(call, new Set());
			if (result.type === 'refused') {
				release(requestId);
				metrics?.increment('entry.refused', {teamId});
				return result;
			}

			return {
				type: 'admitted', release() {
					release(requestId);
				},
			};
		},
		answerShares: request => shares.answer(request),
		close() {
			clearInterval(timer);
		},
	};
};
