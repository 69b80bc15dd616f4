import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	answerMs, createEndpointHealth, createEndpointLoad, createRandom, decideWait, engineOutlook, noEngineRetryMs, type Candidate, type WaitOptions,
} from '@bitternpaddle/coordination';

const profile: EngineProfile = {
	slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

const wait = (options: Partial<WaitOptions> = {}) => decideWait({
	profile, outlook: {readyInMs: 1500, slots: 160}, hasComeBack: true, remainingMs: 4000, waitedMs: 0, isHeld: false, heldCount: 0, entryCount: 8, ...options,
});

// Guards against losing caller retries after a power loss. Entries are up while
// engines fetch their weights for three seconds. A caller was refused with a retry
// time of two seconds and has no further retry: refused again, it is lost, although an
// engine is ready 1.5 s later and the caller has four seconds left.
t.test('a caller retry is held until engines are ready', async t => {
	t.equal(wait(), 'held');
	t.equal(wait({
		waitedMs: 1200, remainingMs: 2800, isHeld: true, outlook: {readyInMs: 300, slots: 160},
	}), 'held');
	t.equal(wait({hasComeBack: false}), 'leave', 'a first attempt is refused at once with a retry time');
	t.equal(wait({hasComeBack: false, waitedMs: 800}), 'leave');
});

t.test('a request is not held for long if it cannot be served in time or there is no slot for it', async t => {
	t.equal(wait({outlook: {readyInMs: 3500, slots: 160}, waitedMs: 800}), 'leave', 'the answer would come after its deadline');
	t.equal(wait({outlook: {readyInMs: null, slots: 160}, remainingMs: 3200, waitedMs: 800}), 'held', 'it is not known yet when engines are ready');
	t.equal(wait({
		outlook: {readyInMs: null, slots: 0}, remainingMs: 3200, waitedMs: 800, heldCount: 20,
	}), 'held', 'nor is it known which engines exist');
	t.equal(wait({outlook: {readyInMs: null, slots: 160}, remainingMs: 2500, waitedMs: 1500}), 'leave', 'the time is unknown for too long');
	t.equal(wait({
		outlook: {readyInMs: null, slots: 160}, remainingMs: 2500, waitedMs: 1500, isHeld: true,
	}), 'leave', 'nor is a held request kept any longer');
	t.equal(wait({heldCount: 16, waitedMs: 800}), 'leave', 'eight entries hold requests for four in five of 160 slots');
	t.equal(wait({heldCount: 16, isHeld: true}), 'held', 'a request that is already held stays held');
	t.equal(wait({profile: null, waitedMs: 800}), 'leave', 'plain services have no weights to wait for');
	t.ok(answerMs(profile) > 700 && answerMs(profile) < 1200, `a usual answer takes about a second: ${answerMs(profile)}`);
});

t.test('the outlook is that of the engine that is ready first, according to fresh reports', async t => {
	const loadingEngine = (readyInMs: number | null, reportedAtMs: number): Candidate => ({
		announcement: {
			id: `${readyInMs}`, serviceName: 's', address: 'a', zoneId: 'z', slots: 16, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
		},
		load: {
			...createEndpointLoad(), reportedAtMs, report: {
				running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'none'}, readyInMs,
			},
		},
		health: createEndpointHealth(),
	});
	t.same(engineOutlook([loadingEngine(2000, 1000), loadingEngine(900, 1000), loadingEngine(100, 0)], 1200), {readyInMs: 700, slots: 32});
	t.same(engineOutlook([loadingEngine(null, 1000)], 1200), {readyInMs: null, slots: 16});
	t.same(engineOutlook([], 1200), {readyInMs: null, slots: 0});
});

// Guards against a wait without success. Two versions were published in succession and the
// origin was lost: the older one is due, the newer one is complete in two seconds. A
// first attempt that waits 0.7 s without success and is then refused with a retry time of two seconds
// is late by as much; refused at once, it is served in time.
t.test('a first attempt is refused at once if no engine will be ready within its wait', async t => {
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 2000, slots: 160}}), 'leave');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 400, slots: 160}}), 'brief');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: 400, slots: 160}, waitedMs: 500}), 'leave');
	t.equal(wait({hasComeBack: false, outlook: {readyInMs: null, slots: 160}}), 'brief', 'the time is unknown');
	const random = createRandom(5);
	const retryTimesMs = Array.from({length: 50}, () => noEngineRetryMs({readyInMs: 1200, slots: 160}, random));
	t.ok(retryTimesMs.every(retryMs => retryMs >= 1200 && retryMs <= 1700), 'it retries when engines are ready');
	t.ok(noEngineRetryMs({readyInMs: null, slots: 0}, random) >= 1500);
});
