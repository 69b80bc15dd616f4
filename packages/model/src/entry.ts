import {
	createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createSpareRoom, nextStep, noteArrival, noteObjective,
	readMs, strictestObjectiveMs, urgencyOf,
	type Candidate, type NextStep, type Random, type SeekingRequest, type ServiceDemand, type WaitReason,
} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import type {EngineWork, ModelEngine} from './engine.js';
import type {Timeline} from './timeline.js';

/** A caller's request as an entry has it. */
export type EntryRequest = {
	readonly objectiveMs: number;
	readonly deadlineAtMs: number;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly hasComeBack: boolean;
	onFirstToken(): void;
	onEnd(): void;
	onCut(): void;
	onRefused(retryAfterMs: number, heldMs: number): void;
};

/** An entry: the real steps of a request's placing, around it what the entry's loop does. */
export type ModelEntry = {
	readonly zoneId: string;
	readonly candidates: ReadonlyMap<string, Candidate>;
	serve(request: EntryRequest): void;
};

export type EntryOptions = {
	readonly zoneId: string;
	readonly engines: readonly ModelEngine[];
	readonly profile: EngineProfile;
	readonly entryCount: number;
	readonly random: Random;
	readonly timeline: Timeline;
	readonly wayMs: (zoneId: string) => number;
	readonly policy: EntryPolicy;
};

/** What decides about requests. */
export type EntryPolicy = {
	readonly step: typeof nextStep;
	/** The place of a request in an engine's queue. */
	readonly urgency: typeof urgencyOf;
};

/** The product's own. */
export const productPolicy: EntryPolicy = {step: nextStep, urgency: urgencyOf};

type Waiting = {readonly seeking: SeekingRequest; readonly request: EntryRequest};

/** As often as an entry's requests look again. */
const lookMs = 40;

export const createModelEntry = ({zoneId, engines, profile, entryCount, random, timeline, wayMs, policy}: EntryOptions): ModelEntry => {
	const byId = new Map(engines.map(engine => [engine.id, engine]));
	const candidates = new Map(engines.map((engine): [string, Candidate] => [engine.id, {
		announcement: {
			id: engine.id, serviceName: 's', address: engine.id, zoneId: engine.zoneId, slots: profile.slots, state: 'ready', models: [{model: profile.model, version: 1}], startedAtMs: 0, sequence: 1,
		},
		load: createEndpointLoad(), health: createEndpointHealth(),
	}]));
	const candidateList = [...candidates.values()];
	const sending = createArrivalRate();
	const objectives = createObjectiveMix();
	const spareRoom = createSpareRoom();
	let heldCount = 0;
	let waiting: Waiting[] = [];
	let isLooking = false;
	let keys = 0;

	const demand = (): ServiceDemand => ({
		sending, objectives, spareRoom, heldCount, queuedCount: 0,
	});

	const send = (request: EntryRequest, {placement: {candidate, expectedMs}}: Extract<NextStep, {type: 'send'}>): void => {
		const {load, announcement} = candidate;
		const nowMs = timeline.nowMs();
		keys++;
		const key = keys;
		noteArrival(sending, nowMs);
		load.outstanding++;
		load.awaiting.set(key, {promptTokens: request.promptTokens, sentAtMs: nowMs, expectedMs});
		const backMs = wayMs(announcement.zoneId);
		const end = (then: () => void): void => {
			timeline.after(backMs, () => {
				load.outstanding--;
				load.awaiting.delete(key);
				then();
			});
		};

		const work: EngineWork = {
			promptTokens: request.promptTokens, answerTokens: request.answerTokens,
			urgency: policy.urgency({
				priority: 1, hasComeBack: request.hasComeBack, objectiveMs: request.objectiveMs, ownReadMs: readMs(profile, request.promptTokens),
				usualSlackMs: strictestObjectiveMs(objectives, nowMs) - readMs(profile, profile.usualPromptTokens),
			}),
			onFirstToken() {
				timeline.after(backMs, () => {
					load.awaiting.delete(key);
					request.onFirstToken();
				});
			},
			onEnd() {
				end(request.onEnd);
			},
			onCut() {
				end(request.onCut);
			},
		};
		timeline.after(backMs, () => {
			byId.get(announcement.id)!.take(work);
		});
	};

	const leave = ({seeking}: Waiting): void => {
		if (seeking.waitsFor === 'engines') {
			heldCount--;
		}
	};

	const enter = (waits: Waiting, reason: WaitReason): void => {
		const seeking = {...waits.seeking, waitsFor: reason};
		if (reason === 'engines') {
			heldCount++;
		}

		waiting.push({seeking, request: waits.request});
		if (!isLooking) {
			isLooking = true;
			timeline.after(lookMs, lookAll);
		}
	};

	const look = (waits: Waiting): void => {
		const {seeking, request} = waits;
		const nowMs = timeline.nowMs();
		const step = policy.step(demand(), {
			candidates: candidateList, permitStateOf: () => ({type: 'available'}), profile, zoneId, entryCount, dues: [], leftMs: Number.POSITIVE_INFINITY, random, nowMs,
		}, seeking);
		if (step.type === 'wait' && step.reason === seeking.waitsFor) {
			waiting.push(waits);
			return;
		}

		leave(waits);
		switch (step.type) {
			case 'send': {
				send(request, step);
				return;
			}

			case 'refuse': {
				request.onRefused(step.retryAfterMs, nowMs - seeking.receivedAtMs);
				return;
			}

			case 'wait': {
				enter(waits, step.reason);
			}
		}
	};

	const lookAll = (): void => {
		const looking = waiting;
		waiting = [];
		isLooking = false;
		for (const waits of looking) {
			look(waits);
		}

		if (waiting.length > 0 && !isLooking) {
			isLooking = true;
			timeline.after(lookMs, lookAll);
		}
	};

	return {
		zoneId, candidates,
		serve(request) {
			const nowMs = timeline.nowMs();
			noteObjective(objectives, request.objectiveMs, nowMs);
			look({
				request, seeking: {
					isLastTry: request.hasComeBack, deadlineAtMs: request.deadlineAtMs, retryClass: 'streaming', objectiveMs: request.objectiveMs, timeoutMs: request.timeoutMs,
					promptTokens: request.promptTokens, mostAnswerTokens: 0, receivedAtMs: nowMs, sinceMs: nowMs, isBegun: false, sentCount: 0, triedIds: new Set(), waitsFor: null,
				},
			});
		},
	};
};
