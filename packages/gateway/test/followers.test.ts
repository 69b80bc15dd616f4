import t from 'tap';
import {createFollowers, type Follower} from '@bitternpaddle/gateway';

const entry = (index: number): Follower => ({
	role: 'entry', address: `10.1.0.${index}:1`, zoneId: 'z', regionId: 'r', endpointAddress: null, serviceName: null,
});
const agent = (index: number, serviceName: string): Follower => ({
	role: 'agent', address: `10.2.0.${index}:1`, zoneId: 'z', regionId: 'r', endpointAddress: `10.2.0.${index}:80`, serviceName,
});
const core = ['10.0.0.2:1', '10.0.0.1:1'];

// If every process of a fleet of hundreds were notified of every other one that joins, the
// number of messages would be quadratic. Each roster lists only the relevant processes.
t.test('a roster lists only the processes that are relevant to its follower', async t => {
	const followers = createFollowers();
	for (const follower of [entry(1), entry(2), agent(1, 'a'), agent(2, 'a'), agent(3, 'b')]) {
		followers.record(follower, 0);
	}

	const forAgent = followers.roster(agent(1, 'a'), core, 10);
	t.same(forAgent.followers.map(({address}) => address), [entry(1), entry(2), agent(1, 'a'), agent(2, 'a')].map(({address}) => address));
	t.same(forAgent.coreAddresses, ['10.0.0.1:1', '10.0.0.2:1']);
	const forEntry = followers.roster(entry(1), core, 10);
	t.same(forEntry.followers.map(({address}) => address), [entry(1), entry(2)].map(({address}) => address));
	t.equal(forEntry.entryCount, 2);
});

t.test('an agent that joins does not change the roster of an entry', async t => {
	const followers = createFollowers();
	followers.record(entry(1), 0);
	followers.record(agent(1, 'a'), 0);
	const [entryHash, agentHash] = [followers.roster(entry(1), core, 10).hash, followers.roster(agent(1, 'a'), core, 10).hash];
	followers.record(agent(2, 'a'), 20);
	t.equal(followers.roster(entry(1), core, 500).hash, entryHash);
	t.not(followers.roster(agent(1, 'a'), core, 500).hash, agentHash);
});

t.test('a follower that stops polling is removed, and added again when it polls again', async t => {
	const followers = createFollowers();
	followers.record(entry(1), 0);
	followers.record(entry(2), 0);
	followers.record(entry(1), 2000);
	t.equal(followers.roster(entry(1), core, 2100).entryCount, 2);
	followers.record(entry(1), 3000);
	t.equal(followers.roster(entry(1), core, 3000).entryCount, 1);
	followers.record(entry(2), 3100);
	t.equal(followers.roster(entry(1), core, 3500).entryCount, 2);
});

t.test('a core host that joins appears in the roster', async t => {
	const followers = createFollowers();
	followers.record(entry(1), 0);
	followers.roster(entry(1), core, 0);
	t.same(followers.roster(entry(1), [...core, '10.0.0.3:1'], 400).coreAddresses, ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']);
});

// Two hundred processes start within half a second. If each were announced individually,
// every process would read two hundred rosters of up to two hundred followers.
t.test('followers that join in quick succession are announced together', async t => {
	const followers = createFollowers();
	const hashes = new Set<string>();
	for (let index = 0; index < 100; index++) {
		followers.record(agent(index, 'a'), index * 5);
		hashes.add(followers.roster(agent(0, 'a'), core, index * 5).hash);
	}

	hashes.add(followers.roster(agent(0, 'a'), core, 1000).hash);
	t.ok(hashes.size <= 3, `${hashes.size} rosters`);
	t.equal(followers.roster(agent(0, 'a'), core, 1000).followers.length, 100);
});

// An entry joins while an older roster is still cached. Agents with an open poll must get
// the new roster once it is built; otherwise the entry would have no reports of engines.
t.test('a follower that joins while a roster is cached appears in the next one', async t => {
	const followers = createFollowers();
	followers.record(entry(1), 0);
	followers.roster(agent(1, 'a'), core, 0);
	t.notOk(followers.isStale());
	followers.record(entry(2), 100);
	t.equal(followers.roster(agent(1, 'a'), core, 300).followers.length, 1);
	t.ok(followers.isStale());
	t.equal(followers.roster(agent(1, 'a'), core, 400).followers.length, 2);
	t.notOk(followers.isStale());
});
