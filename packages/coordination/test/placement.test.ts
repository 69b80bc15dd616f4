import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	effectiveObjectiveOf, createFirstAttemptDeadlines, createObjectiveMix, createSpareCapacity, isCallerRetry, isOverloaded, mayWaitForCapacity, recordFirstDeadline, recordObjective, recordRefusal,
	recordSpareCapacity, strictestObjectiveMs, urgencyOf, type UrgencyOptions,
	admitRequest, createEndpointHealth, createEndpointLoad, createRandom, createSwitchPermits, demandOf, firstTokenMs, slotHoldMs, isBackingOff,
	recordFailure, recordLag, recordSuccess, placeRequest, returnPermit, takePermit, type Candidate, type EngineReport, type PlaceOptions,
} from '@bitternpaddle/coordination';

const profile: EngineProfile = {
	slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

const report = (fields: Partial<EngineReport> = {}): EngineReport => ({
	running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'unknown'}, readyInMs: null, ...fields,
});

type EngineFields = Partial<EngineReport> & {readonly wholeVersion?: number | null};

const engine = (id: string, {wholeVersion = 1, ...fields}: EngineFields = {}, zoneId = 'z1'): Candidate => ({
	announcement: {
		id, serviceName: 's', address: `${id}:80`, zoneId, slots: 16, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence: 1,
	},
	load: {
		...createEndpointLoad(), report: report(fields), wholeVersion, reportedAtMs: 1000,
	},
	health: createEndpointHealth(),
});

const place = (candidates: readonly Candidate[], options: Partial<PlaceOptions> = {}): string | undefined => placeRequest({
	candidates, profile, zoneId: 'z1', promptTokens: 973, objectiveMs: 400, dues: [], isBegun: false, excludedIds: new Set(), othersPerSecond: 0, random: createRandom(1), nowMs: 1050, ...options,
})?.candidate.announcement.id;

t.test('the first token is later, the more requests an engine has', async t => {
	const expected = [0, 8, 15, 16, 20].map(active => firstTokenMs(profile, demandOf(profile, engine('a', {running: Math.min(16, active), queued: Math.max(0, active - 16)}).load, 1050), 973));
	t.same(expected, expected.toSorted((a, b) => a - b));
	t.ok(expected[0]! < 120, `an idle engine takes a pass and a half and the prefill: ${expected[0]}`);
	t.ok(expected[4]! > 300, `with four waiting it takes longer than a few passes: ${expected[4]}`);
	t.ok(slotHoldMs(profile) > 1000 && slotHoldMs(profile) < 2000, 'a request holds its slot for one to two seconds');
});

// Guards against sending a whole burst to the engine that looks best: requests that
// were sent since its last report are in no report.
t.test('requests sent since the last report are counted', async t => {
	const best = engine('best', {running: 2});
	const other = engine('other', {running: 10});
	t.equal(place([best, other]), 'best');
	for (let key = 0; key < 14; key++) {
		best.load.awaiting.set(key, {promptTokens: 973, sentAtMs: 1010, expectedMs: 100});
	}

	t.equal(place([best, other]), 'other');
});

// Guards against sending more requests to an engine behind a slow link. Requests take
// a second to arrive, so its reports show an idle engine; without the overdue
// requests, each entry would send a dozen more before the first one shows the lag.
t.test('an engine with overdue requests is not chosen, whatever it reports', async t => {
	const stuck = engine('stuck', {running: 1});
	const other = engine('other', {running: 12});
	t.equal(place([stuck, other]), 'stuck');
	stuck.load.awaiting.set(1, {promptTokens: 973, sentAtMs: 500, expectedMs: 110});
	t.equal(place([stuck, other]), 'other');
	stuck.load.awaiting.clear();
	recordLag(stuck.load, 800, 1050);
	t.equal(place([stuck, other]), 'other', 'its lag is remembered');
	const later = [stuck, other].map(candidate => ({...candidate, load: {...candidate.load, reportedAtMs: 9000}}));
	t.equal(place(later, {nowMs: 9050}), 'stuck', 'the lag decays');
});

t.test('an engine that is loading, draining or holds old weights is not chosen', async t => {
	t.equal(place([engine('a', {isBusy: true})]), undefined);
	t.equal(place([engine('a', {wholeVersion: null})]), undefined);
	t.equal(place([engine('a', {wholeVersion: 1})], {dues: [{version: 2, dueAtMs: 1000}]}), undefined);
	const draining = engine('a');
	t.equal(place([{...draining, announcement: {...draining.announcement, state: 'draining'}}]), undefined);
});

// Guards against answers made with weights that nobody has checked: as a last resort, an endpoint in backoff is used, one without whole weights is not.
t.test('an engine whose weights were not shown to be whole is not chosen, even if all others are in backoff', async t => {
	const failing = engine('failing');
	failing.health.backoffUntilMs = 5000;
	t.equal(place([engine('unproven', {wholeVersion: null}), failing]), 'failing');
	t.equal(place([engine('unproven', {wholeVersion: null}), failing], {isBegun: true}), 'failing', 'nor for a stream that is resumed');
	t.equal(place([engine('unproven', {wholeVersion: null}), failing], {excludedIds: new Set(['failing'])}), undefined);
	const unreported = engine('unreported', {wholeVersion: null});
	t.equal(place([{...unreported, load: {...unreported.load, reportedAtMs: Number.NEGATIVE_INFINITY}}]), undefined, 'nor for the version that it announces');
});

// Guards against starting requests on old weights after the new ones are due. A
// request sent over a slow link in the last second before that arrives too late, is
// started on the old weights and cannot be recalled.
t.test('no request is sent to older weights shortly before the new ones are due', async t => {
	const slowLink = [engine('old', {running: 2, isStrained: true})];
	t.equal(place(slowLink, {dues: [{version: 2, dueAtMs: 1050 + 2500}]}), 'old');
	t.equal(place(slowLink, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), undefined);
	const fastLink = [engine('old', {running: 2})];
	t.equal(place(fastLink, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), 'old', 'over a link of full bandwidth, requests are sent until shortly before');
	t.equal(place(fastLink, {dues: [{version: 2, dueAtMs: 1050 + 300}]}), undefined);
	const last = [engine('old', {running: 0}), engine('new', {running: 15, wholeVersion: 2}), engine('newer', {running: 15, wholeVersion: 2})];
	t.not(place(last, {dues: [{version: 2, dueAtMs: 1050 + 1500}]}), 'old', 'nor to one of the last engines to switch');
});

// Guards against interrupting a stream twice: the route allows only two attempts, so
// after an engine switched to a new version, the next engine must not be about to
// switch as well.
t.test('an interrupted stream continues on an engine that already serves the new version', async t => {
	const candidates = [engine('old', {running: 2}), engine('new', {running: 14, wholeVersion: 2})];
	const dues = [{version: 2, dueAtMs: 9000}];
	t.equal(place(candidates, {dues}), 'old');
	t.equal(place(candidates, {dues, isBegun: true}), 'new');
});

t.test('engines in the same zone are chosen while they are fast enough, others beyond that', async t => {
	t.equal(place([engine('near', {running: 5}), engine('far', {running: 0}, 'z2')]), 'near');
	t.equal(place([engine('near', {running: 16, queued: 4}), engine('far', {running: 2}, 'z2')]), 'far');
});

// Guards against an engine that fails two requests in five while its health check
// passes. Because it fails quickly, it looks idle and would receive the most requests
// without a backoff.
t.test('an endpoint that fails far more often than the others is put into backoff', async t => {
	const health = createEndpointHealth();
	let hasBackedOff = false;
	for (let request = 0; request < 40 && !hasBackedOff; request++) {
		if (request % 5 < 2) {
			hasBackedOff = recordFailure(health, 0.05, 1000);
		} else {
			recordSuccess(health);
		}
	}

	t.ok(hasBackedOff);
	t.ok(isBackingOff(health, 1100));
	t.notOk(isBackingOff(health, 1000 + 4001));
});

t.test('an endpoint that fails no more often than the others is not put into backoff', async t => {
	const health = createEndpointHealth();
	for (let request = 0; request < 200; request++) {
		if (request % 7 === 0) {
			t.notOk(recordFailure(health, 0.14, 1000));
		} else {
			recordSuccess(health);
		}
	}
});

const admit = (fields: {expectedMs: number; hasComeBack?: boolean; isOverloaded?: boolean; excessMs?: number; retryClass?: 'streaming' | 'unsafe'}) => admitRequest({
	retryClass: 'streaming', objectiveMs: 400, effectiveObjectiveMs: 400, isOverloaded: true, spareMs: 220, hasComeBack: false,
	waitedMs: 0, remainingMs: 6000, excessMs: 0, room: null, isIdle: false, random: createRandom(1), ...fields,
});

// Guards against refusing the same callers every time. A prompt of 7,000 tokens misses
// the objective even on an idle engine; judged by its own prefill time, it would be
// refused at any load, which affects one in thirty requests of one kind.
t.test('a prompt that is late by its own length is admitted where engines have spare capacity', async t => {
	const excessMs = 190;
	t.equal(admit({expectedMs: 300 + 40, excessMs}).type, 'admitted', 'no request is ahead of it');
	t.equal(admit({expectedMs: 110 + 260 + excessMs, excessMs}).type, 'refused', 'a usual prompt would be late as well');
	t.equal(admit({expectedMs: 340}).type, 'refused', 'a usual prompt with as much ahead of it');
});

// Guards against queues that make all requests late under overload. Requests that
// cannot start in time are refused at once with a retry time; a caller retry, which is
// late already, is admitted only where it makes no other request late.
t.test('a request that cannot start in time is refused at once', async t => {
	t.equal(admit({expectedMs: 310}).type, 'admitted');
	t.match(admit({expectedMs: 330}), {type: 'refused', retryAfterMs: Number}, 'estimates are off by a fifth or more while engines change');
	t.match(admit({expectedMs: 450}), {type: 'refused', retryAfterMs: Number});
	t.equal(admit({expectedMs: 200, hasComeBack: true}).type, 'admitted');
	t.equal(admit({expectedMs: 300, hasComeBack: true}).type, 'refused');
	t.equal(admit({expectedMs: 900, retryClass: 'unsafe'}).type, 'admitted', 'a plain request that can be answered in time is sent');
});

// Guards against losing caller retries after engines were added. The engines carry the
// load again and nothing is refused; if a retry still required a free slot, it would
// be lost although it makes no other request late.
t.test('a caller retry is admitted like a first attempt while no first attempts are refused', async t => {
	t.equal(admit({expectedMs: 235, hasComeBack: true, isOverloaded: false}).type, 'admitted');
	t.equal(admit({expectedMs: 250, hasComeBack: true, isOverloaded: false}).type, 'refused', 'first attempts behind it would be late');
	t.equal(admit({expectedMs: 235, hasComeBack: true, isOverloaded: true}).type, 'refused');
	const mix = createObjectiveMix();
	for (let nowMs = 0; nowMs < 4000; nowMs += 50) {
		recordObjective(mix, 400, nowMs);
	}

	t.notOk(isOverloaded(mix, 4000));
	for (let nowMs = 3500; nowMs < 4000; nowMs += 100) {
		recordRefusal(mix, 400, nowMs);
	}

	t.ok(isOverloaded(mix, 4000));
	for (let nowMs = 4000; nowMs < 12_000; nowMs += 50) {
		recordObjective(mix, 400, nowMs);
	}

	t.notOk(isOverloaded(mix, 12_000), 'no first attempts have been refused since');
});

// Guards against all engines switching to a new version together, when none would
// serve for a second. One by one, they would be late.
t.test('a third of the engines switch at once', async t => {
	const permits = createSwitchPermits();
	const requestPermit = (holder: string, nowMs: number) => takePermit(permits, {holder, serviceName: 's', engineCount: 9}, nowMs);
	t.same(['a', 'b', 'c', 'd'].map(holder => requestPermit(holder, 0)), [true, true, true, false]);
	t.ok(requestPermit('a', 10), 'a permit can be requested again');
	returnPermit(permits, 'b');
	t.ok(requestPermit('d', 20));
	t.notOk(requestPermit('e', 30));
	t.ok(requestPermit('e', 4000), 'a permit that is not returned expires');
});

// Guards against mistaking first attempts for retries. Callers of one route wait
// between five and seven seconds and state only how long they still wait, while the
// route's timeout is six; every other caller would be queued behind the others
// although it was never refused.
t.test('a deadline shorter than the timeout is not enough to classify a request as a retry', async t => {
	const patience = createFirstAttemptDeadlines();
	const timeoutMs = 6000;
	t.notOk(isCallerRetry(patience, {deadlineMs: 5100, timeoutMs}), 'nothing is known yet');
	t.ok(isCallerRetry(patience, {deadlineMs: 4000, timeoutMs}));
	for (let deadlineMs = 5100; deadlineMs <= 6900; deadlineMs += 100) {
		recordFirstDeadline(patience, deadlineMs);
	}

	t.notOk(isCallerRetry(patience, {deadlineMs: 5100, timeoutMs}), 'as short as some first attempts');
	t.ok(isCallerRetry(patience, {deadlineMs: 5000, timeoutMs}), 'shorter than all first attempts');
	for (let count = 0; count < 64; count++) {
		recordFirstDeadline(patience, 3000);
	}

	t.notOk(isCallerRetry(patience, {deadlineMs: 3200, timeoutMs}), 'changed deadlines replace the old ones');
});

// Guards against a tolerant class of requests taking the engines from a stricter one.
// One class tolerates 500 ms, the other 400; if each were admitted by its own
// objective under sustained overload, the stricter class would be refused four times
// as often.
t.test('a class is held to the objective of a stricter one that is refused for load', async t => {
	const mix = createObjectiveMix();
	const addRequests = (objectiveMs: number, refusedOfTen: number, nowMs: number): void => {
		for (let index = 0; index < 10; index++) {
			recordObjective(mix, objectiveMs, nowMs);
			if (index < refusedOfTen) {
				recordRefusal(mix, objectiveMs, nowMs);
			}
		}
	};

	t.equal(effectiveObjectiveOf(mix, 500, 0), 500, 'nothing is known yet');
	addRequests(500, 0, 1000);
	addRequests(400, 0, 1000);
	t.equal(effectiveObjectiveOf(mix, 500, 1000), 500, 'nothing is refused, so its own objective applies');
	addRequests(400, 4, 1100);
	t.equal(effectiveObjectiveOf(mix, 500, 1100), 400);
	t.equal(effectiveObjectiveOf(mix, 400, 1100), 400, 'the stricter class keeps its own objective');
	addRequests(500, 5, 1200);
	t.equal(effectiveObjectiveOf(mix, 500, 1200), 400, 'both are refused and share the capacity');
	for (let count = 0; count < 40; count++) {
		addRequests(400, 0, 1300);
		addRequests(500, 0, 1300);
	}

	t.equal(effectiveObjectiveOf(mix, 500, 1300), 500, 'hardly any requests are refused any more');
	t.equal(strictestObjectiveMs(mix, 60_000 + 1300), 400, 'the shares do not change while all rates decay');
});

// Guards against losing caller retries under a fluctuating load: engines are full for
// a moment, and the caller has no further retry although capacity is free a second
// later. Under sustained overload there is none, and the caller is refused at once.
t.test('a caller retry waits for capacity only if some was seen recently', async t => {
	const capacity = createSpareCapacity();
	t.notOk(mayWaitForCapacity(capacity, 0, 1000), 'none was ever seen');
	recordSpareCapacity(capacity, 1000);
	t.ok(mayWaitForCapacity(capacity, 0, 2000));
	t.notOk(mayWaitForCapacity(capacity, 0, 3000), 'not for long');
	t.notOk(mayWaitForCapacity(capacity, 1600, 2000), 'the wait is limited');
});

// Guards against late answers to long prompts: if a prompt of 3,300 tokens and a usual
// one are queued and prefilled in order of arrival, the long one is late, although the
// other had time to let it go first.
t.test('within one priority, requests with less slack go first in the engines\' queues', async t => {
	const urgency = (fields: Partial<UrgencyOptions>) => urgencyOf({
		priority: 1, hasComeBack: false, objectiveMs: 400, promptPrefillMs: 50, usualSlackMs: 350, ...fields,
	});
	t.ok(urgency({promptPrefillMs: 170}) < urgency({}), 'a long prompt');
	t.ok(urgency({objectiveMs: 500}) > urgency({}), 'a class with a longer objective');
	t.ok(urgency({priority: 0, objectiveMs: 900}) < urgency({promptPrefillMs: 300}), 'a more urgent priority goes before all of them');
	t.equal(urgency({priority: 0, hasComeBack: true}), 9, 'a caller retry is late already');
});
