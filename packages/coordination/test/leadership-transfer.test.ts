import type {ConsensusMessage} from '@bitternpaddle/protocol';
import t from 'tap';
import {
	createConsensus, createRandom, hasLeaderLease, stepConsensus, type ConsensusEffect, type ConsensusOptions, type ConsensusState,
} from '@bitternpaddle/coordination';

const voters = ['a', 'b', 'c'];

const host = (selfId: string, options: Partial<ConsensusOptions> = {}): ConsensusState => createConsensus({
	selfId, initialMembers: {voters, learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(1), nowMs: 0, ...options,
});

const hear = (state: ConsensusState, from: string, message: ConsensusMessage, nowMs: number): ConsensusEffect[] => stepConsensus(state, {type: 'message', from, message}, nowMs);

const messages = (effects: readonly ConsensusEffect[], type: ConsensusMessage['type']) => effects
	.filter(effect => effect.type === 'send')
	.filter(({message}) => message.type === type);

const propose = (state: ConsensusState, nowMs: number): ConsensusEffect[] => stepConsensus(state, {
	type: 'propose', token: 1, payload: {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}},
}, nowMs);

const confirm = (matchIndex: number, sentAtMs: number): ConsensusMessage => ({
	type: 'appendResponse', term: 1, success: true, matchIndex, sentAtMs, stamp: {incarnation: 1, atMs: 0},
});

const grant = (isPreVote: boolean): ConsensusMessage => ({
	type: 'voteResponse', term: 1, isPreVote, granted: true,
});

/** `a` leads term 1 and holds its lease; entry 1 is committed by `a` and `b`. */
const leaderAt = (nowMs: number): ConsensusState => {
	const state = host('a');
	stepConsensus(state, {type: 'tick'}, nowMs);
	hear(state, 'b', grant(true), nowMs);
	hear(state, 'b', grant(false), nowMs);
	stepConsensus(state, {type: 'persisted', index: 1, term: 1}, nowMs);
	hear(state, 'b', confirm(1, nowMs), nowMs);
	hear(state, 'c', confirm(1, nowMs), nowMs);
	return state;
};

const transferVote = (term: number, isTransfer: boolean): ConsensusMessage => ({
	type: 'voteRequest', term, isPreVote: false, isTransfer, lastIndex: 1, lastTerm: 1,
});

// An operator stops the leading host while an order is on its way to the disks.
// The order is committed and answered first; then the host steps down, and only
// then is the next one told to stand. Whoever proposes meanwhile is refused and
// nothing of it is in the log.
t.test('what was proposed is committed before the leadership goes', async t => {
	const leader = leaderAt(1200);
	propose(leader, 1210);
	t.equal(messages(stepConsensus(leader, {type: 'transferLeadership'}, 1220), 'appendRequest').length, 2, 'asks both for a sign of life');
	t.match(propose(leader, 1225), [{type: 'rejected', reason: 'handingOver'}]);
	t.same(messages(hear(leader, 'b', confirm(1, 1220), 1230), 'timeoutNow'), [], 'b lacks the order');
	t.same(messages(hear(leader, 'b', confirm(2, 1220), 1240), 'timeoutNow'), [], 'not on this disk yet');
	const effects = stepConsensus(leader, {type: 'persisted', index: 2, term: 1}, 1250);
	const order = effects.map(effect => effect.type === 'send' ? effect.message.type : effect.type).filter(type => type !== 'appendRequest');
	t.same(order, ['commit', 'roleChanged', 'timeoutNow']);
	t.match(messages(effects, 'timeoutNow'), [{to: 'b', message: {term: 1}}]);
});

// The voter that had everything has died since it was last heard. Told to stand
// for election it would never answer, and nobody would lead for an election
// timeout: only a voter that answered since the transfer began is told.
t.test('only a voter that answers now is told to stand', async t => {
	const leader = leaderAt(1200);
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	t.same(messages(hear(leader, 'b', confirm(1, 1200), 1310), 'timeoutNow'), [], 'an answer to an earlier message');
	t.match(messages(hear(leader, 'c', confirm(1, 1300), 1320), 'timeoutNow'), [{to: 'c'}]);
});

// The message is lost, or the voter is slow. The old leader has renewed its
// lease a moment ago and both others still hear it: it must answer nothing all
// the same, since the voter may be elected at any moment and accept a change.
t.test('a leader that has told another to stand never answers in that term again', async t => {
	const leader = leaderAt(1200);
	t.ok(hasLeaderLease(leader, 1300));
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	hear(leader, 'b', confirm(1, 1300), 1310);
	t.notOk(hasLeaderLease(leader, 1311));
	hear(leader, 'c', confirm(1, 1300), 1320);
	t.notOk(hasLeaderLease(leader, 1321));
	t.match(propose(leader, 1330), [{type: 'rejected', reason: 'notLeader'}]);
});

// The others answer, but their disks are so slow that none has the last entry
// within an election timeout. Callers must not be refused for longer: the
// leader takes orders again.
t.test('a transfer for which nobody is ready is given up, and the leader goes on', async t => {
	const leader = leaderAt(1200);
	propose(leader, 1290);
	stepConsensus(leader, {type: 'transferLeadership'}, 1300);
	hear(leader, 'b', confirm(1, 1800), 1840);
	stepConsensus(leader, {type: 'tick'}, 1850);
	t.match(propose(leader, 1850), [{type: 'rejected', reason: 'handingOver'}]);
	stepConsensus(leader, {type: 'tick'}, 1901);
	t.ok(hasLeaderLease(leader, 1901));
	t.match(propose(leader, 1901), [{type: 'proposed', index: 3}]);
	stepConsensus(leader, {type: 'persisted', index: 3, term: 1}, 1905);
	t.same(messages(hear(leader, 'b', confirm(3, 1901), 1910), 'timeoutNow'), [], 'what is ready later hands nothing over');
});

// Voters heard their leader a moment ago, so they would refuse anybody else for
// an election timeout: the time that the transfer is there to save.
t.test('voters grant the vote of a transfer at once, and no other', async t => {
	const voter = () => {
		const state = host('c', {hardState: {term: 1, votedFor: 'a'}});
		hear(state, 'a', {
			type: 'appendRequest', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, sentAtMs: 0, hasLease: true, echo: null,
		}, 1000);
		return state;
	};

	t.match(messages(hear(voter(), 'b', transferVote(2, false), 1010), 'voteResponse'), [{message: {granted: false}}]);
	t.match(messages(hear(voter(), 'b', transferVote(2, true), 1010), 'voteResponse'), [{message: {granted: true, term: 2}}]);
	t.match(messages(hear(voter(), 'b', transferVote(1, true), 1010), 'voteResponse'), [{message: {granted: false}}], 'its vote of that term is given');
});

// The message to stand lay in a silent connection and arrives when another host
// leads a later term: standing now would take the leadership from it.
t.test('a late message to stand does nothing', async t => {
	const told = host('b', {hardState: {term: 2, votedFor: 'c'}});
	t.same(hear(told, 'a', {type: 'timeoutNow', term: 1}, 100), []);
	t.equal(told.term, 2);
	const elected = host('b', {hardState: {term: 1, votedFor: 'a'}});
	t.equal(messages(hear(elected, 'a', {type: 'timeoutNow', term: 1}, 100), 'voteRequest').length, 2);
	t.same(hear(elected, 'a', {type: 'timeoutNow', term: 1}, 101), [], 'a second copy');
	t.equal(elected.term, 2);
});
