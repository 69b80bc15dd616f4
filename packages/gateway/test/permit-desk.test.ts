import t from 'tap';
import {createPermitDesk} from '@bitternpaddle/gateway';

// Six engines are to switch, two at a time. Those that wait are let out in the order in
// which they asked, as soon as one is back, without asking again.
t.test('who waits is let out in turn, as soon as a permit is given back', async t => {
	const desk = createPermitDesk({engineCount: () => 6, nowMs: () => 0});
	t.teardown(desk.close);
	t.same(await Promise.all([desk.ask('a', 's'), desk.ask('b', 's')]), [true, true]);
	const granted: string[] = [];
	const waiting = ['c', 'd'].map(async holder => {
		if (await desk.ask(holder, 's')) {
			granted.push(holder);
		}
	});
	desk.giveBack('b');
	await waiting[0];
	t.same(granted, ['c']);
	desk.giveBack('a');
	await waiting[1];
	t.same(granted, ['c', 'd']);
});

t.test('who has waited long enough is told to ask again', async t => {
	let nowMs = 0;
	const desk = createPermitDesk({engineCount: () => 3, nowMs: () => nowMs});
	t.teardown(desk.close);
	t.equal(await desk.ask('a', 's'), true);
	const asked = desk.ask('b', 's');
	nowMs = 301;
	t.equal(await asked, false);
});

// The holder of a permit was lost. Its permit ends by itself, and whoever waits need not ask anew.
t.test('a permit that is never given back ends by itself', async t => {
	let nowMs = 0;
	const desk = createPermitDesk({engineCount: () => 3, nowMs: () => nowMs});
	t.teardown(desk.close);
	await desk.ask('lost', 's');
	nowMs = 2800;
	const asked = desk.ask('b', 's');
	nowMs = 3050;
	t.equal(await asked, true);
});

t.test('services do not wait for each other', async t => {
	const desk = createPermitDesk({engineCount: () => 3, nowMs: () => 0});
	t.teardown(desk.close);
	t.same(await Promise.all([desk.ask('a', 's'), desk.ask('b', 'r')]), [true, true]);
});
