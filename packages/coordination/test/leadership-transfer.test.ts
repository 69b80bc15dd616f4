import type {ConsensusMessage} from '@bitternpaddle/protocol';
import t from 'tap';
import {
	createConsensus, createRandom, hasLeaderLease, stepConsensus, type ConsensusEffect, type ConsensusOptions, type ConsensusState,
} from '@bitternpaddle/coordination';

const voters = ['a', 'b', 'c'];

const host = (selfId: string, options: Partial<ConsensusOptions> = {}): ConsensusState => createConsensus({
	selfId, initialMembers: {voters, learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(1), nowMs: 0, ...options,
});

const receive = (state: ConsensusState, from: string, message: ConsensusMessage, nowMs: number): ConsensusEffect[] => stepConsensus(state, {type: 'message', from, message}, nowMs);

const messages = (effects: readonly ConsensusEffect[], type: ConsensusMessage['type']) => effects
	.filter(effect => effect.type === 'send')
	.filter(({message}) => message.type === type);

const propose = (state: ConsensusState, nowMs: number): ConsensusEffect[] => stepConsensus(state, {
	type: 'propose', token: 1, payload: {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}},
}, nowMs);

const appendResponse = (matchIndex: number, sentAtMs: number): ConsensusMessage => ({
	type: 'appendResponse', term: 1, success: true, matchIndex, sentAtMs, stamp: {incarnation: 1, atMs: 0},
});

const voteResponse = (isPreVote: boolean): ConsensusMessage => ({
	type: 'voteResponse', term: 1, isPreVote, granted: true,
});

/** `a` leads term 1 and holds its lease; entry 1 is committed by `a` and `b`. */
const createLeader = (nowMs: number): ConsensusState => {
	const state = host('a');
	stepConsensus(state, {type: 'tick'}, nowMs);
	receive(state, 'b', voteResponse(true), nowMs);
	receive(state, 'b', voteResponse(false), nowMs);
	stepConsensus(state, {type: 'persisted', index: 1, term: 1}, nowMs);
	receive(state, 'b', appendResponse(1, nowMs), nowMs);
	receive(state, 'c', appendResponse(1, nowMs), nowMs);
	return state;
};

const transferVoteRequest = (term: number, isTransfer: boolean): ConsensusMessage => ({
	type: 'voteRequest', term, isPreVote: false, isTransfer, lastIndex: 1, lastTerm: 1,
});

// An operator stops the leading host while a proposal is being replicated. The
// proposal is committed and answered first; then the leader steps down, and only
// then asks the next one to start an election. Proposals made meanwhile are
// rejected and not appended to the log.
t.test('commits earlier proposals before it transfers the leadership', async t => {
	const leader = createLeader(1200);
	propose(leader, 1210);
	t.equal(messages(stepConsensus(leader, {type: 'transferLeadership'}, 1220), 'appendRequest').length, 2, 'sends a heartbeat to both');
	t.match(propose(leader, 1225), [{type: 'rejected', reason: 'handingOver'}]);
	t.same(messages(receive(leader, 'b', appendResponse(1, 1220), 1230), 'timeoutNow'), [], 'b lacks the proposal');
	t.same(messages(receive(leader, 'b', appendResponse(2, 1220), 1240), 'timeoutNow'), [], 'the leader has not synced it yet');
	const effects = stepConsensus(leader, {type: 'persisted', index: 2, term: 1}, 1250);
	const order = effects.map(effect => effect.type === 'send' ? effect.message.type : effect.type).filter(type => type !== 'appendRequest');
	t.same(order, ['commit', 'roleChanged', 'timeoutNow']);
	t.match(messages(effects, 'timeoutNow'), [{to: 'b', message: {term: 1}}]);
});

// The only voter that had every entry has crashed since its last response. If it
// were chosen, there would be no leader for an election timeout. Only a voter that
// responded since the transfer started is asked to start an election.
t.test('chooses only a voter that responded since the transfer started', async t => {
	const leader = createLeader(1200);
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	t.same(messages(receive(leader, 'b', appendResponse(1, 1200), 1310), 'timeoutNow'), [], 'a response to an earlier message');
	t.match(messages(receive(leader, 'c', appendResponse(1, 1300), 1320), 'timeoutNow'), [{to: 'c'}]);
});

// The message is lost, or the voter is slow. The old leader has just renewed its
// lease, and both others still receive its messages. It must not answer anyway,
// since the voter may be elected at any time and accept a change.
t.test('a leader that has transferred the leadership never answers in that term again', async t => {
	const leader = createLeader(1200);
	t.ok(hasLeaderLease(leader, 1300));
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	receive(leader, 'b', appendResponse(1, 1300), 1310);
	t.notOk(hasLeaderLease(leader, 1311));
	receive(leader, 'c', appendResponse(1, 1300), 1320);
	t.notOk(hasLeaderLease(leader, 1321));
	t.match(propose(leader, 1330), [{type: 'rejected', reason: 'notLeader'}]);
});

// The others respond, but their disks are so slow that none has the last entry
// within an election timeout. Proposals must not be rejected for longer: the
// leader accepts them again.
t.test('aborts a transfer if no voter becomes ready in time, and the leader continues', async t => {
	const leader = createLeader(1200);
	propose(leader, 1290);
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	receive(leader, 'b', appendResponse(1, 1800), 1840);
	stepConsensus(leader, {type: 'tick'}, 1850);
	t.match(propose(leader, 1850), [{type: 'rejected', reason: 'handingOver'}]);
	stepConsensus(leader, {type: 'tick'}, 1901);
	t.ok(hasLeaderLease(leader, 1901));
	t.match(propose(leader, 1901), [{type: 'proposed', index: 3}]);
	stepConsensus(leader, {type: 'persisted', index: 3, term: 1}, 1905);
	t.same(messages(receive(leader, 'b', appendResponse(3, 1901), 1910), 'timeoutNow'), [], 'a voter that becomes ready later is not chosen');
});

// Voters that just received a message from their leader refuse other candidates
// for an election timeout. The transfer exists to avoid that delay.
t.test('voters immediately grant the vote of a transfer, and no other vote', async t => {
	const voter = () => {
		const state = host('c', {hardState: {term: 1, votedFor: 'a'}});
		receive(state, 'a', {
			type: 'appendRequest', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, sentAtMs: 0, hasLease: true, echo: null,
		}, 1000);
		return state;
	};

	t.match(messages(receive(voter(), 'b', transferVoteRequest(2, false), 1010), 'voteResponse'), [{message: {granted: false}}]);
	t.match(messages(receive(voter(), 'b', transferVoteRequest(2, true), 1010), 'voteResponse'), [{message: {granted: true, term: 2}}]);
	t.match(messages(receive(voter(), 'b', transferVoteRequest(1, true), 1010), 'voteResponse'), [{message: {granted: false}}], 'it has already voted in that term');
});

// The request to start an election was delayed in a stalled connection and arrives
// when another host leads a later term: an election now would depose that leader.
t.test('ignores a late request to start an election', async t => {
	const lateReceiver = host('b', {hardState: {term: 2, votedFor: 'c'}});
	t.same(receive(lateReceiver, 'a', {type: 'timeoutNow', term: 1}, 100), []);
	t.equal(lateReceiver.term, 2);
	const elected = host('b', {hardState: {term: 1, votedFor: 'a'}});
	t.equal(messages(receive(elected, 'a', {type: 'timeoutNow', term: 1}, 100), 'voteRequest').length, 2);
	t.same(receive(elected, 'a', {type: 'timeoutNow', term: 1}, 101), [], 'a duplicate of the request');
	t.equal(elected.term, 2);
});
