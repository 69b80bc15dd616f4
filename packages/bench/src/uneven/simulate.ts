import {
	createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createRandom, createSpareCapacity, learnPlainTime, nextStep, plainLatenessMs, recordActive, randomFraction,
	recordLag, recordObjective, recordSlowdown, type Candidate, type Placement, type ServiceDemand,
} from '@bitternpaddle/coordination';
import {createTimeline} from '@bitternpaddle/model';
import {createPlainEndpoint, type Head, type PlainEndpoint} from './plain-endpoint.js';
import {oneWayMs, resolveSetup, type ScenarioName} from './scenarios.js';

/** `fixed`: the slowdowns and times of answers are ignored. `learned`: they are used. */
export type Estimate = 'fixed' | 'learned';

export type Run = {readonly scenario: ScenarioName; readonly estimate: Estimate; readonly seed: number; readonly perSecond: number};

export type Outcome = {
	/** Share of the requests answered within their objective, from their first attempt. */
	readonly inTime: number;
	/** Share answered after their objective. */
	readonly late: number;
	/** Share that got no answer. */
	readonly unanswered: number;
	readonly meanMs: number;
	readonly p99Ms: number;
	/** Share of the attempts sent to another zone. */
	readonly otherZone: number;
	/** Attempts that an endpoint refused, per request. */
	readonly refusedAttempts: number;
};

type Entry = {readonly zoneId: string; readonly candidates: readonly Candidate[]; readonly demand: ServiceDemand};

type Caller = {readonly entry: Entry; readonly receivedAtMs: number; readonly askedAtMs: number; readonly deadlineAtMs: number; readonly objectiveMs: number; readonly isLastTry: boolean};

const durationMs = 34_000;
const maxAttempts = 2;
/** Callers wait for a retry time up to this share of the time that they have left. */
const retryWaitShare = 1 / 3;

const createEntry = (zoneId: string, endpoints: readonly PlainEndpoint[]): Entry => ({
	zoneId,
	candidates: endpoints.map(endpoint => ({
		announcement: {
			id: endpoint.id, serviceName: 's', address: endpoint.id, zoneId: endpoint.zoneId, slots: endpoint.slots, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
		},
		load: createEndpointLoad(), health: createEndpointHealth(),
	})),
	demand: {
		sendRate: createArrivalRate(), objectives: createObjectiveMix(), spareCapacity: createSpareCapacity(), heldCount: 0, queuedCount: 0, capacityAheadCount: 0,
	},
});

/** Simulates one load test of a plain service in virtual time. */
export const simulateUneven = ({scenario, estimate, seed, perSecond}: Run): Outcome => {
	const {entryZoneIds, endpoints: endpointSettings, kinds} = resolveSetup(scenario, seed, durationMs);
	const timeline = createTimeline();
	const random = createRandom(seed);
	const endpoints = endpointSettings.map(settings => createPlainEndpoint(settings, timeline, random));
	const entries = entryZoneIds.map(zoneId => createEntry(zoneId, endpoints));
	const answerTimesMs: number[] = [];
	const counts = {
		asked: 0, inTime: 0, sent: 0, otherZone: 0, refusedAttempts: 0,
	};
	let lastKey = 0;

	/** Does what an entry does with the head and the duration of an answer. */
	const recordAnswer = ({candidate, expectedMs, lagMs, plain}: Placement, head: Head, sentAtMs: number, isRun: boolean): void => {
		const {load} = candidate;
		const nowMs = timeline.nowMs();
		const advertised = {...head, slowdown: estimate === 'fixed' ? null : head.slowdown};
		load.advertisedLoad = {...advertised, atMs: nowMs};
		load.active = recordActive(load.active, advertised.active, nowMs);
		if (advertised.slowdown !== null) {
			load.slowdown = recordSlowdown(load.slowdown, advertised.slowdown, nowMs);
		}

		if (!isRun) {
			load.refusal = {atMs: nowMs, active: head.active};
			load.advertisedLoad = {
				active: head.slots * 2, slots: head.slots, slowdown: null, atMs: nowMs,
			};
			return;
		}

		const answer = {tookMs: nowMs - sentAtMs, advertised, estimate: plain ?? null};
		learnPlainTime(load, candidate, answer, nowMs);
		recordLag(load, plainLatenessMs(answer, expectedMs - lagMs), nowMs);
	};

	const finish = ({askedAtMs, deadlineAtMs, objectiveMs}: Caller): void => {
		const tookMs = timeline.nowMs() - askedAtMs;
		if (timeline.nowMs() <= deadlineAtMs) {
			answerTimesMs.push(tookMs);
			counts.inTime += tookMs <= objectiveMs ? 1 : 0;
		}
	};

	const send = (caller: Caller, placement: Placement, triedIds: ReadonlySet<string>): void => {
		const {candidate: {announcement, load}, expectedMs} = placement;
		const endpoint = endpoints.find(({id}) => id === announcement.id)!;
		const latencyMs = oneWayMs(caller.entry.zoneId, announcement.zoneId);
		const sentAtMs = timeline.nowMs();
		const key = ++lastKey;
		counts.sent++;
		counts.otherZone += announcement.zoneId === caller.entry.zoneId ? 0 : 1;
		load.outstanding++;
		load.awaiting.set(key, {promptTokens: 0, sentAtMs, expectedMs});
		timeline.after(latencyMs, () => {
			endpoint.receive((isRun, head) => {
				timeline.after(latencyMs, () => {
					load.outstanding--;
					load.awaiting.delete(key);
					recordAnswer(placement, head, sentAtMs, isRun);
					if (isRun) {
						finish(caller);
						return;
					}

					counts.refusedAttempts++;
					if (triedIds.size + 1 < maxAttempts) {
						decide(caller, new Set([...triedIds, announcement.id]), sentAtMs);
					}
				});
			});
		});
	};

	const comeBack = (caller: Caller, retryAfterMs: number): void => {
		if (caller.isLastTry) {
			return;
		}

		timeline.after(Math.min(retryAfterMs, (caller.deadlineAtMs - timeline.nowMs()) * retryWaitShare), () => {
			const others = entries.filter(entry => entry !== caller.entry);
			const entry = others[random.between(0, others.length - 1)]!;
			decide({
				...caller, entry, receivedAtMs: timeline.nowMs(), isLastTry: true,
			}, new Set(), timeline.nowMs());
		});
	};

	const decide = (caller: Caller, triedIds: ReadonlySet<string>, sinceMs: number): void => {
		const {entry: {candidates, demand, zoneId}, receivedAtMs, deadlineAtMs, objectiveMs, isLastTry} = caller;
		const nowMs = timeline.nowMs();
		if (nowMs >= deadlineAtMs) {
			return;
		}

		const step = nextStep(demand, {
			candidates, permitStateOf: () => ({type: 'available'}), profile: null, zoneId, entryCount: entries.length, dues: [], shutdownInMs: Number.POSITIVE_INFINITY, room: null, random, nowMs,
		}, {
			isLastTry, priority: 0, teamName: null, routeName: 'r', deadlineAtMs, retryClass: 'safe', objectiveMs, timeoutMs: deadlineAtMs - receivedAtMs, promptTokens: 0,
			maxAnswerTokens: 0, receivedAtMs, sinceMs, isBegun: false, sentCount: triedIds.size, triedIds, waitsFor: null,
		});
		switch (step.type) {
			case 'send': {
				send(caller, step.placement, triedIds);
				break;
			}

			case 'wait': {
				timeline.after(40, () => {
					decide(caller, triedIds, sinceMs);
				});
				break;
			}

			case 'refuse': {
				comeBack(caller, step.retryAfterMs);
			}
		}
	};

	const arrive = (): void => {
		const nowMs = timeline.nowMs();
		const kind = kinds[counts.asked % kinds.length]!;
		const entry = entries[random.between(0, entries.length - 1)]!;
		counts.asked++;
		recordObjective(entry.demand.objectives, kind.objectiveMs, nowMs);
		decide({
			entry, receivedAtMs: nowMs, askedAtMs: nowMs, deadlineAtMs: nowMs + kind.deadlineMs, objectiveMs: kind.objectiveMs, isLastTry: false,
		}, new Set(), nowMs);
		const gapMs = -Math.log(1 - randomFraction(random)) * 1000 / perSecond;
		if (nowMs + gapMs < durationMs) {
			timeline.after(gapMs, arrive);
		}
	};

	timeline.at(0, arrive);
	timeline.runUntil(durationMs + 5000);
	const sorted = answerTimesMs.toSorted((a, b) => a - b);
	return {
		inTime: counts.inTime / counts.asked, late: (sorted.length - counts.inTime) / counts.asked, unanswered: 1 - (sorted.length / counts.asked),
		meanMs: sorted.reduce((sum, tookMs) => sum + tookMs, 0) / sorted.length, p99Ms: sorted[Math.floor(sorted.length * 0.99)]!,
		otherZone: counts.otherZone / counts.sent, refusedAttempts: counts.refusedAttempts / counts.asked,
	};
};
