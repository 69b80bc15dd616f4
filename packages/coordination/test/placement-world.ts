import type {EngineProfile} from '@bitternpaddle/state';
import {
	admitRequest, arrivalsPerSecond, createArrivalRate, createEndpointHealth, createEndpointLoad, createRandom, noteArrival, passMs, placeRequest, readMs, spareFirstTokenMs,
	type ArrivalRate, type Candidate, type EndpointLoad, type Random,
} from '@bitternpaddle/coordination';

/** What callers of a modelled deployment got. */
/** `refused`: for good. */
export type WorldTally = {requests: number; inTime: number; late: number; refused: number};

export type PlacementWorldOptions = {
	readonly profile: EngineProfile;
	readonly entries: number;
	readonly engines: number;
	readonly requestsPerSecond: number;
	readonly objectiveMs: number;
	/** Engines out of service at once while all take turns to reload; 0: none reloads. */
	readonly reloading: number;
	readonly lengthMs: number;
	readonly seed: number;
	/** Whether entries reckon with what the others send. */
	readonly isCrowdKnown: boolean;
	/** What callers do that are refused: come back once, when they are told to. @default they do not */
	readonly returns?: 'never' | 'leftover' | 'likeFirst';
};

type ModelRequest = {
	/** When its caller first asked. */
	readonly askedAtMs: number;
	unreadTokens: number;
	tokensLeft: number;
	hasBegun: boolean;
	/** What its entry knows of the engine, and its key there. */
	readonly load: EndpointLoad;
	readonly key: number;
};

type ModelEngine = {
	readonly id: string;
	readonly zoneId: string;
	readonly waiting: ModelRequest[];
	readonly running: ModelRequest[];
	passEndsAtMs: number;
	isLeaving: boolean;
	loadedAtMs: number;
	reports: number;
};

type ModelEntry = {readonly zoneId: string; readonly candidates: Candidate[]; readonly sending: ArrivalRate};

const zones = 3;
const reportMs = 100;
const loadMs = 300;
const wayMs = 3;
const chunkTokens = 2048;
const stepMs = 1;

/** Entries that place requests by reports of batching engines, in virtual time. */
export const runPlacementWorld = (options: PlacementWorldOptions): WorldTally => {
	const {profile, requestsPerSecond, objectiveMs, reloading, lengthMs, seed, isCrowdKnown, returns = 'never'} = options;
	const random = createRandom(seed);
	const tally: WorldTally = {
		requests: 0, inTime: 0, late: 0, refused: 0,
	};
	const engines = Array.from({length: options.engines}, (_, index): ModelEngine => ({
		id: `engine-${index}`, zoneId: `zone-${index % zones}`, waiting: [], running: [], passEndsAtMs: 0, isLeaving: false, loadedAtMs: 0, reports: 0,
	}));
	const entries = Array.from({length: options.entries}, (_, index): ModelEntry => ({
		zoneId: `zone-${index % zones}`, sending: createArrivalRate(), candidates: engines.map(engine => createCandidate(engine, profile)),
	}));
	const onTheWay: Array<{readonly atMs: number; readonly act: () => void}> = [];
	let reloaded = 0;
	let nowMs = 0;
	const isOut = ({isLeaving, loadedAtMs}: ModelEngine): boolean => isLeaving || nowMs < loadedAtMs;
	for (; nowMs < lengthMs; nowMs += stepMs) {
		for (const {act} of takeDue(onTheWay, nowMs)) {
			act();
		}

		for (const [index, engine] of engines.entries()) {
			runPass(engine, profile, nowMs, tally, objectiveMs);
			if (nowMs % reportMs === (index * 7) % reportMs) {
				sendReport(engine, entries, onTheWay, nowMs);
			}
		}

		const next = engines[reloaded];
		if (next !== undefined && nowMs > lengthMs / 4 && engines.filter(engine => isOut(engine)).length < reloading) {
			next.isLeaving = true;
			sendReport(next, entries, onTheWay, nowMs);
			reloaded++;
		}

		if (random.between(0, 999_999) < requestsPerSecond * stepMs * 1000) {
			tally.requests++;
			send(entries[random.between(0, entries.length - 1)]!, {
				profile, engines, entries, onTheWay, random, nowMs, objectiveMs, tally, entryCount: isCrowdKnown ? entries.length : 1, returns,
			}, {askedAtMs: nowMs, hasComeBack: false});
		}
	}

	return tally;
};

const createCandidate = ({id, zoneId}: ModelEngine, {model, slots}: EngineProfile): Candidate => ({
	announcement: {
		id, serviceName: 's', address: id, zoneId, slots, state: 'ready', models: [{model, version: 1}], startedAtMs: 0, sequence: 1,
	},
	load: createEndpointLoad(), health: createEndpointHealth(),
});

const takeDue = <Item extends {readonly atMs: number}>(items: Item[], nowMs: number): Item[] => {
	const due = items.filter(({atMs}) => atMs <= nowMs);
	items.splice(0, items.length, ...items.filter(({atMs}) => atMs > nowMs));
	return due;
};

const sendReport = (engine: ModelEngine, entries: readonly ModelEntry[], onTheWay: Array<{atMs: number; act: () => void}>, nowMs: number): void => {
	engine.reports++;
	const report = {
		running: engine.running.length, queued: engine.waiting.length, pace: 1, isBusy: engine.isLeaving || nowMs < engine.loadedAtMs, isStrained: false, version: 1, readyInMs: null,
	};
	const heardBy = entries.filter(({zoneId}) => zoneId === engine.zoneId || engine.reports % 2 === 0);
	onTheWay.push({
		atMs: nowMs + wayMs,
		act() {
			for (const {candidates} of heardBy) {
				const {load} = (candidates.find(({announcement}) => announcement.id === engine.id)!);
				load.report = report;
				load.reportedAtMs = nowMs + wayMs;
			}
		},
	});
};

let keys = 0;
const nextKey = (): number => {
	keys++;
	return keys;
};

type SendContext = {
	readonly profile: EngineProfile;
	readonly engines: readonly ModelEngine[];
	readonly onTheWay: Array<{atMs: number; act: () => void}>;
	readonly random: Random;
	readonly nowMs: number;
	readonly objectiveMs: number;
	readonly tally: WorldTally;
	/** Entries that the sender reckons with, itself included. */
	readonly entryCount: number;
	readonly entries: readonly ModelEntry[];
	readonly returns: 'never' | 'leftover' | 'likeFirst';
};

type Asking = {readonly askedAtMs: number; readonly hasComeBack: boolean};

const send = ({zoneId, candidates, sending}: ModelEntry, context: SendContext, {askedAtMs, hasComeBack}: Asking): void => {
	const {profile, engines, entries, onTheWay, random, nowMs, objectiveMs, tally, entryCount, returns} = context;
	const choice = placeRequest({
		candidates, profile, zoneId, promptTokens: profile.usualPromptTokens, objectiveMs, dues: [], excludedIds: new Set(), isBegun: false, random, nowMs,
		othersPerSecond: arrivalsPerSecond(sending, nowMs) * (entryCount - 1),
	});
	const admission = choice === null
		? null
		: admitRequest({
			retryClass: 'streaming', expectedMs: choice.expectedMs, boundMs: objectiveMs, spareMs: spareFirstTokenMs(profile), hasComeBack: hasComeBack && returns === 'leftover', waitedMs: 0, remainingMs: 6000, excessMs: 0, random,
		});
	if (choice === null || admission?.type !== 'admitted') {
		if (hasComeBack || returns === 'never') {
			tally.refused++;
			return;
		}

		const atMs = nowMs + Math.round(admission?.type === 'refused' ? admission.retryAfterMs : 0);
		onTheWay.push({
			atMs, act() {
				send(entries[random.between(0, entries.length - 1)]!, {...context, nowMs: atMs}, {askedAtMs, hasComeBack: true});
			},
		});
		return;
	}

	noteArrival(sending, nowMs);
	const {announcement, load} = choice.candidate;
	const key = nextKey();
	load.outstanding++;
	load.awaiting.set(key, {promptTokens: profile.usualPromptTokens, sentAtMs: nowMs, expectedMs: choice.expectedMs});
	const request: ModelRequest = {
		askedAtMs, unreadTokens: profile.usualPromptTokens, tokensLeft: profile.usualAnswerTokens, hasBegun: false, load, key,
	};
	onTheWay.push({
		atMs: nowMs + wayMs,
		act() {
			engines.find(({id}) => id === announcement.id)!.waiting.push(request);
		},
	});
};

/** One pass of an engine's batch, when the one before has ended. */
const runPass = (engine: ModelEngine, profile: EngineProfile, nowMs: number, tally: WorldTally, objectiveMs: number): void => {
	if (nowMs < engine.passEndsAtMs) {
		return;
	}

	endPass(engine, profile, nowMs, tally, objectiveMs);
	if (engine.isLeaving && engine.running.length === 0 && engine.waiting.length === 0) {
		engine.isLeaving = false;
		engine.loadedAtMs = nowMs + loadMs;
	}

	while (nowMs >= engine.loadedAtMs && engine.running.length < profile.slots && engine.waiting.length > 0) {
		engine.running.push(engine.waiting.shift()!);
	}

	if (engine.running.length === 0) {
		return;
	}

	let room = chunkTokens * profile.stepsPerPass;
	let readTokens = 0;
	for (const request of engine.running) {
		const tokens = Math.min(room, request.unreadTokens);
		request.unreadTokens -= tokens;
		room -= tokens;
		readTokens += tokens;
	}

	const writers = engine.running.filter(({unreadTokens}) => unreadTokens === 0).length;
	engine.passEndsAtMs = nowMs + passMs(profile, writers) + readMs(profile, readTokens);
};

const endPass = (engine: ModelEngine, profile: EngineProfile, nowMs: number, tally: WorldTally, objectiveMs: number): void => {
	for (const request of engine.running.filter(({unreadTokens}) => unreadTokens === 0)) {
		if (!request.hasBegun) {
			request.hasBegun = true;
			request.load.awaiting.delete(request.key);
			const isInTime = nowMs + wayMs - request.askedAtMs <= objectiveMs;
			tally[isInTime ? 'inTime' : 'late']++;
		}

		request.tokensLeft -= profile.stepsPerPass;
	}

	const ended = engine.running.filter(({tokensLeft}) => tokensLeft <= 0);
	for (const {load} of ended) {
		load.outstanding--;
	}

	engine.running.splice(0, engine.running.length, ...engine.running.filter(request => !ended.includes(request)));
};
