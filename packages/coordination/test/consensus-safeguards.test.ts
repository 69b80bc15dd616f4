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

const receive = (state: ConsensusState, from: string, message: ConsensusMessage, nowMs: number): ConsensusEffect[] => stepConsensus(state, {type: 'message', from, message}, nowMs);

const sent = (effects: readonly ConsensusEffect[]) => effects.filter(effect => effect.type === 'send');

const sentMessages = (effects: readonly ConsensusEffect[]): ConsensusMessage[] => sent(effects).map(({message}) => message);

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
	receive(state, 'b', grant(true), nowMs);
	return receive(state, 'b', grant(false), nowMs);
};

// A voter grants its vote and loses power before the vote is on disk. After the
// restart it grants another vote in the same term. If the first response had been
// sent before the sync, two hosts would lead the same term.
t.test('sends a vote only after it is synced, and keeps a synced vote after a restart', async t => {
	const before = host('b');
	const granted = receive(before, 'a', voteRequest(1), 700);
	const persistAt = granted.findLastIndex(effect => effect.type === 'persist');
	const sendAt = granted.findIndex(effect => effect.type === 'send');
	t.match(sentMessages(granted), [{type: 'voteResponse', granted: true}]);
	t.ok(persistAt < sendAt && sent(granted).every(({afterSync}) => afterSync), 'sent after the write, and waits for the sync');
	const after = host('b', {hardState: {term: 1, votedFor: 'a'}});
	t.match(sentMessages(receive(after, 'c', voteRequest(1), 700)), [{granted: false}], 'no vote for another host in the same term');
	t.match(sentMessages(receive(after, 'a', voteRequest(1), 700)), [{granted: true}], 'the same vote is granted again');
});

// A voter renews the leader's lease and restarts, which loses that fact. If it
// voted immediately, a second leader would be elected while the first still holds
// its lease, and a caller could read a state that has been replaced.
t.test('a restarted voter grants no vote before leases that it may have granted have expired', async t => {
	const restarted = host('b', {hardState: {term: 1, votedFor: 'a'}, nowMs: 5000});
	t.match(sentMessages(receive(restarted, 'c', voteRequest(2), 5400)), [{granted: false}]);
	t.match(sentMessages(receive(restarted, 'c', voteRequest(2), 5601)), [{granted: true}]);
});

// A voter receives its leader's messages; another host does not and starts an
// election. The voter refuses without adopting the term.
t.test('a voter that follows a leader refuses other candidates', async t => {
	const follower = host('b');
	receive(follower, 'a', append(1, null, []), 1000);
	t.match(sentMessages(receive(follower, 'c', voteRequest(7), 1500)), [{granted: false, term: 1}]);
	t.equal(follower.term, 1);
});

// A host that missed accepted changes starts an election. A voter that has them
// refuses: the new leader would drop changes that were acknowledged to callers.
t.test('a voter refuses a candidate whose log is less up to date', async t => {
	const voter = host('b', {hardState: {term: 2, votedFor: null}, entries: [entry(1, 1), entry(2, 2)]});
	t.match(sentMessages(receive(voter, 'c', voteRequest(3, 1, 1), 700)), [{granted: false}]);
	t.match(sentMessages(receive(voter, 'c', voteRequest(4, 9, 1), 700)), [{granted: false}], 'longer log, but with an older last term');
	t.match(sentMessages(receive(voter, 'c', voteRequest(5, 2, 2), 700)), [{granted: true}]);
});

// A snapshot is delayed; meanwhile the host receives the entries one by one and
// confirms some that follow the snapshot. The snapshot must not remove those: the
// leader has counted them, and callers received "accepted".
t.test('a late snapshot does not drop confirmed entries', async t => {
	const entries = [1, 2, 3, 4, 5].map(index => entry(index, 1));
	const follower = host('b', {hardState: {term: 1, votedFor: 'a'}});
	receive(follower, 'a', append(1, null, entries, 1), 100);
	const snapshot: Snapshot = {
		index: 3, term: 1, members: {voters, learners: []}, state: '[]',
	};
	const effects = receive(follower, 'a', {
		type: 'snapshotRequest', term: 1, snapshot, sentAtMs: 0,
	}, 200);
	t.notOk(effects.some(effect => effect.type === 'installSnapshot'));
	t.equal(follower.entries.length, 5);
	t.equal(follower.commitIndex, 3);
});

// A leader's request is delayed; the leader restarts, which resets its clock, and
// leads again in a later term. The response to the old request must not renew its
// lease: by the new clock, the old send time is hours in the future.
t.test('a response to a request of an older term does not renew the lease', async t => {
	const follower = host('b', {hardState: {term: 6, votedFor: 'a'}});
	const lateResponses = sentMessages(receive(follower, 'a', {...append(5, null, []), sentAtMs: 9_000_000} as ConsensusMessage, 100));
	const leader = host('a', {hardState: {term: 5, votedFor: null}});
	lead(leader, 6, 1200);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 6}, 1200);
	receive(leader, 'b', {
		type: 'appendResponse', term: 6, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1210);
	t.ok(hasLeaderLease(leader, 1300));
	receive(leader, 'b', lateResponses[0]!, 1300);
	t.notOk(hasLeaderLease(leader, 1700), 'the lease counts from the last response of this term');
});

// A leader is suspended for a minute. When it resumes, it still assumes that it
// leads and first processes a caller's request. It must not answer, because its
// lease has expired by its own clock. Entries that it appends are not committed.
t.test('a leader that resumes after its lease expired does not answer', async t => {
	const leader = host('a');
	lead(leader, 1, 1200);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 1}, 1200);
	receive(leader, 'b', {
		type: 'appendResponse', term: 1, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1210);
	t.ok(hasLeaderLease(leader, 1300));
	t.notOk(hasLeaderLease(leader, 61_300));
	const effects = stepConsensus(leader, {type: 'propose', token: 1, payload: entry(2, 1).payload}, 61_300);
	t.notOk(effects.some(effect => effect.type === 'commit'));
	receive(leader, 'c', append(2, entry(1, 1), [entry(2, 2)], 2), 61_400);
	t.equal(leader.role, 'follower');
	t.same(leader.entries.map(({term}) => term), [1, 2], 'its own entry is replaced');
});

// A new leader's log contains a change of members that an older leader did not
// complete. It must first commit an entry of its own, or two quorums without a
// common voter could each accept changes.
t.test('members change only after an entry of the current term is committed', async t => {
	const leader = host('a');
	lead(leader, 1, 1200);
	const change: ConsensusEvent = {type: 'propose', token: 1, payload: {type: 'members', members: {voters: [...voters, 'd'], learners: []}}};
	t.match(stepConsensus(leader, change, 1210), [{type: 'rejected', reason: 'membersBusy'}]);
	stepConsensus(leader, {type: 'persisted', index: 1, term: 1}, 1220);
	receive(leader, 'b', {
		type: 'appendResponse', term: 1, success: true, matchIndex: 1, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1230);
	t.match(stepConsensus(leader, change, 1240)[0], {type: 'proposed'});
});

// A host that does not respond is sent the snapshot once, then only heartbeats.
// Otherwise repeated copies would saturate its link, and none would arrive.
t.test('sends one snapshot at a time', async t => {
	const leader = host('a', {
		snapshot: {
			index: 50, term: 1, members: {voters, learners: []}, state: '[]',
		}, hardState: {term: 1, votedFor: null},
	});
	lead(leader, 2, 1200);
	receive(leader, 'b', {
		type: 'appendResponse', term: 2, success: false, matchIndex: 3, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
	}, 1205);
	const toB = [];
	for (let nowMs = 1300; nowMs < 6000; nowMs += 100) {
		leader.peers.get('c')!.acknowledgedSentAtMs = nowMs;
		toB.push(...sent(stepConsensus(leader, {type: 'tick'}, nowMs)).filter(({to}) => to === 'b').map(({message}) => message.type));
	}

	t.equal(toB.filter(type => type === 'snapshotRequest').length, 0, 'the first snapshot is not repeated');
	t.ok(toB.length > 40, 'heartbeats continue');
	leader.peers.get('c')!.acknowledgedSentAtMs = 6300;
	t.match(sentMessages(stepConsensus(leader, {type: 'tick'}, 6300)), [{type: 'snapshotRequest'}, {}], 'sent again after the timeout');
});

t.test('a removed learner notices that it has no leader', async t => {
	const learner = host('d');
	receive(learner, 'a', append(1, null, []), 100);
	t.equal(learner.leaderId, 'a');
	stepConsensus(learner, {type: 'tick'}, 2000);
	t.equal(learner.leaderId, null);
});
