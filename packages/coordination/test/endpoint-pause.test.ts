import t from 'tap';
import {createEndpointLoad, isPaused, recordPause} from '@bitternpaddle/coordination';

t.test('a new pause can extend the current one but not shorten it', async t => {
	const load = createEndpointLoad();
	t.notOk(isPaused(load, 0));
	recordPause(load, 3000, 1000);
	recordPause(load, 500, 1200);
	t.ok(isPaused(load, 3999));
	t.notOk(isPaused(load, 4000));
	recordPause(load, 5000, 2000);
	t.ok(isPaused(load, 6999));
});

t.test('an excessively long pause is capped at ten minutes', async t => {
	const load = createEndpointLoad();
	recordPause(load, 1e15, 0);
	t.ok(isPaused(load, 599_999));
	t.notOk(isPaused(load, 600_000));
});
