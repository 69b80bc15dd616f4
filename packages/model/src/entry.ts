import {
	createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createPriorityDemand, createRetryPromises, createSpareCapacity, createStartShare, nextStep, recordArrival,
	recordDemand, recordObjective, recordStartDelay, requestWorkMs,
	compareWaitPlaces, prefillMs, recordSlowdown, strictestObjectiveMs, urgencyOf, waitPlaceOf,
	type Candidate, type NextStep, type PriorityDemand, type Random, type RoomView, type UnplacedRequest, type ServiceDemand, type WaitPlace, type WaitReason,
} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import {modelVersion, type EngineWork, type ModelEngine} from './engine.js';
import type {Timeline} from './timeline.js';

/** A caller's request as an entry receives it. */
export type EntryRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly teamName: string | null;
	readonly routeName: string;
	readonly objectiveMs: number;
	readonly deadlineAtMs: number;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly hasComeBack: boolean;
	onFirstToken(): void;
	onFinished(): void;
	onAborted(): void;
	onRefused(retryAfterMs: number, heldMs: number): void;
};

/** Simulated entry: the production placement code, driven by a model of the entry's loop. */
export type ModelEntry = {
	readonly zoneId: string;
	readonly candidates: ReadonlyMap<string, Candidate>;
	readonly priorityDemand: PriorityDemand;
	serve(request: EntryRequest): void;
};

export type EntryOptions = {
	readonly zoneId: string;
	readonly engines: readonly ModelEngine[];
	readonly profile: EngineProfile;
	readonly entryCount: number;
	/** The priorities that requests can have, most urgent first. */
	readonly priorities: readonly number[];
	readonly random: Random;
	readonly timeline: Timeline;
	readonly oneWayLatencyMs: (zoneId: string) => number;
	readonly policy: EntryPolicy;
};

/** The decisions on requests that can be replaced in a simulation. */
export type EntryPolicy = {
	readonly step: typeof nextStep;
	/** Priority of a request in an engine's queue; 0 starts first. */
	readonly urgency: typeof urgencyOf;
};

/** The production policy. */
export const productPolicy: EntryPolicy = {step: nextStep, urgency: urgencyOf};

type WaitingRequest = {readonly unplaced: UnplacedRequest; readonly request: EntryRequest; readonly place: WaitPlace};

/** Interval at which an entry tries again to place its waiting requests. */
const recheckIntervalMs = 40;

export const createModelEntry = ({zoneId, engines, profile, entryCount, priorities, random, timeline, oneWayLatencyMs, policy}: EntryOptions): ModelEntry => {
	const enginesById = new Map(engines.map(engine => [engine.id, engine]));
	const candidates = new Map(engines.map((engine): [string, Candidate] => [engine.id, {
		announcement: {
			id: engine.id, serviceName: 's', address: engine.id, zoneId: engine.zoneId, slots: profile.slots, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
		},
		// Reports from before the simulated time have shown the weights, also at entries that get no reports.
		load: {...createEndpointLoad(), wholeVersion: modelVersion}, health: createEndpointHealth(),
	}]));
	const candidateList = [...candidates.values()];
	const arrivalRate = createArrivalRate();
	const objectives = createObjectiveMix();
	const spareSlots = createSpareCapacity();
	const startShare = createStartShare();
	const priorityDemand = createPriorityDemand();
	const room: RoomView | null = priorities.length < 2 ? null : {priorities, demand: priorityDemand, promises: createRetryPromises()};
	let heldCount = 0;
	let waiting: WaitingRequest[] = [];
	let isRecheckScheduled = false;
	let recheckNumber = 0;
	let lastKey = 0;

	const forCapacity = new Set<WaitPlace>();

	const demand = (place: WaitPlace): ServiceDemand => ({
		sendRate: arrivalRate, objectives, spareCapacity: spareSlots, startShare: startShare.share, heldCount, queuedCount: 0,
		capacityAheadCount: [...forCapacity].filter(other => other !== place && other.rank <= place.rank).length,
	});

	const send = (request: EntryRequest, {receivedAtMs}: UnplacedRequest, {placement: {candidate, expectedMs}}: Extract<NextStep, {type: 'send'}>): void => {
		const {load, announcement} = candidate;
		const engine = enginesById.get(announcement.id)!;
		const nowMs = timeline.nowMs();
		lastKey++;
		const key = lastKey;
		recordArrival(arrivalRate, nowMs);
		load.outstanding++;
		load.awaiting.set(key, {promptTokens: request.promptTokens, sentAtMs: nowMs, expectedMs});
		const latencyMs = oneWayLatencyMs(announcement.zoneId);
		const finish = (notify: () => void): void => {
			timeline.after(latencyMs, () => {
				load.outstanding--;
				load.awaiting.delete(key);
				notify();
			});
		};

		const work: EngineWork = {
			promptTokens: request.promptTokens, answerTokens: request.answerTokens,
			urgency: policy.urgency({
				priority: request.priority, hasComeBack: request.hasComeBack, objectiveMs: request.objectiveMs, promptPrefillMs: prefillMs(profile, request.promptTokens),
				usualSlackMs: strictestObjectiveMs(objectives, nowMs) - prefillMs(profile, profile.usualPromptTokens),
			}),
			onFirstToken() {
				const slowdown = engine.slowdown();
				timeline.after(latencyMs, () => {
					if (slowdown !== null) {
						load.slowdown = recordSlowdown(load.slowdown, slowdown, timeline.nowMs());
					}

					load.awaiting.delete(key);
					if (!request.hasComeBack && (room !== null || slowdown !== null)) {
						const excessMs = Math.max(0, prefillMs(profile, request.promptTokens - profile.usualPromptTokens));
						recordStartDelay(startShare, {tookMs: timeline.nowMs() - receivedAtMs - excessMs, objectiveMs: request.objectiveMs});
					}

					request.onFirstToken();
				});
			},
			onFinished() {
				finish(request.onFinished);
			},
			onAborted() {
				finish(request.onAborted);
			},
		};
		timeline.after(latencyMs, () => {
			engine.submit(work);
		});
	};

	const endWait = ({unplaced, place}: WaitingRequest): void => {
		forCapacity.delete(place);
		if (unplaced.waitsFor === 'engines') {
			heldCount--;
		}
	};

	const scheduleRecheck = (): void => {
		if (isRecheckScheduled) {
			return;
		}

		isRecheckScheduled = true;
		const number = recheckNumber;
		timeline.after(recheckIntervalMs, () => {
			// A check at once has taken its place.
			if (number === recheckNumber) {
				recheckAll();
			}
		});
	};

	const startWait = (waiter: WaitingRequest, reason: WaitReason): void => {
		const unplaced = {...waiter.unplaced, waitsFor: reason};
		if (reason === 'engines') {
			heldCount++;
		}

		if (reason === 'capacity' && !waiter.request.hasComeBack) {
			forCapacity.add(waiter.place);
		}

		waiting.push({...waiter, unplaced});
		scheduleRecheck();
	};

	const placeOrWait = (waiter: WaitingRequest): void => {
		const {unplaced, request} = waiter;
		const nowMs = timeline.nowMs();
		const step = policy.step(demand(waiter.place), {
			candidates: candidateList, permitStateOf: () => ({type: 'available'}), profile, zoneId, entryCount, dues: [], shutdownInMs: Number.POSITIVE_INFINITY, room, random, nowMs,
		}, unplaced);
		if (step.type === 'wait' && step.reason === unplaced.waitsFor) {
			waiting.push(waiter);
			return;
		}

		endWait(waiter);
		switch (step.type) {
			case 'send': {
				send(request, unplaced, step);
				return;
			}

			case 'refuse': {
				request.onRefused(step.retryAfterMs, nowMs - unplaced.receivedAtMs);
				return;
			}

			case 'wait': {
				startWait(waiter, step.reason);
				if (step.isAtOnce) {
					timeline.after(0, recheckAll);
				}
			}
		}
	};

	const recheckAll = (): void => {
		const rechecked = waiting.toSorted((a, b) => compareWaitPlaces(a.place, b.place));
		waiting = [];
		recheckNumber++;
		isRecheckScheduled = false;
		for (const waiter of rechecked) {
			placeOrWait(waiter);
		}

		if (waiting.length > 0) {
			scheduleRecheck();
		}
	};

	return {
		zoneId, candidates, priorityDemand,
		serve(request) {
			const nowMs = timeline.nowMs();
			recordObjective(objectives, request.objectiveMs, nowMs);
			const {priority, teamName, routeName, hasComeBack, deadlineAtMs, objectiveMs, timeoutMs, promptTokens} = request;
			const unplaced: UnplacedRequest = {
				priority, teamName, routeName, isLastTry: hasComeBack, deadlineAtMs, retryClass: 'streaming', objectiveMs, timeoutMs, promptTokens, maxAnswerTokens: 0, receivedAtMs: nowMs,
				sinceMs: nowMs, isBegun: false, sentCount: 0, triedIds: new Set(), waitsFor: null,
			};
			if (!hasComeBack) {
				recordDemand(priorityDemand, {source: unplaced, profile, nowMs}, requestWorkMs(profile, unplaced));
			}

			placeOrWait({request, unplaced, place: waitPlaceOf(room, unplaced)});
		},
	};
};
