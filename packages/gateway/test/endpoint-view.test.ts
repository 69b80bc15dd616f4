import {
	versionOf, type AgedAnnouncement, type EngineReport, type WeightsProof,
} from '@bitternpaddle/coordination';
import t from 'tap';
import {createEndpointView} from '@bitternpaddle/gateway';

const announced = (id: string, change: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id, serviceName: 's', address: '10.0.0.1:80', zoneId: 'z', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0, ...change,
});

type ReportFields = {readonly weights?: WeightsProof; readonly sentAtMs?: number; /** @default 0 */ readonly waitedMs?: number; readonly epoch?: number};

const whole = (version: number, engineId: string | null = null, startedAtMs: number | null = null): WeightsProof => ({
	type: 'whole', version, engineId, startedAtMs,
});

const create = () => {
	const restarts: string[] = [];
	const view = createEndpointView({
		onRestart(address) {
			restarts.push(address);
		},
	});
	const report: EngineReport = {
		running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'none'}, readyInMs: null,
	};
	const receiveReport = (nowMs: number, fields: ReportFields = {}): void => {
		const {weights = report.weights, sentAtMs = nowMs, waitedMs = 0, epoch = 1} = fields;
		view.recordReport({
			epoch, sequence: 1, endpointAddress: '10.0.0.1:80', report: {...report, weights}, delivery: {type: 'direct', sentAtMs},
		}, nowMs, waitedMs);
	};

	return {
		view, restarts, receiveReport,
		loadOf: (nowMs: number) => view.candidates('s', nowMs)[0]!.load,
		usable: (nowMs: number, serviceName = 's') => view.candidates(serviceName, nowMs).map(({announcement: {id}}) => id),
	};
};

// Guards against sending requests to a replaced start of an endpoint: load reports are
// matched by address, so the previous start still appears to be running.
t.test('a start that was replaced at its address receives no requests', async t => {
	const {view, restarts, receiveReport, usable} = create();
	view.recordAnnouncements([announced('before')], 0);
	view.recordAnnouncements([announced('after')], 3000);
	receiveReport(3000);
	t.same(usable(3000), ['after']);
	t.same(restarts, ['10.0.0.1:80']);
	view.recordAnnouncements([announced('before', {sequence: 2})], 3500);
	t.same(usable(3500), ['after'], 'also when its last announcement arrives late');
});

t.test('an entry that has just started uses the later of two starts', async t => {
	const {view, usable} = create();
	view.recordAnnouncements([announced('after', {ageMs: 300}), announced('before', {ageMs: 4000})], 10_000);
	t.same(usable(10_000), ['after']);
});

t.test('an endpoint of another service takes over the address', async t => {
	const {view, receiveReport, usable} = create();
	view.recordAnnouncements([announced('before')], 0);
	view.recordAnnouncements([announced('after', {serviceName: 'other'})], 3000);
	receiveReport(3000);
	t.same([usable(3000), usable(3000, 'other')], [[], ['after']]);
});

// Guards against a delayed announcement of a start that had exited and was never known here:
// it appears to be the newest start at its address.
t.test('a delayed announcement of an unknown start takes an address only until the endpoint there announces itself again', async t => {
	const {view, receiveReport, usable} = create();
	view.recordAnnouncements([announced('runs')], 0);
	view.recordAnnouncements([announced('unknown')], 1000);
	view.recordAnnouncements([announced('runs', {sequence: 5})], 8000);
	receiveReport(8000);
	t.same(usable(8000), ['runs']);
});

t.test('weights count as whole only for the start that they were shown of, until a report says otherwise', async t => {
	const {view, receiveReport, loadOf} = create();
	view.recordAnnouncements([announced('e', {startedAtMs: 500, models: [{model: 'm', version: 1}]})], 0);
	const versionAfter = (weights: WeightsProof): number | null => {
		receiveReport(1000, {weights});
		return loadOf(1000).wholeVersion;
	};

	t.equal(loadOf(0).wholeVersion, null, 'an announcement shows nothing');
	t.equal(versionAfter({type: 'unknown'}), null);
	t.equal(versionAfter(whole(1)), 1, 'the engine does not state its start');
	t.equal(versionAfter({type: 'unknown'}), 1);
	t.equal(versionAfter({type: 'none'}), null);
	t.equal(versionAfter(whole(2, 'e', 500)), 2);
	t.equal(versionAfter(whole(3, 'other', 500)), null);
	t.equal(versionAfter(whole(2, 'e')), 2);
	t.equal(versionAfter(whole(3, 'e', 400)), null);
	t.equal(versionAfter(whole(2, null, 500)), 2);
	view.recordReport({
		epoch: 1, sequence: 1, endpointAddress: '10.0.0.1:80', report: null, delivery: {type: 'direct', sentAtMs: 1100},
	}, 1100);
	receiveReport(1200, {weights: {type: 'unknown'}});
	t.equal(loadOf(1200).wholeVersion, 2, 'an engine that was unreachable for a moment is the same start');
});

// Guards against a request that was selected for a start which ends while its connection is established.
t.test('weights that were shown of a start are void once it has ended or another start has taken its id', async t => {
	const {view, receiveReport, loadOf} = create();
	view.recordAnnouncements([announced('e', {startedAtMs: 500})], 0);
	receiveReport(0, {weights: whole(1)});
	const first = loadOf(0);
	t.equal(first.wholeVersion, 1);
	view.recordAnnouncements([announced('e', {startedAtMs: 900})], 100);
	t.same([first.wholeVersion, loadOf(100).wholeVersion], [null, null]);
	receiveReport(150, {weights: whole(1)});
	const second = loadOf(150);
	t.equal(second.wholeVersion, 1);
	view.recordAnnouncements([announced('e', {startedAtMs: 900, state: 'gone', sequence: 2})], 200);
	t.equal(second.wholeVersion, null);
});

t.test('a start whose id may return needs a fresh report', async t => {
	const {view, receiveReport} = create();
	const versions = (nowMs: number): Array<number | null> => view.candidates('s', nowMs).map(candidate => versionOf(candidate, nowMs));
	view.recordAnnouncements([announced('returns', {startedAtMs: 500}), announced('unique', {address: '10.0.0.2:80'})], 0);
	receiveReport(0, {weights: whole(1)});
	view.recordReport({
		epoch: 1, sequence: 1, endpointAddress: '10.0.0.2:80', delivery: {type: 'direct', sentAtMs: 0}, report: {
			running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: whole(1), readyInMs: null,
		},
	}, 0);
	t.same(versions(100), [1, 1]);
	t.same(versions(2000), [null, 1]);
});

// Guards against a report that was under way when the engine refused the version that it names.
t.test('a report that was sent before a refusal does not show the refused version again', async t => {
	const {view, receiveReport, loadOf} = create();
	view.recordAnnouncements([announced('e')], 0);
	receiveReport(1000, {weights: whole(1), sentAtMs: 0});
	const load = loadOf(1000);
	load.wholeVersion = null;
	load.disproof = {version: 1, atMs: 1300};
	receiveReport(1350, {weights: whole(1), sentAtMs: 200});
	t.equal(load.wholeVersion, null);
	receiveReport(1400, {weights: whole(1), sentAtMs: 400});
	t.equal(load.wholeVersion, 1);
});

// Guards against taking a report that lay in the socket of a suspended entry for the present state of an engine.
t.test('a report counts from when it was sent, not from when it was read', async t => {
	const {view, receiveReport, loadOf} = create();
	view.recordAnnouncements([announced('e')], 0);
	receiveReport(1000, {sentAtMs: 50, waitedMs: 300});
	t.equal(loadOf(1000).reportedAtMs, 700, 'the first one may have waited');
	receiveReport(1100, {sentAtMs: 150});
	t.equal(loadOf(1100).reportedAtMs, 1100);
	receiveReport(4000, {sentAtMs: 250, waitedMs: 2800});
	t.equal(loadOf(4000).reportedAtMs, 1200, 'read after a suspension');
	receiveReport(4000, {sentAtMs: 3050, waitedMs: 2800});
	t.equal(loadOf(4000).reportedAtMs, 4000, 'sent just before it was read');
	receiveReport(4900, {sentAtMs: 3250});
	t.equal(loadOf(4900).reportedAtMs, 4200, 'delayed on the way');
	view.recordReport({
		epoch: 1, sequence: 1, endpointAddress: '10.0.0.1:80', report: loadOf(4900).report, delivery: {type: 'relayed', ageMs: 120, delayMs: 0},
	}, 5000, 400);
	t.equal(loadOf(5000).reportedAtMs, 4480);
});

// Guards against an engine that appears to be behind a slow link for 16 s after its agent has restarted.
t.test('the clock of another start of an agent is not compared with that of the previous one', async t => {
	const {view, receiveReport, loadOf} = create();
	view.recordAnnouncements([announced('e')], 0);
	receiveReport(1000, {sentAtMs: 500_000});
	receiveReport(1200, {sentAtMs: 100, epoch: 2});
	t.same([loadOf(1200).path.delayMs, loadOf(1200).reportedAtMs], [0, 1200]);
});
