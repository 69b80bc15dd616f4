import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	choosePlain, createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createRandom, createSpareCapacity, demandOf, learnPlainTime, nextStep, placeRequest,
	plainLatenessMs, recordActive, recordSlowdown, slowdownAt, spreadRequests, type Candidate, type EngineReport, type EndpointLoad, type PlacementContext, type AgedFigure, type UnplacedRequest,
} from '@bitternpaddle/coordination';

const nowMs = 10_000;

const endpoint = (id: string, load: Partial<EndpointLoad> = {}, zoneId = 'z1'): Candidate => ({
	announcement: {
		id, serviceName: 's', address: `${id}:80`, zoneId, slots: 6, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
	},
	load: {...createEndpointLoad(), ...load},
	health: createEndpointHealth(),
});

const slowdown = (figure: number, ageMs = 0): AgedFigure => recordSlowdown(null, figure, nowMs - ageMs);

const learned = (usualMs: number) => ({usualMs, answers: 20, atMs: nowMs});

const context = (candidates: readonly Candidate[], fields: Partial<PlacementContext> = {}): PlacementContext => ({
	candidates, permitStateOf: () => ({type: 'available'}), profile: null, zoneId: 'z1', entryCount: 1, dues: [], shutdownInMs: Number.POSITIVE_INFINITY,
	room: null, random: createRandom(1), nowMs, ...fields,
});

const request = (fields: Partial<UnplacedRequest> = {}): UnplacedRequest => ({
	isLastTry: false, priority: 0, teamName: null, routeName: 'r',
	deadlineAtMs: nowMs + 1000, retryClass: 'safe', objectiveMs: 245, timeoutMs: 1200, promptTokens: 0, maxAnswerTokens: 0, receivedAtMs: nowMs,
	sinceMs: nowMs, isBegun: false, sentCount: 0, triedIds: new Set(), waitsFor: null, ...fields,
});

const step = (candidates: readonly Candidate[], fields: Partial<UnplacedRequest> = {}) => nextStep({
	sendRate: createArrivalRate(), objectives: createObjectiveMix(), spareCapacity: createSpareCapacity(), heldCount: 0, queuedCount: 0, capacityAheadCount: 0,
}, context(candidates), request(fields));

const place = (candidates: readonly Candidate[]) => {
	const next = step(candidates);
	return next.type === 'send' ? {id: next.placement.candidate.announcement.id, expectedMs: Math.round(next.placement.expectedMs)} : null;
};

const placeOnce = (candidates: readonly Candidate[], seed = 1) => placeRequest({
	...context(candidates, {random: createRandom(seed)}), promptTokens: 0, objectiveMs: 245, excludedIds: new Set(), othersPerSecond: 0, isBegun: false,
});

t.test('a figure loses its weight to the mean, which returns to 1 while no figures arrive', async t => {
	// A host that is 2.5 times as slow for 600 ms in every 3 s, with an answer every 100 ms.
	let host: AgedFigure | null = null;
	for (let atMs = 0; atMs < 9600; atMs += 100) {
		host = recordSlowdown(host, atMs % 3000 < 600 ? 2.5 : 1, atMs);
	}

	t.ok(host!.mean > 1.2 && host!.mean < 1.5, `${host!.mean}: 1.3 over a whole period, and the last part was slow`);
	t.equal(slowdownAt(host!, 9500), 2.5);
	t.ok(slowdownAt(host!, 9650) > 1.7 && slowdownAt(host!, 9650) < 2.1);
	t.ok(Math.abs(slowdownAt(host!, 9800) - host!.mean) < 0.001, 'an outdated figure counts no more than the mean');
	t.ok(slowdownAt(host!, 20_000) < 1.02);
});

t.test('answers that are more frequent while the host is fast do not lower the mean', async t => {
	let host = recordSlowdown(null, 2, 0);
	for (let atMs = 300; atMs < 6000; atMs += 600) {
		for (let answer = 0; answer < 30; answer++) {
			host = recordSlowdown(host, 1, atMs + (answer * 10));
		}

		host = recordSlowdown(host, 2, atMs + 590);
	}

	t.ok(host.mean > 1.4 && host.mean < 1.6, `${host.mean}`);
});

t.test('a nonsensical figure neither makes an endpoint unanswerable nor its learned time meaningless', async t => {
	t.ok(slowdownAt(recordSlowdown(null, 1e9, nowMs), nowMs) <= 20);
	t.ok(recordActive(null, 1e9, nowMs).mean <= 500);
	const {load, ...rest} = endpoint('a');
	learnPlainTime(load, rest, {tookMs: 60, advertised: {active: 1, slots: 6, slowdown: 0.001}, estimate: null}, nowMs);
	t.ok(load.learned!.usualMs <= 300);
});

t.test('a service without figures is placed and estimated as before', async t => {
	t.same(place([endpoint('a', {learned: learned(60)})]), {id: 'a', expectedMs: 25});
	t.same(place([endpoint('a', {
		outstanding: 6, advertisedLoad: {
			active: 3, slots: 2, slowdown: null, atMs: nowMs,
		},
	})]), {id: 'a', expectedMs: 75});
	const placement = placeOnce([endpoint('a')]);
	t.notOk('plain' in placement! || 'passedNear' in placement!);
	t.equal(step([endpoint('a')], {sentCount: 1, deadlineAtMs: nowMs + 10}).type, 'send', 'further attempts are sent whatever the time left');
});

t.test('the usual time is learned apart from the slowdown and the queue', async t => {
	const {load, ...rest} = endpoint('a');
	for (let answer = 0; answer < 10; answer++) {
		learnPlainTime(load, rest, {tookMs: answer % 2 === 0 ? 60 : 150, advertised: {active: 2, slots: 6, slowdown: answer % 2 === 0 ? 1 : 2.5}, estimate: null}, nowMs);
	}

	learnPlainTime(load, rest, {tookMs: 120, advertised: {active: 12, slots: 6, slowdown: 1}, estimate: null}, nowMs);
	t.equal(Math.round(load.learned!.usualMs), 60);
	learnPlainTime(load, rest, {tookMs: 3000, advertised: null, estimate: null}, nowMs);
	learnPlainTime(load, rest, {tookMs: 3000, advertised: {active: 1, slots: 6, slowdown: null}, estimate: null}, nowMs);
	t.equal(Math.round(load.learned!.usualMs), 60, 'an answer with a missing or unreadable header teaches nothing');
	learnPlainTime(load, rest, {tookMs: 3000, advertised: {active: 1, slots: 6, slowdown: 1}, estimate: null}, nowMs);
	t.ok(load.learned!.usualMs < 80, 'an answer over a stalled link teaches little');
});

t.test('the estimate is the usual time, the slowdown and the load, and an endpoint without answers is like the others', async t => {
	const a = endpoint('a', {
		learned: learned(60), slowdown: slowdown(2.5), active: recordActive(null, 11, nowMs),
	});
	t.same(place([a]), {id: 'a', expectedMs: 300});
	t.same(place([a, endpoint('new')]), {id: 'new', expectedMs: 60});
	const outdated = endpoint('a', {
		learned: learned(60), slowdown: slowdown(2.5, 9000), active: recordActive(null, 11, nowMs - 9000), outstanding: 12,
	});
	t.same(place([outdated]), {id: 'a', expectedMs: Math.round(60 * slowdownAt(outdated.load.slowdown!, nowMs) * 13 / 6)}, 'of an outdated load, the own requests remain');
});

t.test('an endpoint that was slow after its start is used again after some seconds without requests', async t => {
	const others = [endpoint('b', {learned: learned(60), slowdown: slowdown(1, 5000)})];
	t.equal(place([endpoint('a', {slowdown: slowdown(4, 400)}), ...others])?.id, 'b');
	const chosen = Array.from({length: 20}, (_, seed) => placeOnce([endpoint('a', {slowdown: slowdown(4, 9000)}), ...others], seed)?.candidate.announcement.id);
	t.ok(chosen.includes('a'));
});

t.test('an endpoint that slows down when nearly full gets fewer requests before its slots are taken', async t => {
	const full = endpoint('a', {
		learned: learned(60), slowdown: slowdown(1.8), active: recordActive(null, 5, nowMs),
	});
	t.equal(place([full, endpoint('b', {slowdown: slowdown(1)})])?.id, 'b');
});

t.test('an endpoint that refuses at once when full is not preferred to a slow one until its slots have turned over', async t => {
	const refusing = (agoMs: number) => endpoint('a', {
		slowdown: slowdown(1, agoMs), refusal: {atMs: nowMs - agoMs, active: 6}, active: recordActive(null, 6, nowMs - agoMs),
	});
	const slow = endpoint('b', {slowdown: slowdown(2.5)});
	t.equal(place([refusing(10), slow])?.id, 'b');
	t.equal(place([refusing(1000), slow])?.id, 'a', 'without an answer since, it is tried again within a second');
	const fullAgain = endpoint('a', {slowdown: slowdown(1), refusal: {atMs: nowMs - 2000, active: 6}, active: recordActive(null, 6, nowMs)});
	t.equal(place([fullAgain, slow])?.id, 'b', 'nor when it has as many requests as when it refused');
});

t.test('what the figure of an answer explains is not counted as lag; an understated load is', async t => {
	const estimate = {
		usualMs: 60, slowdown: 1, loadFactor: 1, isFull: false,
	};
	t.equal(plainLatenessMs({tookMs: 150, advertised: {active: 1, slots: 6, slowdown: 2.5}, estimate}, 60), 0);
	t.equal(plainLatenessMs({tookMs: 150, advertised: {active: 1, slots: 6, slowdown: 1}, estimate}, 60), 90);
	t.equal(plainLatenessMs({tookMs: 150, advertised: null, estimate: null}, 60), 90);
});

t.test('another zone is used only if it is faster by more than the way there', async t => {
	const choose = (nearMs: number, otherMs: number, dueInMs = 1000) => choosePlain([{zoneId: 'z1', expectedMs: nearMs}, {zoneId: 'z2', expectedMs: otherMs}], {
		zoneId: 'z1', dueInMs, random: createRandom(1),
	});
	t.equal(choose(70, 60).chosen.zoneId, 'z1');
	t.equal(choose(63, 60, 62).chosen.zoneId, 'z2', 'or if only that can answer in time');
	t.match(choose(72, 60), {chosen: {zoneId: 'z2'}, passedNear: {expectedMs: 72}});
	t.equal(choosePlain([{zoneId: 'z2', expectedMs: 60}], {zoneId: 'z1', dueInMs: 1000, random: createRandom(1)}).passedNear, null);
});

t.test('with a deadline of a second, what cannot be answered in time is refused at once, also as a last try', async t => {
	const busy = endpoint('a', {
		learned: learned(60), slowdown: slowdown(2.5), active: recordActive(null, 41, nowMs),
	});
	t.match(step([busy]), {type: 'refuse', reason: /in the time/v, tooLate: {remainingMs: 1000}});
	t.equal(step([busy], {isLastTry: true}).type, 'refuse');
	t.equal(step([busy, endpoint('b', {}, 'z2')]).type, 'send');
});

t.test('a usual time that was learned during a disturbance is corrected: first attempts are sent again after some seconds without answers', async t => {
	const disturbed = (ageMs: number, outstanding = 0) => endpoint('a', {learned: {usualMs: 3000, answers: 20, atMs: nowMs - ageMs}, slowdown: slowdown(1, ageMs), outstanding});
	t.equal(step([disturbed(4000)]).type, 'refuse');
	t.equal(step([disturbed(6000)]).type, 'send');
	t.equal(step([disturbed(6000, 1)]).type, 'refuse', 'one at a time');
	t.equal(step([disturbed(6000)], {isLastTry: true}).type, 'refuse');
	const {load, ...rest} = disturbed(11_000);
	learnPlainTime(load, rest, {tookMs: 60, advertised: {active: 1, slots: 6, slowdown: 1}, estimate: null}, nowMs);
	t.ok(load.learned!.usualMs < 180);
});

t.test('a further attempt is sent only where it can be in time; a stream that has begun is continued', async t => {
	const slow = endpoint('a', {learned: learned(60), slowdown: slowdown(2.5)});
	t.equal(step([slow], {sentCount: 1, deadlineAtMs: nowMs + 160}).type, 'send');
	t.match(step([slow], {sentCount: 1, deadlineAtMs: nowMs + 140}), {type: 'refuse', tooLate: {placement: {candidate: {announcement: {id: 'a'}}}}});
	t.equal(step([slow], {sentCount: 1, isBegun: true, deadlineAtMs: nowMs + 140}).type, 'send');
});

t.test('a figure that is newer than the report replaces the pace of an engine, an older one does not', async t => {
	const report: EngineReport = {
		running: 4, queued: 0, pace: 1.2, isBusy: false, isStrained: false, weights: {type: 'unknown'}, readyInMs: null,
	};
	const profile: EngineProfile = {
		slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
		kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
	};
	const paceWith = (ageMs: number): number => demandOf(profile, {
		...createEndpointLoad(), report, reportedAtMs: nowMs - 100, slowdown: slowdown(2.5, ageMs),
	}, nowMs).pace;
	t.equal(paceWith(50), 2.5);
	t.equal(paceWith(150), 1.2);
});

t.test('slower engines get fewer requests up to the same wait', async t => {
	t.same(spreadRequests([0, 0], {count: 3, perRequestMs: 10, paces: [1, 2]}), [2, 1]);
	t.same(spreadRequests([0, 100], {count: 3, perRequestMs: 10, paces: [2, 1]}), [3, 0]);
	t.same(spreadRequests([0, 10, 100], {count: 3, perRequestMs: 10, paces: [1, 1, 1]}), spreadRequests([0, 10, 100], {count: 3, perRequestMs: 10}));
});
