import t from 'tap';
import {Simulation} from './simulation.js';
import {hostOfMember} from '@bitternpaddle/coordination';

const hostIds = ['a', 'b', 'c', 'd', 'e'];

const voterHosts = (simulation: Simulation): string[] => (simulation.leader()?.state.members.voters ?? []).map(id => hostOfMember(id)).toSorted();

const nodeOf = (simulation: Simulation, hostId: string) => simulation.hosts.find(({id}) => hostOfMember(id) === hostId)!;

/** A group of three with two learners, and its first follower. */
const createGroup = (hosts = hostIds): {simulation: Simulation; leader: string; lost: string; other: string} => {
	const simulation = new Simulation(hosts);
	simulation.run(4000, true);
	const leader = hostOfMember(simulation.leader()!.id);
	const [lost, other] = voterHosts(simulation).filter(id => id !== leader);
	return {
		simulation, leader, lost: lost!, other: other!,
	};
};

const accepts = (simulation: Simulation): boolean => {
	const before = simulation.committed.length;
	const leader = simulation.leader();
	if (leader !== undefined) {
		simulation.propose(leader);
	}

	simulation.run(500, true);
	return simulation.committed.length > before;
};

/** Runs until the leader has appended the fourth voter, but nobody has heard of it. */
const runToAppended = (simulation: Simulation): void => {
	for (let round = 0; round < 400 && voterHosts(simulation).length < 4; round++) {
		simulation.settle();
		simulation.run(50, false);
	}
};

/** Runs until the fourth voter is committed and the lost one not yet removed. */
const runToAdded = (simulation: Simulation): void => {
	runToAppended(simulation);
	simulation.settle();
};

// A voter is lost for good and replaced; then a second one is lost, whichever
// it is, the leader too. The operator's next change is still accepted: without
// the replacement two of three would be gone.
t.test('a second loss just after the repair is survived', async t => {
	for (const second of ['leader', 'other', 'new'] as const) {
		const group = createGroup();
		const {simulation, lost} = group;
		simulation.crash(nodeOf(simulation, lost), 0);
		simulation.run(2000, true);
		t.ok(voterHosts(simulation).includes(lost), 'not before the bound');
		simulation.run(4000, true);
		const voters = voterHosts(simulation);
		t.equal(voters.length, 3);
		t.notOk(voters.includes(lost));
		const added = voters.find(id => id !== group.leader && id !== group.other)!;
		simulation.crash(nodeOf(simulation, {leader: group.leader, other: group.other, new: added}[second]), 0);
		simulation.run(2500, true);
		t.ok(accepts(simulation), `the ${second} voter lost next`);
	}
});

// The second voter is lost when the first one's replacement has just been added
// and the first not yet removed: four voters, two of them gone. The leader goes
// on to three, of which two live, and the next change is accepted.
t.test('a second loss between the two halves of the repair is survived', async t => {
	const {simulation, lost, other} = createGroup();
	simulation.crash(nodeOf(simulation, lost), 0);
	runToAdded(simulation);
	t.equal(voterHosts(simulation).length, 4);
	simulation.crash(nodeOf(simulation, other), 0);
	simulation.run(500, true);
	t.ok(accepts(simulation));
});

// The second voter is lost a moment earlier, before the replacement is
// committed. Of four two are gone: nothing is accepted and nothing is lost. As
// soon as either comes back, changes are accepted. Had the lost one been removed
// first, its return would not help.
t.test('a second loss in the middle of the repair heals when either comes back', async t => {
	for (const back of ['lost', 'other'] as const) {
		const {simulation, lost, other} = createGroup();
		simulation.crash(nodeOf(simulation, lost), 0);
		runToAppended(simulation);
		t.equal(voterHosts(simulation).length, 4);
		simulation.crash(nodeOf(simulation, other), 0);
		simulation.run(1500, true);
		t.notOk(accepts(simulation), 'two of four are gone');
		simulation.restart(nodeOf(simulation, {lost, other}[back]));
		simulation.run(4000, true);
		t.ok(accepts(simulation), `the ${back} voter came back`);
		simulation.run(8000, true);
		t.equal(voterHosts(simulation).length, 3);
	}
});

// The leader dies in the middle of a replacement, when four are voters and one
// of them is gone already. When the leader's host is back, the next leader
// ends the replacement.
t.test('a leader lost during the repair', async t => {
	const {simulation, leader, lost} = createGroup();
	simulation.crash(nodeOf(simulation, lost), 0);
	runToAdded(simulation);
	simulation.crash(nodeOf(simulation, leader), 0);
	simulation.run(1500, true);
	simulation.restart(nodeOf(simulation, leader));
	simulation.run(8000, true);
	t.ok(accepts(simulation));
	t.equal(voterHosts(simulation).length, 3);
	t.notOk(voterHosts(simulation).includes(lost));
});

// A voter's host comes back with an empty disk. It is not let vote under its
// old name; it learns the log and takes the place of what it was, also where
// no other host stands by.
t.test('a host that lost its disk becomes a voter again, as another member', async t => {
	const {simulation, lost} = createGroup(['a', 'b', 'c']);
	const before = nodeOf(simulation, lost).id;
	simulation.loseDisk(nodeOf(simulation, lost));
	simulation.run(6000, true);
	const {voters} = simulation.leader()!.state.members;
	t.equal(voters.length, 3);
	t.notOk(voters.includes(before));
	t.ok(voters.includes(nodeOf(simulation, lost).id));
	t.ok(accepts(simulation));
});

// A voter's disk is lost, and then the disk of the spare that is taken for it,
// at any moment of the repair. The operator's next change is accepted all the
// same. Were the spare added while the voter that is gone for good still
// counts, three of four would be needed and two of them never come back.
t.test('a spare that loses its disk while it replaces a lost disk', async t => {
	for (let momentMs = 0; momentMs <= 4000; momentMs += 50) {
		const {simulation, lost} = createGroup();
		const spare = simulation.hosts.map(({id}) => hostOfMember(id)).find(id => !voterHosts(simulation).includes(id))!;
		simulation.loseDisk(nodeOf(simulation, lost));
		for (let passedMs = 0; passedMs < momentMs; passedMs += 50) {
			simulation.settle();
			simulation.run(50, false);
		}

		const isVoter = simulation.leader()?.state.members.voters.includes(nodeOf(simulation, spare).id);
		const isCommitted = simulation.leader()?.state.commitIndex === simulation.leader()?.state.entries.at(-1)?.index;
		if (isVoter && isCommitted) {
			t.ok(momentMs > 1000, 'the repair was met at each step before');
			break;
		}

		simulation.loseDisk(nodeOf(simulation, spare));
		simulation.run(8000, true);
		t.ok(accepts(simulation), `${momentMs} ms after the first loss`);
		t.equal(simulation.leader()?.state.members.voters.length, 3);
	}
});

// Nobody stands by. The lost voter stays a voter, so that it counts when it returns.
t.test('without a spare nothing changes', async t => {
	const {simulation, lost} = createGroup(['a', 'b', 'c']);
	simulation.crash(nodeOf(simulation, lost), 0);
	simulation.run(10_000, true);
	t.same(voterHosts(simulation), ['a', 'b', 'c']);
	t.ok(accepts(simulation));
});

// A host stands by under a leader that has led for long. It is heard, but what
// the leader sends doesn't reach it yet. It is taken in once and kept for the
// bound; were its silence counted from before it came, it would be let go and
// taken in again at each turn, and never get the log.
t.test('a host that was taken in late is given time to answer', async t => {
	const {simulation, leader} = createGroup();
	const spare = nodeOf(simulation, simulation.hosts.map(({id}) => hostOfMember(id)).find(id => !voterHosts(simulation).includes(id))!);
	simulation.crash(spare, 0);
	simulation.run(20_000, true);
	t.notOk(simulation.leader()!.state.members.learners.includes(spare.id), 'let go');
	const before = simulation.committed.length;
	simulation.cuts.add(`${leader}>${hostOfMember(spare.id)}`);
	simulation.restart(spare);
	simulation.run(2000, true);
	t.equal(simulation.committed.length, before + 1);
	simulation.cuts.clear();
	simulation.run(2000, true);
	t.equal(nodeOf(simulation, hostOfMember(spare.id)).applied.length, simulation.committed.length);
});
