import t from 'tap';
import {createFollowers, type Follower} from '@bitternpaddle/gateway';

const entry = (index: number): Follower => ({
	role: 'entry', address: `10.1.0.${index}:1`, zoneId: 'z', regionId: 'r', endpointAddress: null, serviceName: null,
});
const agent = (index: number, serviceName: string): Follower => ({
	role: 'agent', address: `10.2.0.${index}:1`, zoneId: 'z', regionId: 'r', endpointAddress: `10.2.0.${index}:80`, serviceName,
});
const core = ['10.0.0.2:1', '10.0.0.1:1'];

// A fleet of hundreds starts, and each of its processes is told of each other one that
// comes: that is the square of the fleet in messages. Each is told of those alone that it has to do with.
t.test('a follower hears of those that it has to do with', async t => {
	const followers = createFollowers();
	for (const follower of [entry(1), entry(2), agent(1, 'a'), agent(2, 'a'), agent(3, 'b')]) {
		followers.note(follower, 0);
	}

	const forAgent = followers.roster(agent(1, 'a'), core, 10);
	t.same(forAgent.followers.map(({address}) => address), [entry(1), entry(2), agent(1, 'a'), agent(2, 'a')].map(({address}) => address));
	t.same(forAgent.coreAddresses, ['10.0.0.1:1', '10.0.0.2:1']);
	const forEntry = followers.roster(entry(1), core, 10);
	t.same(forEntry.followers.map(({address}) => address), [entry(1), entry(2)].map(({address}) => address));
	t.equal(forEntry.entryCount, 2);
});

t.test('news of an agent are none for an entry', async t => {
	const followers = createFollowers();
	followers.note(entry(1), 0);
	followers.note(agent(1, 'a'), 0);
	const [entryHash, agentHash] = [followers.roster(entry(1), core, 10).hash, followers.roster(agent(1, 'a'), core, 10).hash];
	followers.note(agent(2, 'a'), 20);
	t.equal(followers.roster(entry(1), core, 500).hash, entryHash);
	t.not(followers.roster(agent(1, 'a'), core, 500).hash, agentHash);
});

t.test('a follower that no longer asks is left out, and is back when it asks again', async t => {
	const followers = createFollowers();
	followers.note(entry(1), 0);
	followers.note(entry(2), 0);
	followers.note(entry(1), 2000);
	t.equal(followers.roster(entry(1), core, 2100).entryCount, 2);
	followers.note(entry(1), 3000);
	t.equal(followers.roster(entry(1), core, 3000).entryCount, 1);
	followers.note(entry(2), 3100);
	t.equal(followers.roster(entry(1), core, 3500).entryCount, 2);
});

t.test('a core host that joins is told of', async t => {
	const followers = createFollowers();
	followers.note(entry(1), 0);
	followers.roster(entry(1), core, 0);
	t.same(followers.roster(entry(1), [...core, '10.0.0.3:1'], 400).coreAddresses, ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']);
});

// Two hundred processes start within half a second. Told of each newcomer by itself,
// each of them would read two hundred rosters of up to two hundred names.
t.test('those that come in quick succession are told of together', async t => {
	const followers = createFollowers();
	const hashes = new Set<string>();
	for (let index = 0; index < 100; index++) {
		followers.note(agent(index, 'a'), index * 5);
		hashes.add(followers.roster(agent(0, 'a'), core, index * 5).hash);
	}

	hashes.add(followers.roster(agent(0, 'a'), core, 1000).hash);
	t.ok(hashes.size <= 3, `${hashes.size} rosters`);
	t.equal(followers.roster(agent(0, 'a'), core, 1000).followers.length, 100);
});

// An entry comes while the roster of before is still given out. Agents whose question is
// open must be told once there is a new one, or its callers find engines without reports.
t.test('who comes while a roster is kept is not forgotten', async t => {
	const followers = createFollowers();
	followers.note(entry(1), 0);
	followers.roster(agent(1, 'a'), core, 0);
	t.notOk(followers.isStale());
	followers.note(entry(2), 100);
	t.equal(followers.roster(agent(1, 'a'), core, 300).followers.length, 1);
	t.ok(followers.isStale());
	t.equal(followers.roster(agent(1, 'a'), core, 400).followers.length, 2);
	t.notOk(followers.isStale());
});
