import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	boundObjectiveMs, createCallerPatience, createObjectiveMix, createSpareRoom, hasComeBefore, isOverloaded, mayWaitForRoom, noteFirstDeadline, noteObjective, noteRefused, noteSpareRoom,
	strictestObjectiveMs, urgencyOf, type UrgencyOptions,
	admitRequest, createEndpointHealth, createEndpointLoad, createRandom, createRetryAllowance, createSwitchPermits, demandOf, firstTokenMs, holdingMs, isResting,
	noteFailure, noteLag, noteRequest, noteSuccess, placeRequest, returnPermit, takeAttempt, takePermit, type Candidate, type EngineReport, type PlaceOptions,
} from '@bitternpaddle/coordination';

const profile: EngineProfile = {
	slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

const report = (fields: Partial<EngineReport> = {}): EngineReport => ({
	running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, version: 1, readyInMs: null, ...fields,
});

const engine = (id: string, fields: Partial<EngineReport> = {}, zoneId = 'z1'): Candidate => ({
	announcement: {
		id, serviceName: 's', address: `${id}:80`, zoneId, slots: 16, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence: 1,
	},
	load: {...createEndpointLoad(), report: report(fields), reportedAtMs: 1000},
	health: createEndpointHealth(),
});

const place = (candidates: readonly Candidate[], options: Partial<PlaceOptions> = {}): string | undefined => placeRequest({
	candidates, profile, zoneId: 'z1', promptTokens: 973, objectiveMs: 400, dues: [], isBegun: false, excludedIds: new Set(), othersPerSecond: 0, random: createRandom(1), nowMs: 1050, ...options,
})?.candidate.announcement.id;

t.test('the first token is later the more an engine has before it', async t => {
	const expected = [0, 8, 15, 16, 20].map(active => firstTokenMs(profile, demandOf(profile, engine('a', {running: Math.min(16, active), queued: Math.max(0, active - 16)}).load, 1050), 973));
	t.same(expected, expected.toSorted((a, b) => a - b));
	t.ok(expected[0]! < 120, `an idle engine begins within a pass and a half and the reading: ${expected[0]}`);
	t.ok(expected[4]! > 300, `with four waiting it takes longer than a few passes: ${expected[4]}`);
	t.ok(holdingMs(profile) > 1000 && holdingMs(profile) < 2000, 'a request holds its slot for one to two seconds');
});

// Requests that left since the engine was last read are in no report. If they
// did not count, an entry would send a whole burst to the engine that looked best.
t.test('requests that no report can know of count', async t => {
	const best = engine('best', {running: 2});
	const other = engine('other', {running: 10});
	t.equal(place([best, other]), 'best');
	for (let key = 0; key < 14; key++) {
		best.load.awaiting.set(key, {promptTokens: 973, sentAtMs: 1010, expectedMs: 100});
	}

	t.equal(place([best, other]), 'other');
});

// The link to an engine narrows: requests lie on their way for a second, so its
// reports show an idle engine. Without a look at what is overdue each entry would
// send it a dozen more before the first of them tells how late it was.
t.test('an engine that leaves requests waiting is not chosen, whatever it reports', async t => {
	const stuck = engine('stuck', {running: 1});
	const other = engine('other', {running: 12});
	t.equal(place([stuck, other]), 'stuck');
	stuck.load.awaiting.set(1, {promptTokens: 973, sentAtMs: 500, expectedMs: 110});
	t.equal(place([stuck, other]), 'other');
	stuck.load.awaiting.clear();
	noteLag(stuck.load, 800, 1050);
	t.equal(place([stuck, other]), 'other', 'and how late it was is remembered');
	const later = [stuck, other].map(candidate => ({...candidate, load: {...candidate.load, reportedAtMs: 9000}}));
	t.equal(place(later, {nowMs: 9050}), 'stuck', 'for a while');
});

t.test('an engine that loads, holds older weights or drains is not chosen', async t => {
	t.equal(place([engine('a', {isBusy: true})]), undefined);
	t.equal(place([engine('a', {version: null})]), undefined);
	t.equal(place([engine('a', {version: 1})], {dues: [{version: 2, dueAtMs: 1000}]}), undefined);
	const draining = engine('a');
	t.equal(place([{...draining, announcement: {...draining.announcement, state: 'draining'}}]), undefined);
});

// The link to an engine is narrow, and it has not yet got the new weights. A
// request that is sent to it in the last second before they are due arrives after
// that, is begun on the old ones, and nothing can stop it on its way.
t.test('no request is sent to older weights shortly before the new ones are due', async t => {
	const narrow = [engine('old', {running: 2, isStrained: true})];
	t.equal(place(narrow, {dues: [{version: 2, dueAtMs: 1050 + 2500}]}), 'old');
	t.equal(place(narrow, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), undefined);
	const wide = [engine('old', {running: 2})];
	t.equal(place(wide, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), 'old', 'where the link is as wide as it should be, callers are served until shortly before');
	t.equal(place(wide, {dues: [{version: 2, dueAtMs: 1050 + 300}]}), undefined);
	const last = [engine('old', {running: 0}), engine('new', {running: 15, version: 2}), engine('newer', {running: 15, version: 2})];
	t.not(place(last, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), 'old', 'nor one of the last to switch');
});

// A stream was cut when its engine switched to a new version. The engine that goes
// on with it must not be the next to switch: the route allows two attempts only.
t.test('a stream that was cut goes on where the new version is already served', async t => {
	const candidates = [engine('old', {running: 2}), engine('new', {running: 14, version: 2})];
	const dues = [{version: 2, dueAtMs: 9000}];
	t.equal(place(candidates, {dues}), 'old');
	t.equal(place(candidates, {dues, isBegun: true}), 'new');
});

t.test('near engines are taken while they are quick enough, others beyond that', async t => {
	t.equal(place([engine('near', {running: 5}), engine('far', {running: 0}, 'z2')]), 'near');
	t.equal(place([engine('near', {running: 16, queued: 4}), engine('far', {running: 2}, 'z2')]), 'far');
});

// An engine fails two requests in five while its health check is good. It is idle
// because it fails quickly, so without a rest it would draw the most requests.
t.test('an endpoint that fails far more often than the others rests', async t => {
	const health = createEndpointHealth();
	let isRested = false;
	for (let request = 0; request < 40 && !isRested; request++) {
		if (request % 5 < 2) {
			isRested = noteFailure(health, 0.05, 1000);
		} else {
			noteSuccess(health);
		}
	}

	t.ok(isRested);
	t.ok(isResting(health, 1100));
	t.notOk(isResting(health, 1000 + 4001));
});

t.test('an endpoint that fails no more often than all others does not rest', async t => {
	const health = createEndpointHealth();
	for (let request = 0; request < 200; request++) {
		if (request % 7 === 0) {
			t.notOk(noteFailure(health, 0.14, 1000));
		} else {
			noteSuccess(health);
		}
	}
});

// Seven entries share an allowance of 108 further attempts in ten seconds beside
// a fifth of the requests. Each may use its part only, also when all endpoints fail.
t.test('further attempts stay within the share of the requests and this entry\'s part of the allowance', async t => {
	const allowance = createRetryAllowance({windowMs: 10_000, share: 0.2});
	for (let request = 0; request < 100; request++) {
		noteRequest(allowance, request * 10);
	}

	let taken = 0;
	while (takeAttempt(allowance, 108 / 7, 1000)) {
		taken++;
	}

	t.ok(taken <= (0.2 * 100) + (108 / 7), `${taken} attempts`);
	t.ok(taken >= 20);
	t.ok(takeAttempt(allowance, 108 / 7, 11_001), 'the window slides');
});

const admit = (fields: {expectedMs: number; hasComeBack?: boolean; isOverloaded?: boolean; excessMs?: number; retryClass?: 'streaming' | 'unsafe'}) => admitRequest({
	retryClass: 'streaming', objectiveMs: 400, boundMs: 400, isOverloaded: true, spareMs: 220, hasComeBack: false, waitedMs: 0, remainingMs: 6000, excessMs: 0, random: createRandom(1), ...fields,
});

// A prompt of seven thousand tokens is late even on an idle engine. By what it takes
// itself it would be refused each time it comes, on the calmest of days: one in
// thirty of a kind of request, always the same callers.
t.test('a prompt that is late by its own length is taken where engines have room', async t => {
	const excessMs = 190;
	t.equal(admit({expectedMs: 300 + 40, excessMs}).type, 'admitted', 'nobody is before it');
	t.equal(admit({expectedMs: 110 + 260 + excessMs, excessMs}).type, 'refused', 'a usual prompt would be late, too');
	t.equal(admit({expectedMs: 340}).type, 'refused', 'a usual one that finds so much before it');
});

// More requests arrive than engines carry. Those that could no longer begin in
// time are refused at once, with a time to come back; a caller that returns late
// is taken only where it makes nobody else late.
t.test('what cannot begin in time is refused at once', async t => {
	t.equal(admit({expectedMs: 310}).type, 'admitted');
	t.match(admit({expectedMs: 330}), {type: 'refused', retryAfterMs: Number}, 'what is expected is off by a fifth and more when engines change');
	t.match(admit({expectedMs: 450}), {type: 'refused', retryAfterMs: Number});
	t.equal(admit({expectedMs: 200, hasComeBack: true}).type, 'admitted');
	t.equal(admit({expectedMs: 300, hasComeBack: true}).type, 'refused');
	t.equal(admit({expectedMs: 900, retryClass: 'unsafe'}).type, 'admitted', 'a plain request that can be answered is sent');
});

// Engines that have just been added carry the load again. Who was sent away before comes
// back, and nobody is refused meanwhile: held to engines with free places it would be lost, though it makes nobody late.
t.test('a caller that came back waits its turn like others while nobody is refused', async t => {
	t.equal(admit({expectedMs: 235, hasComeBack: true, isOverloaded: false}).type, 'admitted');
	t.equal(admit({expectedMs: 250, hasComeBack: true, isOverloaded: false}).type, 'refused', 'first-comers behind it would be late');
	t.equal(admit({expectedMs: 235, hasComeBack: true, isOverloaded: true}).type, 'refused');
	const mix = createObjectiveMix();
	for (let nowMs = 0; nowMs < 4000; nowMs += 50) {
		noteObjective(mix, 400, nowMs);
	}

	t.notOk(isOverloaded(mix, 4000));
	for (let nowMs = 3500; nowMs < 4000; nowMs += 100) {
		noteRefused(mix, 400, nowMs);
	}

	t.ok(isOverloaded(mix, 4000));
	for (let nowMs = 4000; nowMs < 12_000; nowMs += 50) {
		noteObjective(mix, 400, nowMs);
	}

	t.notOk(isOverloaded(mix, 12_000), 'nobody has been refused since');
});

// All engines have a new version staged at the same moment. If all switched
// together nobody would serve for a second; one by one they would be late.
t.test('a third of the engines switch at once', async t => {
	const permits = createSwitchPermits();
	const ask = (holder: string, nowMs: number) => takePermit(permits, {holder, serviceName: 's', engineCount: 9}, nowMs);
	t.same(['a', 'b', 'c', 'd'].map(holder => ask(holder, 0)), [true, true, true, false]);
	t.ok(ask('a', 10), 'a permit may be asked for again');
	returnPermit(permits, 'b');
	t.ok(ask('d', 20));
	t.notOk(ask('e', 30));
	t.ok(ask('e', 4000), 'a permit that is not returned ends');
});

// Callers of one route wait between five and seven seconds, and tell only how long
// they still wait; the route's timeout is six. Taken for callers that were sent away,
// every other one would be put behind the rest, though nobody ever refused it.
t.test('a caller that waits for less than the timeout has not come before for that alone', async t => {
	const patience = createCallerPatience();
	const timeoutMs = 6000;
	t.notOk(hasComeBefore(patience, {deadlineMs: 5100, timeoutMs}), 'nothing is known yet');
	t.ok(hasComeBefore(patience, {deadlineMs: 4000, timeoutMs}));
	for (let deadlineMs = 5100; deadlineMs <= 6900; deadlineMs += 100) {
		noteFirstDeadline(patience, deadlineMs);
	}

	t.notOk(hasComeBefore(patience, {deadlineMs: 5100, timeoutMs}), 'as short as some that came first');
	t.ok(hasComeBefore(patience, {deadlineMs: 5000, timeoutMs}), 'shorter than all of them');
	for (let count = 0; count < 64; count++) {
		noteFirstDeadline(patience, 3000);
	}

	t.notOk(hasComeBefore(patience, {deadlineMs: 3200, timeoutMs}), 'callers that have changed are known anew');
});

// Two kinds share the engines; one tolerates 500 ms, the other 400. Under lasting
// overload each admitted by its own objective, the first takes the engines, and the
// callers of the second are refused four times as often for wanting their answer sooner.
t.test('a kind is held to the objective of a stricter one that is refused for load', async t => {
	const mix = createObjectiveMix();
	const play = (objectiveMs: number, refusedOfTen: number, nowMs: number): void => {
		for (let index = 0; index < 10; index++) {
			noteObjective(mix, objectiveMs, nowMs);
			if (index < refusedOfTen) {
				noteRefused(mix, objectiveMs, nowMs);
			}
		}
	};

	t.equal(boundObjectiveMs(mix, 500, 0), 500, 'nothing is known yet');
	play(500, 0, 1000);
	play(400, 0, 1000);
	t.equal(boundObjectiveMs(mix, 500, 1000), 500, 'nobody is refused: what is in time for it is in time');
	play(400, 4, 1100);
	t.equal(boundObjectiveMs(mix, 500, 1100), 400);
	t.equal(boundObjectiveMs(mix, 400, 1100), 400, 'the strict kind keeps its own');
	play(500, 5, 1200);
	t.equal(boundObjectiveMs(mix, 500, 1200), 400, 'both are refused: they share what there is');
	for (let count = 0; count < 40; count++) {
		play(400, 0, 1300);
		play(500, 0, 1300);
	}

	t.equal(boundObjectiveMs(mix, 500, 1300), 500, 'hardly anybody is refused any more');
	t.equal(strictestObjectiveMs(mix, 60_000 + 1300), 400, 'shares do not change as all are forgotten');
});

// A load comes and goes. A caller that came back finds the engines full for a moment
// and has no further try: sent away, it is lost though there is room a second later.
// Under lasting overload there is none, and it is told so at once.
t.test('a caller that came back waits for room only where some was seen lately', async t => {
	const room = createSpareRoom();
	t.notOk(mayWaitForRoom(room, 0, 1000), 'none was ever seen');
	noteSpareRoom(room, 1000);
	t.ok(mayWaitForRoom(room, 0, 2000));
	t.notOk(mayWaitForRoom(room, 0, 3000), 'not for long');
	t.notOk(mayWaitForRoom(room, 1600, 2000), 'nor does it wait for ever');
});

// A prompt of 3,300 tokens and a usual one wait in an engine's queue. Read in order of
// arrival the long one is late, though the other had time to let it go first.
t.test('of one priority, those with less time to spare go first in the engines\' queues', async t => {
	const urgency = (fields: Partial<UrgencyOptions>) => urgencyOf({
		priority: 1, hasComeBack: false, objectiveMs: 400, ownReadMs: 50, usualSlackMs: 350, ...fields,
	});
	t.ok(urgency({ownReadMs: 170}) < urgency({}), 'a long prompt');
	t.ok(urgency({objectiveMs: 500}) > urgency({}), 'a kind with a longer objective');
	t.ok(urgency({priority: 0, objectiveMs: 900}) < urgency({ownReadMs: 300}), 'a more urgent priority before all of them');
	t.equal(urgency({priority: 0, hasComeBack: true}), 9, 'who came back is late already');
});
