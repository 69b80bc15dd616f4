import t from 'tap';
import {createPermitService} from '@bitternpaddle/gateway';

// Six engines are to switch, two at a time. Waiting requests are granted in order of
// arrival as soon as a permit is returned, without a new request.
t.test('waiting requests are granted in order as soon as a permit is returned', async t => {
	const service = createPermitService({engineCount: () => 6, nowMs: () => 0});
	t.teardown(service.close);
	t.same(await Promise.all([service.requestPermit('a', 's'), service.requestPermit('b', 's')]), [true, true]);
	const granted: string[] = [];
	const waiting = ['c', 'd'].map(async holder => {
		if (await service.requestPermit(holder, 's')) {
			granted.push(holder);
		}
	});
	service.releasePermit('b');
	await waiting[0];
	t.same(granted, ['c']);
	service.releasePermit('a');
	await waiting[1];
	t.same(granted, ['c', 'd']);
});

t.test('a request is refused after the maximum wait', async t => {
	let nowMs = 0;
	const service = createPermitService({engineCount: () => 3, nowMs: () => nowMs});
	t.teardown(service.close);
	t.equal(await service.requestPermit('a', 's'), true);
	const result = service.requestPermit('b', 's');
	nowMs = 301;
	t.equal(await result, false);
});

// The holder of a permit fails. Its permit expires, and a waiting request is granted
// without a new request.
t.test('a permit that is never returned expires', async t => {
	let nowMs = 0;
	const service = createPermitService({engineCount: () => 3, nowMs: () => nowMs});
	t.teardown(service.close);
	await service.requestPermit('lost', 's');
	nowMs = 2800;
	const result = service.requestPermit('b', 's');
	nowMs = 3050;
	t.equal(await result, true);
});

t.test('services have independent permits', async t => {
	const service = createPermitService({engineCount: () => 3, nowMs: () => 0});
	t.teardown(service.close);
	t.same(await Promise.all([service.requestPermit('a', 's'), service.requestPermit('b', 'r')]), [true, true]);
});
