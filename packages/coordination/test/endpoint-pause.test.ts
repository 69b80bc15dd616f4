import t from 'tap';
import {createEndpointLoad, isPaused, notePause} from '@bitternpaddle/coordination';

t.test('a new pause can extend the current one but not shorten it', async t => {
	const load = createEndpointLoad();
	t.notOk(isPaused(load, 0));
	notePause(load, 3000, 1000);
	notePause(load, 500, 1200);
	t.ok(isPaused(load, 3999));
	t.notOk(isPaused(load, 4000));
	notePause(load, 5000, 2000);
	t.ok(isPaused(load, 6999));
});

t.test('an excessively long pause is capped at ten minutes', async t => {
	const load = createEndpointLoad();
	notePause(load, 1e15, 0);
	t.ok(isPaused(load, 599_999));
	t.notOk(isPaused(load, 600_000));
});
