import t from 'tap';
import {createWaitQueue} from '@bitternpaddle/gateway';

// Guards against retries of callers, which have no further retry, being overtaken by
// less urgent requests that began to wait earlier.
t.test('waiting requests are checked by priority and then by time left', async t => {
	const queue = createWaitQueue();
	const checked: string[] = [];
	const wait = async (name: string, rank: number, deadlineAtMs: number): Promise<void> => {
		await queue.nextCheck({rank, deadlineAtMs});
		checked.push(name);
	};

	const waits = [wait('least', 4, 10), wait('later', 0, 20), wait('retry', 1, 5), wait('sooner', 0, 10)];
	queue.checkNow();
	await Promise.all(waits);
	t.same(checked, ['sooner', 'later', 'retry', 'least']);
});

t.test('a request counts those that it must not overtake, of its own service', async t => {
	const queue = createWaitQueue();
	const leave = queue.joinCapacity('s', {rank: 1, deadlineAtMs: 10});
	const own = {rank: 2, deadlineAtMs: 10};
	queue.joinCapacity('s', own);
	t.equal(queue.capacityAheadCount('s', {rank: 0, deadlineAtMs: 0}), 0);
	t.equal(queue.capacityAheadCount('s', {rank: 2, deadlineAtMs: 0}), 2);
	t.equal(queue.capacityAheadCount('s', own), 1, 'without itself');
	t.equal(queue.capacityAheadCount('other', {rank: 2, deadlineAtMs: 0}), 0);
	leave();
	t.equal(queue.capacityAheadCount('s', own), 0);
});
