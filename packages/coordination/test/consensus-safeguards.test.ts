import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Snapshot} from '@bitternpaddle/state';
import t from 'tap';
import {
	createConsensus, createRandom, hasLeaderLease, stepConsensus, type ConsensusEffect, type ConsensusEvent, type ConsensusOptions, type ConsensusState,
} from '@bitternpaddle/coordination';

const voters = ['a', 'b', 'c'];

const entry = (index: number, term: number): LogEntry => ({index, term, payload: {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}}});

const host = (selfId: string, options: Partial<ConsensusOptions> = {}): ConsensusState => createConsensus({
	selfId, initialMembers: {voters, learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(1), nowMs: 0, ...options,
});

const hear = (state: ConsensusState, from: string, message: ConsensusMessage, nowMs: number): ConsensusEffect[] => stepConsensus(state, {type: 'message', from, message}, nowMs);

const sent = (effects: readonly ConsensusEffect[]) => effects.filter(effect => effect.type === 'send');

const answers = (effects: readonly ConsensusEffect[]): ConsensusMessage[] => sent(effects).map(({message}) => message);

const voteRequest = (term: number, lastIndex = 0, lastTerm = 0): ConsensusMessage => ({
	type: 'voteRequest', term, isPreVote: false, lastIndex, lastTerm,
});

const append = (term: number, previous: LogEntry | null, entries: LogEntry[], commitIndex = 0): ConsensusMessage => ({
	type: 'appendRequest', term, previousIndex: previous?.index ?? 0, previousTerm: previous?.term ?? 0, entries, commitIndex, sentAtMs: 0, hasLease: false, echo: null,
});

/** Makes `a` the leader of `term` at `nowMs`, with the vote of `b`. */
const lead = (state: ConsensusState, term: number, nowMs: number): ConsensusEffect[] => {
	stepConsensus(state, {type: 'tick'}, nowMs);
	const grant = (isPreVote: boolean): ConsensusMessage => ({
		type: 'voteResponse', term, isPreVote, granted: true,
	});
	hear(state, 'b', grant(true), nowMs);
	return hear(state, 'b', grant(false), nowMs);
};

// A voter grants its vote and loses power before the vote is on disk. After the
// restart it grants another in the same term. If the first answer had left
// before the sync, two hosts would lead one term.
t.test('a vote leaves only after it is synced, and a synced one binds after a restart', async t => {
	const before = host('b');
	const granted = hear(before, 'a', voteRequest(1), 700);
	const persistAt = granted.findLastIndex(effect => effect.type === 'persist');
	const sendAt = granted.findIndex(effect => effect.type === 'send');
	t.match(answers(granted), [{type: 'voteResponse', granted: true}]);
	t.ok(persistAt < sendAt && sent(granted).every(({afterSync}) => afterSync), 'behind the write, and waits for it');
	const after = host('b', {hardState: {term: 1, votedFor: 'a'}});
	t.match(answers(hear(after, 'c', voteRequest(1), 700)), [{granted: false}], 'no second vote in the term');
	t.match(answers(hear(after, 'a', voteRequest(1), 700)), [{granted: true}], 'the same vote again');
});

// A voter renews the leader's lease, restarts at once and has forgotten that it
// did. Were it to vote now, a second leader would answer while the first still
// holds its lease: a caller would read a state that has been replaced.
t.test('a voter that restarted grants no vote before the leases that it may have granted are over', async t => {
	const restarted = host('b', {hardState: {term: 1, votedFor: 'a'}, nowMs: 5000});
	t.match(answers(hear(restarted, 'c', voteRequest(2), 5400)), [{granted: false}]);
	t.match(answers(hear(restarted, 'c', voteRequest(2), 5601)), [{granted: true}]);
});

// A voter hears its leader well, another host does not and stands for election.
// The voter refuses, without even adopting the term.
t.test('a voter that follows a leader refuses others', async t => {
	const follower = host('b');
	hear(follower, 'a', append(1, null, []), 1000);
	t.match(answers(hear(follower, 'c', voteRequest(7), 1500)), [{granted: false, term: 1}]);
	t.equal(follower.term, 1);
});

// A host that missed accepted changes stands for election. Whoever has them
// refuses: the new leader would drop what callers were told is accepted.
t.test('a voter refuses a candidate that lacks what it has', async t => {
	const voter = host('b', {hardState: {term: 2, votedFor: null}, entries: [entry(1, 1), entry(2, 2)]});
	t.match(answers(hear(voter, 'c', voteRequest(3, 1, 1), 700)), [{granted: false}]);
	t.match(answers(hear(voter, 'c', voteRequest(4, 9, 1), 700)), [{granted: false}], 'longer, but of an older term');
	t.match(answers(hear(voter, 'c', voteRequest(5, 2, 2), 700)), [{granted: true}]);
});

// A snapshot was slow on its way; meanwhile the host got the entries one by one
// and confirmed some behind it. The snapshot must not take those back: the
// leader has counted them, and callers were told "accepted".
t.test('a late snapshot drops nothing that was confirmed', async t => {
	const entries = [1, 2, 3, 4, 5].map(index => entry(index, 1));
	const follower = host('b', {hardState: {term: 1, votedFor: 'a'}});
	hear(follower, 'a', append(1, null, entries, 1), 100);
	const snapshot: Snapshot = {
		index: 3, term: 1, members: {voters, learners: []}, state: '[]',
	};
	const effects = hear(follower, 'a', {
		type: 'snapshotRequest', term: 1, snapshot, sentAtMs: 0,
	}, 200);
	t.notOk(effects.some(effect => effect.type === 'installSnapshot'));
	t.equal(follower.entries.length, 5);
	t.equal(follower.commitIndex, 3);
});

// A leader's request is delayed; the leader restarts, so its clock begins anew,
// and leads again in a later term. The answer to the old request must not renew
// its lease: by the new clock the old stamp lies hours ahead.
t.test('an answer to an older term renews no lease', async t => {
	const follower = host('b', {hardState: {term: 6, votedFor: 'a'}});
	const late = answers(hear(follower, 'a', {...append(5, null, []), sentAtMs: 9_000_000} as ConsensusMessage, 100));
	const leader = host('a', {hardState: {term: 5, votedFor: null}});
	lead(leader, 6, 1200);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 6}, 1200);
	hear(leader, 'b', {
		type: 'appendResponse', term: 6, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1210);
	t.ok(hasLeaderLease(leader, 1300));
	hear(leader, 'b', late[0]!, 1300);
	t.notOk(hasLeaderLease(leader, 1700), 'the lease ends with the last answer of this term');
});

// A leader is frozen for a minute. When it wakes it still believes that it
// leads, and the first thing that it does is to answer a caller: it must not,
// because by its own clock its lease is over. What it appends isn't committed.
t.test('a leader that wakes from a long freeze answers nothing', async t => {
	const leader = host('a');
	lead(leader, 1, 1200);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 1}, 1200);
	hear(leader, 'b', {
		type: 'appendResponse', term: 1, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1210);
	t.ok(hasLeaderLease(leader, 1300));
	t.notOk(hasLeaderLease(leader, 61_300));
	const effects = stepConsensus(leader, {type: 'propose', token: 1, payload: entry(2, 1).payload}, 61_300);
	t.notOk(effects.some(effect => effect.type === 'commit'));
	hear(leader, 'c', append(2, entry(1, 1), [entry(2, 2)], 2), 61_400);
	t.equal(leader.role, 'follower');
	t.same(leader.entries.map(({term}) => term), [1, 2], 'its own entry is replaced');
});

// A new leader has a change of members in its log that an older leader left
// half done. It must first commit an entry of its own, or two quorums without a
// common voter could each accept something.
t.test('members change only after an entry of the own term is committed', async t => {
	const leader = host('a');
	lead(leader, 1, 1200);
	const change: ConsensusEvent = {type: 'propose', token: 1, payload: {type: 'members', members: {voters: [...voters, 'd'], learners: []}}};
	t.match(stepConsensus(leader, change, 1210), [{type: 'rejected', reason: 'membersBusy'}]);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 1}, 1220);
	hear(leader, 'b', {
		type: 'appendResponse', term: 1, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1230);
	t.match(stepConsensus(leader, change, 1240)[0], {type: 'proposed'});
});

// A host without an answer is sent the snapshot once, then heartbeats only: it
// would otherwise never get through the copies that pile up on its link.
t.test('one snapshot is on its way at a time', async t => {
	const leader = host('a', {
		snapshot: {
			index: 50, term: 1, members: {voters, learners: []}, state: '[]',
		}, hardState: {term: 1, votedFor: null},
	});
	lead(leader, 2, 1200);
	hear(leader, 'b', {
		type: 'appendResponse', term: 2, success: false, matchIndex: 3, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1205);
	const toB = [];
	for (let nowMs = 1300; nowMs < 6000; nowMs += 100) {
		leader.peers.get('c')!.answeredSentAtMs = nowMs;
		toB.push(...sent(stepConsensus(leader, {type: 'tick'}, nowMs)).filter(({to}) => to === 'b').map(({message}) => message.type));
	}

	t.equal(toB.filter(type => type === 'snapshotRequest').length, 0, 'none but the first');
	t.ok(toB.length > 40, 'heartbeats go on');
	leader.peers.get('c')!.answeredSentAtMs = 6300;
	t.match(answers(stepConsensus(leader, {type: 'tick'}, 6300)), [{type: 'snapshotRequest'}, {}], 'again after the timeout');
});

t.test('a learner that was let go notices that it has no leader', async t => {
	const learner = host('d');
	hear(learner, 'a', append(1, null, []), 100);
	t.equal(learner.leaderId, 'a');
	stepConsensus(learner, {type: 'tick'}, 2000);
	t.equal(learner.leaderId, null);
});
