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
	const hearReport = (nowMs: number): void => {
		view.hearReport({
			epoch: 1, sequence: 1, endpointAddress: '10.0.0.1:80', report, way: {type: 'direct', sentAtMs: nowMs},
		}, nowMs);
	};

	return {
		view, restarts, hearReport, usable: (nowMs: number, serviceName = 's') => view.candidates(serviceName, nowMs).map(({announcement: {id}}) => id),
	};
};

// The reports of an address count for whoever runs there, so the start before looks alive.
t.test('a start that another one has replaced at its address is sent nothing', async t => {
	const {view, restarts, hearReport, usable} = create();
	view.hear([announced('before')], 0);
	view.hear([announced('after')], 3000);
	hearReport(3000);
	t.same(usable(3000), ['after']);
	t.same(restarts, ['10.0.0.1:80']);
	view.hear([announced('before', {sequence: 2})], 3500);
	t.same(usable(3500), ['after'], 'also when its last announcement comes late');
});

t.test('an entry that has just started finds the later of two starts', async t => {
	const {view, usable} = create();
	view.hear([announced('after', {ageMs: 300}), announced('before', {ageMs: 4000})], 10_000);
	t.same(usable(10_000), ['after']);
});

t.test('an endpoint of another service takes the address over', async t => {
	const {view, hearReport, usable} = create();
	view.hear([announced('before')], 0);
	view.hear([announced('after', {serviceName: 'other'})], 3000);
	hearReport(3000);
	t.same([usable(3000), usable(3000, 'other')], [[], ['after']]);
});

// The late announcement of a start that was never known here looks like the newest.
t.test('a late stranger holds an address only until the endpoint there announces itself again', async t => {
	const {view, hearReport, usable} = create();
	view.hear([announced('runs')], 0);
	view.hear([announced('stranger')], 1000);
	view.hear([announced('runs', {sequence: 5})], 8000);
	hearReport(8000);
	t.same(usable(8000), ['runs']);
});
