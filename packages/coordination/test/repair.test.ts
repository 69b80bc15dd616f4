import t from 'tap';
import {Simulation} from './simulation.js';
import {hostOfMember} from '@bitternpaddle/coordination';

const hostIds = ['a', 'b', 'c', 'd', 'e'];

const voterHosts = (simulation: Simulation): string[] => (simulation.leader()?.state.members.voters ?? []).map(id => hostOfMember(id)).toSorted();

const nodeOf = (simulation: Simulation, hostId: string) => simulation.hosts.find(({id}) => hostOfMember(id) === hostId)!;

/** Creates a group of three voters, with two learners by default, and names its leader and both followers. */
const createGroup = (hosts = hostIds): {simulation: Simulation; leader: string; lost: string; other: string} => {
	const simulation = new Simulation(hosts);
	simulation.run(4000, true);
	const leader = hostOfMember(simulation.leader()!.id);
	const [lost, other] = voterHosts(simulation).filter(id => id !== leader);
	return {
		simulation, leader, lost: lost!, other: other!,
	};
};

const acceptsChange = (simulation: Simulation): boolean => {
	const before = simulation.committed.length;
	const leader = simulation.leader();
	if (leader !== undefined) {
		simulation.propose(leader);
	}

	simulation.run(500, true);
	return simulation.committed.length > before;
};

/** Runs until the leader has appended the fourth voter, but not yet replicated that entry. */
const runUntilAppended = (simulation: Simulation): void => {
	for (let round = 0; round < 400 && voterHosts(simulation).length < 4; round++) {
		simulation.deliverAll();
		simulation.run(50, false);
	}
};

/** Runs until the fourth voter is committed and the lost one is not yet removed. */
const runUntilCommitted = (simulation: Simulation): void => {
	runUntilAppended(simulation);
	simulation.deliverAll();
};

// A voter is lost permanently and replaced; then any second voter is lost, which
// may be the leader. The operator's next change is still accepted: without the
// replacement, two of three voters would be lost.
t.test('survives a second loss just after the replacement', async t => {
	for (const secondLoss of ['leader', 'other', 'new'] as const) {
		const group = createGroup();
		const {simulation, lost} = group;
		simulation.crash(nodeOf(simulation, lost), 0);
		simulation.run(2000, true);
		t.ok(voterHosts(simulation).includes(lost), 'not replaced before the timeout');
		simulation.run(4000, true);
		const voters = voterHosts(simulation);
		t.equal(voters.length, 3);
		t.notOk(voters.includes(lost));
		const added = voters.find(id => id !== group.leader && id !== group.other)!;
		simulation.crash(nodeOf(simulation, {leader: group.leader, other: group.other, new: added}[secondLoss]), 0);
		simulation.run(2500, true);
		t.ok(acceptsChange(simulation), `loss of the ${secondLoss} voter`);
	}
});

// The second voter is lost when the first one's replacement has just been added
// and the first is not yet removed: four voters, two of them lost. The leader
// removes one, two of the remaining three are live, and the next change is accepted.
t.test('survives a second loss between adding the replacement and removing the lost voter', async t => {
	const {simulation, lost, other} = createGroup();
	simulation.crash(nodeOf(simulation, lost), 0);
	runUntilCommitted(simulation);
	t.equal(voterHosts(simulation).length, 4);
	simulation.crash(nodeOf(simulation, other), 0);
	simulation.run(500, true);
	t.ok(acceptsChange(simulation));
});

// The second voter is lost slightly earlier, before the replacement is committed.
// Two of four voters are lost: no change is accepted, and no entry is lost. As soon
// as either returns, changes are accepted. If the lost voter had been removed
// first, its return would not help.
t.test('recovers from a second loss during the replacement when either voter returns', async t => {
	for (const returning of ['lost', 'other'] as const) {
		const {simulation, lost, other} = createGroup();
		simulation.crash(nodeOf(simulation, lost), 0);
		runUntilAppended(simulation);
		t.equal(voterHosts(simulation).length, 4);
		simulation.crash(nodeOf(simulation, other), 0);
		simulation.run(1500, true);
		t.notOk(acceptsChange(simulation), 'two of four voters are lost');
		simulation.restart(nodeOf(simulation, {lost, other}[returning]));
		simulation.run(4000, true);
		t.ok(acceptsChange(simulation), `return of the ${returning} voter`);
		simulation.run(8000, true);
		t.equal(voterHosts(simulation).length, 3);
	}
});

// The leader crashes during a replacement, when there are four voters and one of
// them is already lost. After the leader's host returns, the next leader completes
// the replacement.
t.test('completes the replacement after the leader is lost', async t => {
	const {simulation, leader, lost} = createGroup();
	simulation.crash(nodeOf(simulation, lost), 0);
	runUntilCommitted(simulation);
	simulation.crash(nodeOf(simulation, leader), 0);
	simulation.run(1500, true);
	simulation.restart(nodeOf(simulation, leader));
	simulation.run(8000, true);
	t.ok(acceptsChange(simulation));
	t.equal(voterHosts(simulation).length, 3);
	t.notOk(voterHosts(simulation).includes(lost));
});

// A voter's host returns with an empty disk. It must not vote under its old member
// id; it replicates the log and replaces its former member, also if there is no
// standby host.
t.test('a host that lost its disk becomes a voter again as a different member', async t => {
	const {simulation, lost} = createGroup(['a', 'b', 'c']);
	const before = nodeOf(simulation, lost).id;
	simulation.loseDisk(nodeOf(simulation, lost));
	simulation.run(6000, true);
	const {voters} = simulation.leader()!.state.members;
	t.equal(voters.length, 3);
	t.notOk(voters.includes(before));
	t.ok(voters.includes(nodeOf(simulation, lost).id));
	t.ok(acceptsChange(simulation));
});

// A voter's disk is lost, and then the disk of the spare that replaces it, at any
// time during the replacement. The operator's next change must still be accepted.
// If the spare were added while the lost voter still counts, a quorum would need
// three of four voters, two of which never return.
t.test('survives the loss of a disk on the spare that replaces a lost voter', async t => {
	for (let momentMs = 0; momentMs <= 4000; momentMs += 50) {
		const {simulation, lost} = createGroup();
		const spare = simulation.hosts.map(({id}) => hostOfMember(id)).find(id => !voterHosts(simulation).includes(id))!;
		simulation.loseDisk(nodeOf(simulation, lost));
		for (let passedMs = 0; passedMs < momentMs; passedMs += 50) {
			simulation.deliverAll();
			simulation.run(50, false);
		}

		const isVoter = simulation.leader()?.state.members.voters.includes(nodeOf(simulation, spare).id);
		const isCommitted = simulation.leader()?.state.commitIndex === simulation.leader()?.state.entries.at(-1)?.index;
		if (isVoter && isCommitted) {
			t.ok(momentMs > 1000, 'the loss was tested at each earlier step of the replacement');
			break;
		}

		simulation.loseDisk(nodeOf(simulation, spare));
		simulation.run(8000, true);
		t.ok(acceptsChange(simulation), `${momentMs} ms after the first loss`);
		t.equal(simulation.leader()?.state.members.voters.length, 3);
	}
});

// There is no standby host. The lost voter stays a voter, so that it counts when it returns.
t.test('keeps a lost voter if there is no spare', async t => {
	const {simulation, lost} = createGroup(['a', 'b', 'c']);
	simulation.crash(nodeOf(simulation, lost), 0);
	simulation.run(10_000, true);
	t.same(voterHosts(simulation), ['a', 'b', 'c']);
	t.ok(acceptsChange(simulation));
});

// A standby host appears under a long-standing leader. Its announcements arrive,
// but the leader's messages do not reach it yet. It is added once and kept for the
// timeout; if its silence counted from before it was added, it would be removed
// and added again repeatedly, and never receive the log.
t.test('gives a newly added host the full timeout to respond', async t => {
	const {simulation, leader} = createGroup();
	const spare = nodeOf(simulation, simulation.hosts.map(({id}) => hostOfMember(id)).find(id => !voterHosts(simulation).includes(id))!);
	simulation.crash(spare, 0);
	simulation.run(20_000, true);
	t.notOk(simulation.leader()!.state.members.learners.includes(spare.id), 'removed after a long silence');
	const before = simulation.committed.length;
	simulation.partitions.add(`${leader}>${hostOfMember(spare.id)}`);
	simulation.restart(spare);
	simulation.run(2000, true);
	t.equal(simulation.committed.length, before + 1);
	simulation.partitions.clear();
	simulation.run(2000, true);
	t.equal(nodeOf(simulation, hostOfMember(spare.id)).applied.length, simulation.committed.length);
});
