import {createRandom} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createEntryLease} from '@bitternpaddle/gateway';

const createLease = () => {
	const world = {
		nowMs: 10_000, number: -1, reachesCore: false, asked: 0,
	};
	const lease = createEntryLease({
		revocationMs: 5000, clock: {nowMs: () => world.nowMs}, random: createRandom(1), logger: silentLogger, configurationNumber: () => world.number,
		reachesCore: () => world.reachesCore, askCore() {
			world.asked++;
		},
	});
	return {lease, world};
};

// A core host knows a newer configuration than this entry, in which a key was taken
// away. What it says of its own freshness must not count before the entry holds that
// configuration, or the old key would be served on.
t.test('what a core host held renews the lease once it is held here too', async t => {
	const {lease, world} = createLease();
	lease.hear({number: 3, freshAtMs: 9990});
	t.notOk(lease.holds());
	world.number = 3;
	lease.settle();
	t.ok(lease.holds());
	world.nowMs = 9990 + 4000;
	t.notOk(lease.holds(), 'and for four fifths of the bound by which a revoked key is dead');
});

t.test('while it is not held, the core is asked four times a second', async t => {
	const {lease, world} = createLease();
	for (; world.nowMs < 11_000; world.nowMs += 10) {
		lease.holds();
	}

	t.ok(world.asked >= 3 && world.asked <= 5, `${world.asked} times in a second`);
});

t.test('when callers should come back tells what this entry knows of the core', async t => {
	const {lease, world} = createLease();
	t.equal(lease.retryMs(), 2000, 'it starts, most likely with everything else');
	world.number = 1;
	lease.hear({number: 1, freshAtMs: 10_000});
	t.ok(lease.hasHeld());
	world.nowMs = 20_000;
	t.equal(lease.retryMs(), 100, 'it is cut off: other entries are not');
	world.reachesCore = true;
	t.ok(lease.retryMs() >= 1200, 'the core elects a leader, which is no better elsewhere');
});
