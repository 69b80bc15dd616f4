import {
	createRandom, randomFraction, recordReceivedDemand, sharedFigures, type Candidate, type EngineReport, type Random,
} from '@bitternpaddle/coordination';
import {createModelEngine, type ModelEngine} from './engine.js';
import {
	createModelEntry, productPolicy, type EntryPolicy, type ModelEntry,
} from './entry.js';
import {
	maxRequestsPerSecond, type CallerClass, type EngineEvent, type Scenario,
} from './scenario.js';
import {
	createTally, recordOutcome, recordRequest, summarize, type Result, type Tally,
} from './tally.js';
import {createTimeline, type Timeline} from './timeline.js';

export type ScenarioRunOptions = {
	readonly scenario: Scenario;
	readonly seed: number;
	/** @default the production policy */
	readonly policy?: EntryPolicy;
};

export type ScenarioRun = {readonly result: Result; readonly tally: Tally; /** Share of the engines' time spent on passes. */ readonly busyShare: number};

const sameZoneLatencyMs = 0.5;
const crossZoneLatencyMs = 3;
const reportIntervalMs = 100;
/** Other zones receive digests of the latest reports, not the reports themselves. */
const digestIntervalMs = 150;
const weightLoadMs = 300;
/** Prompt lengths relative to that of the caller class; each is equally likely. */
const promptSizeFactors = [0.4, 0.6, 0.8, 1, 1, 1.2, 2] as const;
/** Share of the time left to its deadline that a caller waits at most before its retry. */
const maxRetryDelayShare = 1 / 3;
/** Time after the last arrival during which the outcomes of pending requests are still recorded. */
const followUpS = 8;
const msPerSecond = 1000;

type Simulation = {
	readonly scenario: Scenario;
	readonly timeline: Timeline;
	readonly random: Random;
	readonly tally: Tally;
	readonly engines: readonly ModelEngine[];
	readonly entries: readonly ModelEntry[];
};

const zoneOf = (index: number, {zoneCount}: Scenario): string => `zone-${index % zoneCount}`;

/** Interval of the exchange of demand between entries. */
const demandIntervalMs = 400;

const scheduleDemand = ({entries, timeline}: Simulation): void => {
	for (const [index, {priorityDemand}] of entries.entries()) {
		const exchange = (): void => {
			const figures = sharedFigures(priorityDemand, timeline.nowMs());
			timeline.after(crossZoneLatencyMs, () => {
				for (const entry of entries) {
					if (entry.priorityDemand !== priorityDemand) {
						recordReceivedDemand(entry.priorityDemand, `entry-${index}`, {figures, atMs: timeline.nowMs()});
					}
				}
			});
			timeline.after(demandIntervalMs, exchange);
		};

		timeline.at((index * 17) % demandIntervalMs, exchange);
	}
};

const scheduleReports = ({scenario, engines, entries, timeline}: Simulation): void => {
	const {reportAgeMs = 0, unreportedEntryCount = 0} = scenario;
	const informed = entries.slice(unreportedEntryCount);
	type Sample = {readonly report: EngineReport; readonly atMs: number};
	const deliver = ({report, atMs}: Sample, to: readonly Candidate[], latencyMs: number): void => {
		timeline.after(latencyMs, () => {
			for (const {load} of to) {
				load.report = report;
				load.wholeVersion = report.weights.type === 'whole' ? report.weights.version : null;
				load.reportedAtMs = atMs + latencyMs - reportAgeMs;
			}
		});
	};

	for (const [index, engine] of engines.entries()) {
		const candidatesOf = (isNear: boolean): Candidate[] => informed.filter(({zoneId}) => (zoneId === engine.zoneId) === isNear).map(({candidates}) => candidates.get(engine.id)!);
		const near = candidatesOf(true);
		const far = candidatesOf(false);
		const repeatEvery = (periodMs: number, callback: () => void): void => {
			const repeat = (): void => {
				callback();
				timeline.after(periodMs, repeat);
			};

			timeline.at((index * 7) % periodMs, repeat);
		};

		let latest: Sample = {report: engine.report(), atMs: 0};
		repeatEvery(reportIntervalMs, () => {
			latest = {report: engine.report(), atMs: timeline.nowMs()};
			deliver(latest, near, sameZoneLatencyMs + reportAgeMs);
		});
		repeatEvery(digestIntervalMs, () => {
			deliver(latest, far, crossZoneLatencyMs + reportAgeMs);
		});
	}
};

const applyEvent = ({engines, timeline, random}: Simulation, event: EngineEvent): void => {
	const randomEngines = (share: number): ModelEngine[] => engines.toSorted(() => randomFraction(random) - 0.5).slice(0, Math.round(engines.length * share));
	switch (event.type) {
		case 'reload': {
			const concurrentCount = Math.max(1, Math.floor(engines.length * event.concurrentShare));
			const queue = [...engines];
			const next = (): void => {
				queue.shift()?.reload(weightLoadMs, next);
			};

			for (let index = 0; index < concurrentCount; index++) {
				next();
			}

			return;
		}

		case 'restart': {
			for (const [index, engine] of engines.entries()) {
				const share = index / Math.max(1, engines.length - 1);
				engine.lose(timeline.nowMs() + event.firstReadyAfterMs + (share * (event.lastReadyAfterMs - event.firstReadyAfterMs)));
			}

			return;
		}

		case 'loss': {
			for (const engine of randomEngines(event.share)) {
				engine.lose(null);
			}

			return;
		}

		case 'join': {
			for (const [index, engine] of randomEngines(event.share).entries()) {
				engine.lose(timeline.nowMs() + event.readyAfterMs + (index * 40));
			}
		}
	}
};

type WeightedClass = {readonly callerClass: CallerClass; readonly weight: number};

const weightsAt = ({callerClasses, bursts = []}: Scenario, nowMs: number): WeightedClass[] => callerClasses.map(callerClass => {
	const burst = bursts.find(({className, fromS, toS}) => className === callerClass.name && nowMs >= fromS * msPerSecond && nowMs < toS * msPerSecond);
	return {callerClass, weight: callerClass.share * (burst?.factor ?? 1)};
});

const pickCallerClass = (weighted: readonly WeightedClass[], random: Random): CallerClass => {
	let remaining = randomFraction(random) * weighted.reduce((sum, {weight}) => sum + weight, 0);
	return weighted.find(({weight}) => {
		remaining -= weight;
		return remaining < 0;
	})?.callerClass ?? weighted.at(-1)!.callerClass;
};

const pickRandom = <Item>(items: readonly Item[], random: Random): Item => items[random.between(0, items.length - 1)]!;

const priorityOf = ({priority = 1}: CallerClass): number => priority;

const simulateCaller = ({entries, timeline, random, tally}: Simulation, callerClass: CallerClass): void => {
	const requestedAtMs = timeline.nowMs();
	const deadlineAtMs = requestedAtMs + callerClass.deadlineMs;
	const callerZoneId = pickRandom(entries, random).zoneId;
	const nearEntries = entries.filter(({zoneId}) => zoneId === callerZoneId);
	const sizeFactor = pickRandom(promptSizeFactors, random);
	let firstTokenAtMs: number | null = null;
	recordRequest(tally, callerClass.name, requestedAtMs);
	const finish = (outcome: 'inTime' | 'late' | 'refused' | 'lost'): void => {
		recordOutcome(tally, callerClass.name, requestedAtMs, outcome);
	};

	const attempt = (hasComeBack: boolean): void => {
		pickRandom(nearEntries, random).serve({
			priority: priorityOf(callerClass), teamName: callerClass.teamName ?? null, routeName: callerClass.name,
			objectiveMs: callerClass.objectiveMs, deadlineAtMs, timeoutMs: callerClass.deadlineMs,
			promptTokens: Math.round(callerClass.promptTokens * sizeFactor), answerTokens: callerClass.answerTokens, hasComeBack,
			onFirstToken() {
				firstTokenAtMs = timeline.nowMs();
			},
			onFinished() {
				if (timeline.nowMs() > deadlineAtMs) {
					finish('lost');
				} else {
					finish(firstTokenAtMs! - requestedAtMs <= callerClass.objectiveMs ? 'inTime' : 'late');
				}
			},
			onAborted() {
				finish('lost');
			},
			onRefused(retryAfterMs, heldMs) {
				tally.refusals++;
				tally.heldInVainMs += heldMs;
				const remainingMs = deadlineAtMs - timeline.nowMs();
				if (hasComeBack || remainingMs <= 0) {
					finish('refused');
					return;
				}

				timeline.after(Math.min(retryAfterMs, remainingMs * maxRetryDelayShare), () => {
					attempt(true);
				});
			},
		});
	};

	attempt(false);
};

const scheduleCallers = (simulation: Simulation): void => {
	const {scenario, timeline, random} = simulation;
	const {callerClasses, load, durationS} = scenario;
	const mean = (field: 'promptTokens' | 'answerTokens'): number => callerClasses.reduce((sum, callerClass) => sum + (callerClass.share * callerClass[field]), 0);
	const requestsPerSecond = maxRequestsPerSecond(scenario, {promptTokens: mean('promptTokens'), answerTokens: mean('answerTokens')});
	const next = (): void => {
		const nowMs = timeline.nowMs();
		if (nowMs >= durationS * msPerSecond) {
			return;
		}

		const weighted = weightsAt(scenario, nowMs);
		simulateCaller(simulation, pickCallerClass(weighted, random));
		const factor = load.findLast(({fromS}) => fromS * msPerSecond <= nowMs)!.factor * weighted.reduce((sum, {weight}) => sum + weight, 0);
		timeline.after(-Math.log(1 - randomFraction(random)) * msPerSecond / (requestsPerSecond * factor), next);
	};

	timeline.at(0, next);
};

/** Draws how slow a host is over time; from a generator of its own, so that all policies meet the same. */
const createHost = ({sharing, durationS}: Scenario, seed: number, timeline: Timeline) => {
	if (sharing === null) {
		return () => null;
	}

	const {factor, share, changeMs} = sharing;
	const random = createRandom(seed);
	const figures = Array.from({length: Math.ceil((durationS + followUpS) * msPerSecond / changeMs) + 1}, () => randomFraction(random) < share ? factor : 1);
	return () => figures[Math.floor(timeline.nowMs() / changeMs)]!;
};

/** Simulates a scenario in virtual time; the same seed gives the same run. */
export const simulateScenario = ({scenario, seed, policy = productPolicy}: ScenarioRunOptions): ScenarioRun => {
	const timeline = createTimeline();
	const random = createRandom(seed);
	const engines = Array.from({length: scenario.engineCount}, (_, index) => createModelEngine({
		id: `engine-${index}`, zoneId: zoneOf(index, scenario), profile: scenario.profile, timeline, slowdown: createHost(scenario, (seed * 1000) + index, timeline),
	}));
	const priorities = [...new Set(scenario.callerClasses.map(callerClass => priorityOf(callerClass)))].toSorted((a, b) => a - b);
	const entries = Array.from({length: scenario.entryCount}, (_, index) => {
		const zoneId = zoneOf(index, scenario);
		return createModelEntry({
			zoneId, engines, profile: scenario.profile, entryCount: scenario.entryCount, priorities, random, timeline, policy,
			oneWayLatencyMs: engineZoneId => engineZoneId === zoneId ? sameZoneLatencyMs : crossZoneLatencyMs,
		});
	});
	const tally = createTally(scenario.callerClasses, scenario.durationS);
	const simulation: Simulation = {
		scenario, timeline, random, tally, engines, entries,
	};
	scheduleReports(simulation);
	if (scenario.exchangesDemand !== false && priorities.length > 1) {
		scheduleDemand(simulation);
	}

	scheduleCallers(simulation);
	for (const event of scenario.events) {
		timeline.at(event.atS * msPerSecond, () => {
			applyEvent(simulation, event);
		});
	}

	timeline.runUntil((scenario.durationS + followUpS) * msPerSecond);
	const busyMs = engines.reduce((sum, engine) => sum + engine.busyMs(), 0);
	return {result: summarize(tally, scenario.callerClasses), tally, busyShare: busyMs / (engines.length * scenario.durationS * msPerSecond)};
};
