import {createRandom} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createEntryLease} from '@bitternpaddle/gateway';

const createLease = () => {
	const world = {
		nowMs: 10_000, number: -1, reachesCore: false, refreshCount: 0,
	};
	const lease = createEntryLease({
		revocationMs: 5000, clock: {nowMs: () => world.nowMs}, random: createRandom(1), logger: silentLogger, configurationNumber: () => world.number,
		reachesCore: () => world.reachesCore, refreshFromCore() {
			world.refreshCount++;
		},
	});
	return {lease, world};
};

// Guards against accepting a revoked key: a core host holds a newer configuration than
// this entry, in which the key is revoked, and its freshness must not renew the lease
// before the entry holds that configuration.
t.test('a renewal takes effect once the entry holds the configuration of the core host', async t => {
	const {lease, world} = createLease();
	lease.recordRenewal({number: 3, freshAtMs: 9990});
	t.notOk(lease.holds());
	world.number = 3;
	lease.applyRenewals();
	t.ok(lease.holds());
	world.nowMs = 9990 + 4000;
	t.notOk(lease.holds(), 'the lease lasts for four fifths of the revocation bound');
});

t.test('while the lease is not held, an update is requested from the core four times per second', async t => {
	const {lease, world} = createLease();
	for (; world.nowMs < 11_000; world.nowMs += 10) {
		lease.holds();
	}

	t.ok(world.refreshCount >= 3 && world.refreshCount <= 5, `${world.refreshCount} times in a second`);
});

t.test('the retry delay for callers depends on the state of the entry and the core', async t => {
	const {lease, world} = createLease();
	t.equal(lease.retryMs(), 2000, 'the entry starts, most likely together with the whole system');
	world.number = 1;
	lease.recordRenewal({number: 1, freshAtMs: 10_000});
	t.ok(lease.hasHeld());
	world.nowMs = 20_000;
	t.equal(lease.retryMs(), 100, 'the entry is disconnected from the core, other entries are not');
	world.reachesCore = true;
	t.ok(lease.retryMs() >= 1200, 'the core elects a leader, which affects all entries alike');
});
