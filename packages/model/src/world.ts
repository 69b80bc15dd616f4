import {
	createRandom, drawShare, type Candidate, type EngineReport, type Random,
} from '@bitternpaddle/coordination';
import {createModelEngine, type ModelEngine} from './engine.js';
import {
	createModelEntry, productPolicy, type EntryPolicy, type ModelEntry,
} from './entry.js';
import {
	carriedPerSecond, type EngineEvent, type ModelKind, type Scenario,
} from './scenario.js';
import {
	createTally, noteAsked, noteOutcome, summarize, type Result, type Tally,
} from './tally.js';
import {createTimeline, type Timeline} from './timeline.js';

export type PlayOptions = {
	readonly scenario: Scenario;
	readonly seed: number;
	/** @default the product's */
	readonly policy?: EntryPolicy;
};

export type Play = {readonly result: Result; readonly tally: Tally; /** Of the engines' time. */ readonly busyShare: number};

const nearWayMs = 0.5;
const farWayMs = 3;
const reportMs = 100;
/** Reports reach other zones by digests of what was last read. */
const digestMs = 150;
const loadMs = 300;
/** The longest prompts have four times the usual length. */
const sizes = [0.4, 0.6, 0.8, 1, 1, 1.2, 2] as const;
/** Of what it has left, a caller waits no longer than this for its next try. */
const mostReturnShare = 1 / 3;
/** Requests that were asked for before the end are followed for so long. */
const tailS = 8;
const msPerSecond = 1000;

type World = {
	readonly scenario: Scenario;
	readonly timeline: Timeline;
	readonly random: Random;
	readonly tally: Tally;
	readonly engines: readonly ModelEngine[];
	readonly entries: readonly ModelEntry[];
};

const zoneOf = (index: number, {zoneCount}: Scenario): string => `zone-${index % zoneCount}`;

const reportEngines = ({engines, entries, timeline}: World): void => {
	type Read = {readonly report: EngineReport; readonly atMs: number};
	const tell = ({report, atMs}: Read, to: readonly Candidate[], wayMs: number): void => {
		timeline.after(wayMs, () => {
			for (const {load} of to) {
				load.report = report;
				load.reportedAtMs = atMs + wayMs;
			}
		});
	};

	for (const [index, engine] of engines.entries()) {
		const candidatesOf = (isNear: boolean): Candidate[] => entries.filter(({zoneId}) => (zoneId === engine.zoneId) === isNear).map(({candidates}) => candidates.get(engine.id)!);
		const near = candidatesOf(true);
		const far = candidatesOf(false);
		const everyMs = (periodMs: number, act: () => void): void => {
			const repeat = (): void => {
				act();
				timeline.after(periodMs, repeat);
			};

			timeline.at((index * 7) % periodMs, repeat);
		};

		let newest: Read = {report: engine.report(), atMs: 0};
		everyMs(reportMs, () => {
			newest = {report: engine.report(), atMs: timeline.nowMs()};
			tell(newest, near, nearWayMs);
		});
		everyMs(digestMs, () => {
			tell(newest, far, farWayMs);
		});
	}
};

const playEvent = ({engines, timeline, random}: World, event: EngineEvent): void => {
	const some = (share: number): ModelEngine[] => engines.toSorted(() => drawShare(random) - 0.5).slice(0, Math.round(engines.length * share));
	switch (event.type) {
		case 'reload': {
			const atOnce = Math.max(1, Math.floor(engines.length * event.atOnceShare));
			const queue = [...engines];
			const next = (): void => {
				queue.shift()?.reload(loadMs, next);
			};

			for (let index = 0; index < atOnce; index++) {
				next();
			}

			return;
		}

		case 'restart': {
			for (const [index, engine] of engines.entries()) {
				const share = index / Math.max(1, engines.length - 1);
				engine.lose(timeline.nowMs() + event.firstAfterMs + (share * (event.lastAfterMs - event.firstAfterMs)));
			}

			return;
		}

		case 'loss': {
			for (const engine of some(event.share)) {
				engine.lose(null);
			}

			return;
		}

		case 'join': {
			for (const [index, engine] of some(event.share).entries()) {
				engine.lose(timeline.nowMs() + event.readyAfterMs + (index * 40));
			}
		}
	}
};

const drawKind = (kinds: readonly ModelKind[], random: Random): ModelKind => {
	let drawn = drawShare(random);
	return kinds.find(({share}) => {
		drawn -= share;
		return drawn < 0;
	}) ?? kinds.at(-1)!;
};

const drawOf = <Item>(items: readonly Item[], random: Random): Item => items[random.between(0, items.length - 1)]!;

const ask = ({entries, timeline, random, tally}: World, kind: ModelKind): void => {
	const askedAtMs = timeline.nowMs();
	const deadlineAtMs = askedAtMs + kind.deadlineMs;
	const home = drawOf(entries, random).zoneId;
	const nearEntries = entries.filter(({zoneId}) => zoneId === home);
	const size = drawOf(sizes, random);
	let firstTokenAtMs: number | null = null;
	noteAsked(tally, kind.name, askedAtMs);
	const end = (outcome: 'inTime' | 'late' | 'refused' | 'lost'): void => {
		noteOutcome(tally, kind.name, askedAtMs, outcome);
	};

	const attempt = (hasComeBack: boolean): void => {
		drawOf(nearEntries, random).serve({
			objectiveMs: kind.objectiveMs, deadlineAtMs, timeoutMs: kind.deadlineMs, promptTokens: Math.round(kind.promptTokens * size), answerTokens: kind.answerTokens, hasComeBack,
			onFirstToken() {
				firstTokenAtMs = timeline.nowMs();
			},
			onEnd() {
				if (timeline.nowMs() > deadlineAtMs) {
					end('lost');
				} else {
					end(firstTokenAtMs! - askedAtMs <= kind.objectiveMs ? 'inTime' : 'late');
				}
			},
			onCut() {
				end('lost');
			},
			onRefused(retryAfterMs, heldMs) {
				tally.refusals++;
				tally.heldInVainMs += heldMs;
				const leftMs = deadlineAtMs - timeline.nowMs();
				if (hasComeBack || leftMs <= 0) {
					end('refused');
					return;
				}

				timeline.after(Math.min(retryAfterMs, leftMs * mostReturnShare), () => {
					attempt(true);
				});
			},
		});
	};

	attempt(false);
};

const askAll = (world: World): void => {
	const {scenario, timeline, random} = world;
	const {kinds, load, lengthS} = scenario;
	const mean = (field: 'promptTokens' | 'answerTokens'): number => kinds.reduce((sum, kind) => sum + (kind.share * kind[field]), 0);
	const carried = carriedPerSecond(scenario, {promptTokens: mean('promptTokens'), answerTokens: mean('answerTokens')});
	const next = (): void => {
		const nowMs = timeline.nowMs();
		if (nowMs >= lengthS * msPerSecond) {
			return;
		}

		ask(world, drawKind(kinds, random));
		const {factor} = load.findLast(({fromS}) => fromS * msPerSecond <= nowMs)!;
		timeline.after(-Math.log(1 - drawShare(random)) * msPerSecond / (carried * factor), next);
	};

	timeline.at(0, next);
};

/** Plays a scenario from beginning to end in virtual time; the same seed gives the same play. */
export const playScenario = ({scenario, seed, policy = productPolicy}: PlayOptions): Play => {
	const timeline = createTimeline();
	const random = createRandom(seed);
	const engines = Array.from({length: scenario.engineCount}, (_, index) => createModelEngine({
		id: `engine-${index}`, zoneId: zoneOf(index, scenario), profile: scenario.profile, timeline,
	}));
	const entries = Array.from({length: scenario.entryCount}, (_, index) => {
		const zoneId = zoneOf(index, scenario);
		return createModelEntry({
			zoneId, engines, profile: scenario.profile, entryCount: scenario.entryCount, random, timeline, policy, wayMs: other => other === zoneId ? nearWayMs : farWayMs,
		});
	});
	const tally = createTally(scenario.kinds, scenario.lengthS);
	const world: World = {
		scenario, timeline, random, tally, engines, entries,
	};
	reportEngines(world);
	askAll(world);
	for (const event of scenario.events) {
		timeline.at(event.atS * msPerSecond, () => {
			playEvent(world, event);
		});
	}

	timeline.runUntil((scenario.lengthS + tailS) * msPerSecond);
	const busyMs = engines.reduce((sum, engine) => sum + engine.busyMs(), 0);
	return {result: summarize(tally, scenario.kinds), tally, busyShare: busyMs / (engines.length * scenario.lengthS * msPerSecond)};
};
