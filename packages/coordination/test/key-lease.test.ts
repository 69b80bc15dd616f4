import t from 'tap';
import {createKeyLease, holdsKeyLease, renewKeyLease} from '@bitternpaddle/coordination';

// Guards against an entry that keeps accepting a revoked key. The revocation is
// acknowledged at 10,000; this entry last called a core host at 9,990 and was then
// partitioned from it. It must stop accepting the key within the bound of 5 s after the
// acknowledgement, whatever else it receives.
t.test('a lease ends before a revoked key must stop working', async t => {
	const lease = createKeyLease(5000);
	renewKeyLease(lease, 9990);
	t.ok(holdsKeyLease(lease, 10_500));
	t.notOk(holdsKeyLease(lease, 14_990));
});

t.test('a late answer does not replace a newer one', async t => {
	const lease = createKeyLease(5000);
	renewKeyLease(lease, 2000);
	renewKeyLease(lease, 500);
	t.equal(lease.freshAtMs, 2000);
});

t.test('no key is accepted before the first answer', async t => {
	t.notOk(holdsKeyLease(createKeyLease(5000), 0));
});
