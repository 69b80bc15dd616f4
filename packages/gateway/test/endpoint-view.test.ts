import type {AgedAnnouncement} from '@bitternpaddle/coordination';
import t from 'tap';
import {createEndpointView} from '@bitternpaddle/gateway';

const announced = (id: string, change: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id, serviceName: 's', address: '10.0.0.1:80', zoneId: 'z', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0, ...change,
});

type ReportFields = {readonly sentAtMs?: number; /** @default 0 */ readonly waitedMs?: number; readonly epoch?: number};

const create = () => {
	const restarts: string[] = [];
	const view = createEndpointView({
		onRestart(address) {
			restarts.push(address);
		},
	});
	const report = {
		running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, version: 1, readyInMs: null,
	};
	const receiveReport = (nowMs: number, fields: ReportFields = {}): void => {
		const {sentAtMs = nowMs, waitedMs = 0, epoch = 1} = fields;
		view.recordReport({
			epoch, sequence: 1, endpointAddress: '10.0.0.1:80', report, delivery: {type: 'direct', sentAtMs},
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
