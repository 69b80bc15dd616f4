import type {AgedAnnouncement} from '@bitternpaddle/coordination';
import t from 'tap';
import {createEndpointView} from '@bitternpaddle/gateway';

const announced = (id: string, change: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id, serviceName: 's', address: '10.0.0.1:80', zoneId: 'z', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0, ...change,
});

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
	const receiveReport = (nowMs: number): void => {
		view.recordReport({
			epoch: 1, sequence: 1, endpointAddress: '10.0.0.1:80', report, delivery: {type: 'direct', sentAtMs: nowMs},
		}, nowMs);
	};

	return {
		view, restarts, receiveReport, usable: (nowMs: number, serviceName = 's') => view.candidates(serviceName, nowMs).map(({announcement: {id}}) => id),
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
