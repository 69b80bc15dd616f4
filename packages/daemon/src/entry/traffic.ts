import {
	cancelRequest, changedHostIds, chooseEndpoint, createAdmission, createRandom, createRouter, finishRequest, hasEndpoint, hasRoom, noteLoadReport, offerRequest, returnToQueue,
	setEntries, takeRequest, tickAdmission, tickRouter, updateRouter, waitingFor,
	type AdmissionOptions, type AdmissionRefusal, type Choice, type Endpoint, type RouteTarget, type ShareAnswer, type ShareRequest,
} from '@bitternpaddle/coordination';
import {notRun} from '@bitternpaddle/state';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {verdictOf} from './admission-verdict.js';
import type {Call} from './call.js';
import {nameOf} from './target-names.js';
import {createLimitShares, type EntryAddresses} from './limit-shares.js';
import {createRoutedAttempt} from './routed-attempt.js';
import type {
	Admission, RoutedAttempt, Routing, Turn,
} from './routing.js';
import {tellNotice} from './tell-notice.js';

export type TrafficOptions = {
	readonly entryId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly limits: AdmissionOptions;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	/** All entries that control knows. */
	listEntries(): Promise<EntryAddresses>;
	/** Asks another entry for a part of its share of the limit. */
	askShares(address: string, request: ShareRequest): Promise<ShareAnswer>;
	/** Asks a host how many requests run there. */
	askLoad(address: string): Promise<number>;
};

/** Admission and routing of one entry. */
export type Traffic = Routing & {
	admit(call: Call): Promise<Admission>;
	/** Answers another entry that needs more of the limit. */
	answerShares(request: ShareRequest): ShareAnswer;
	close(): void;
};

type Waiter = {readonly call: Call; readonly tried: ReadonlySet<string>; resolve(turn: Turn): void};

/** A call between its admission and its end. */
type Admitted = {
	/** Taken for the call at its turn, until the call comes for it. */
	reserved: {readonly choice: Choice; readonly attempt: RoutedAttempt} | null;
	hasRun: boolean;
};

const tickMs = 100;

/** Turns the entry's calls, ticks and reports into events of admission and router, and their decisions into waiting and starting. */
export const createTraffic = (options: TrafficOptions): Traffic => {
	const {entryId, zoneId, regionId, limits, logger, metrics, listEntries, askShares, askLoad} = options;
	const router = createRouter({
		entryId, zoneId, regionId, random: createRandom(Math.floor(Math.random() * 2_147_483_647)),
	});
	const admission = createAdmission(limits);
	const shares = createLimitShares({
		entryId, admission, listEntries, askShares,
	});
	const waiters = new Map<string, Waiter>();
	const admitted = new Map<string, Admitted>();
	const targets = new Map<string, RouteTarget>();

	const probe = async ({hostId, address}: Endpoint): Promise<void> => {
		const askedAtMs = performance.now();
		try {
			const running = await askLoad(address);
			const nowMs = performance.now();
			noteLoadReport(router, hostId, {running, ageMs: nowMs - askedAtMs}, nowMs);
		} catch {
			// A host that cannot be asked shows it at the next request.
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
		// Not at its end: that is when the caller has all of it, and by then the
		// call is released. Admission would take each answer for one that never ran.
		onBegin() {
			const record = admitted.get(call.requestId);
			if (record !== undefined) {
				record.hasRun = true;
			}
		},
		onEnd() {
			pump(nameOf(call.target));
		},
	});

	/** Lets calls start while their target has room, in fair order. */
	const pump = (key: string): void => {
		const target = targets.get(key);
		if (target === undefined) {
			return;
		}

		const canGoOn = (): boolean => hasRoom(router, target) || !hasEndpoint(router, target);
		// At most one pass over what waits: a call that finds no place goes back.
		for (let left = waitingFor(admission, key); left > 0 && canGoOn(); left--) {
			const {request, refused} = takeRequest(admission, key, performance.now());
			refuseAll(refused);
			if (request === null) {
				return;
			}

			placeWaiter(request.requestId);
		}
	};

	const placeWaiter = (requestId: string): void => {
		const {call, tried, resolve} = waiters.get(requestId)!;
		const choice = chooseNow(call, tried);
		if (choice.type === 'busy') {
			returnToQueue(admission, requestId);
			return;
		}

		// The endpoint is taken here and now: the call itself goes on a little
		// later, and until then the others of this pass would take the same room.
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

	const waitForTurn = async (call: Call, tried: ReadonlySet<string>): Promise<Turn> => new Promise(resolve => {
		const {requestId, abort: {signal}} = call;
		const leave = (): void => {
			if (waiters.delete(requestId)) {
				cancelRequest(admission, requestId);
				resolve({type: 'refused', verdict: notRun(signal.reason === 'deadline' ? 'the deadline passed' : 'nobody waits for the answer any more')});
			}
		};

		waiters.set(requestId, {
			call, tried,
			resolve(turn) {
				signal.removeEventListener('abort', leave);
				resolve(turn);
			},
		});
		signal.addEventListener('abort', leave);
		if (signal.aborted) {
			leave();
		}

		pump(nameOf(call.target));
	});

	const requeue = async (call: Call, tried: ReadonlySet<string>): Promise<Turn> => {
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
			tellNotice(notice, {logger, metrics});
		}

		refuseAll(tickAdmission(admission, nowMs));
		shares.tick(nowMs);
		setEntries(router, shares.entryIds(), nowMs);
		for (const key of targets.keys()) {
			pump(key);
			metrics?.gauge('entry.waiting', waitingFor(admission, key), {target: key});
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
				// The attempt itself tells an unknown target from one that is not ready.
				return {type: 'admitted', release: () => undefined};
			}

			const key = nameOf(target);
			targets.set(key, target);
			const offered = offerRequest(admission, {
				requestId, teamId, target: key, cost, priority, deadlineAtMs, deadlineFor: isStream ? 'begin' : 'end',
			}, performance.now());
			const turn: Turn = offered.type === 'refused' ? {type: 'refused', verdict: verdictOf(offered)} : await waitForTurn(call, new Set());
			if (turn.type === 'refused') {
				release(requestId);
				metrics?.increment('entry.refused', {teamId});
				return turn;
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
