import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	answerMs, createEndpointHealth, createEndpointLoad, createRandom, decideWait, engineOutlook, noEngineReturnMs, type Candidate, type WaitOptions,
} from '@bitternpaddle/coordination';

const profile: EngineProfile = {
	slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

const wait = (options: Partial<WaitOptions> = {}) => decideWait({
	profile, outlook: {readyInMs: 1500, slots: 160}, hasComeBack: true, remainingMs: 4000, waitedMs: 0, isHeld: false, heldCount: 0, entryCount: 8, ...options,
});

// Everything lost power. Entries are up, engines draw their weights for three
// seconds. A caller was told to come back after two, came back, and has no further
// try: sent away now, it is lost, though an engine is ready a second and a half
// later and it has four seconds left.
t.test('a caller that came back is held until engines are ready', async t => {
	t.equal(wait(), 'held');
	t.equal(wait({
		waitedMs: 1200, remainingMs: 2800, isHeld: true, outlook: {readyInMs: 300, slots: 160},
	}), 'held');
	t.equal(wait({hasComeBack: false}), 'leave', 'one that comes for the first time is told at once when to come back');
	t.equal(wait({hasComeBack: false, waitedMs: 800}), 'leave');
});

t.test('nobody is held long who cannot be served in time, or for whom there is no place', async t => {
	t.equal(wait({outlook: {readyInMs: 3500, slots: 160}, waitedMs: 800}), 'leave', 'the answer would come after its deadline');
	t.equal(wait({outlook: {readyInMs: null, slots: 160}, remainingMs: 3200, waitedMs: 800}), 'held', 'nobody can tell yet when engines are ready');
	t.equal(wait({
		outlook: {readyInMs: null, slots: 0}, remainingMs: 3200, waitedMs: 800, heldCount: 20,
	}), 'held', 'nor which engines there are');
	t.equal(wait({outlook: {readyInMs: null, slots: 160}, remainingMs: 2500, waitedMs: 1500}), 'leave', 'nobody can tell for long');
	t.equal(wait({
		outlook: {readyInMs: null, slots: 160}, remainingMs: 2500, waitedMs: 1500, isHeld: true,
	}), 'leave', 'nor can anybody any more');
	t.equal(wait({heldCount: 16, waitedMs: 800}), 'leave', 'eight entries hold four in five of 160 places');
	t.equal(wait({heldCount: 16, isHeld: true}), 'held', 'who is held already stays');
	t.equal(wait({profile: null, waitedMs: 800}), 'leave', 'plain services have no weights to wait for');
	t.ok(answerMs(profile) > 700 && answerMs(profile) < 1200, `a usual answer takes about a second: ${answerMs(profile)}`);
});

t.test('the outlook is that of the engine that is ready first, by fresh reports', async t => {
	const filling = (readyInMs: number | null, reportedAtMs: number): Candidate => ({
		announcement: {
			id: `${readyInMs}`, serviceName: 's', address: 'a', zoneId: 'z', slots: 16, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
		},
		load: {
			...createEndpointLoad(), reportedAtMs, report: {
				running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, version: null, readyInMs,
			},
		},
		health: createEndpointHealth(),
	});
	t.same(engineOutlook([filling(2000, 1000), filling(900, 1000), filling(100, 0)], 1200), {readyInMs: 700, slots: 32});
	t.same(engineOutlook([filling(null, 1000)], 1200), {readyInMs: null, slots: 16});
	t.same(engineOutlook([], 1200), {readyInMs: null, slots: 0});
});

// Two versions were named in a row and the origin was lost: the older one is due, the
// newer one is whole in two seconds. A first-comer that waits 0.7 s in vain is told
// to come back after two more, and is late by as much; told at once, it is served then.
t.test('a first-comer is sent away at once when no engine will be ready in its wait', async t => {
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 2000, slots: 160}}), 'leave');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 400, slots: 160}}), 'brief');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 400, slots: 160}, waitedMs: 500}), 'leave');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: null, slots: 160}}), 'brief', 'nobody can tell');
	const random = createRandom(5);
	const returns = Array.from({length: 50}, () => noEngineReturnMs({readyInMs: 1200, slots: 160}, random));
	t.ok(returns.every(returnMs => returnMs >= 1200 && returnMs <= 1700), 'it comes back when engines are ready');
	t.ok(noEngineReturnMs({readyInMs: null, slots: 0}, random) >= 1500);
});
