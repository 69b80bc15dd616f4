import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Snapshot} from '@bitternpaddle/state';
import t from 'tap';
import {
	changesSince, createChangeHistory, createConsensus, createRandom, planMembers, recordChange, stepConsensus, type ConsensusEffect, type ConsensusState,
} from '@bitternpaddle/coordination';

const nowMs = 1300;
const maxUncommittedBytes = 16 * 1024 * 1024;

/** A leader of term 1, which `b` follows; `d` is a learner. */
const lead = (snapshot: Snapshot | null = null): ConsensusState => {
	const state = createConsensus({
		selfId: 'a', initialMembers: {voters: ['a', 'b', 'c'], learners: ['d']}, hardState: {term: 0, votedFor: null}, snapshot, entries: [], random: createRandom(1), nowMs: 0,
	});
	stepConsensus(state, {type: 'tick'}, 1200);
	for (const isPreVote of [true, false]) {
		stepConsensus(state, {
			type: 'message', from: 'b', message: {
				type: 'voteResponse', term: 1, isPreVote, granted: true,
			},
		}, 1200);
	}

	return state;
};

const payload = (number: number, sizeBytes: number): LogEntry['payload'] => ({type: 'document', document: {kind: 'configuration', number, text: 'x'.repeat(sizeBytes)}});

const propose = (state: ConsensusState, number: number, sizeBytes: number): ConsensusEffect[] => stepConsensus(state, {type: 'propose', token: number, payload: payload(number, sizeBytes)}, nowMs);

const answer = (matchIndex: number): ConsensusMessage => ({
	type: 'appendResponse', term: 1, success: true, matchIndex, sentAtMs: 1290, stamp: {incarnation: 1, atMs: 0},
});

const acknowledge = (state: ConsensusState, member: string, matchIndex: number): ConsensusEffect[] => stepConsensus(state, {type: 'message', from: member, message: answer(matchIndex)}, nowMs);

// Guards against a leader that holds every long change that arrives while its voters are slow, until it runs out of heap.
t.test('a leader rejects proposals while too many bytes are uncommitted', async t => {
	const leader = lead();
	const results = Array.from({length: 10}, (_, number) => propose(leader, number, 4_000_000)[0]!);
	const accepted = results.filter(({type}) => type === 'proposed').length;
	t.ok(accepted >= 2 && accepted * 4_000_000 <= maxUncommittedBytes, `${accepted} accepted`);
	t.match(results.at(-1), {type: 'rejected', reason: 'tooManyUncommitted'});
	const lastIndex = accepted + 1;
	stepConsensus(leader, {type: 'persisted', index: lastIndex, term: 1}, nowMs);
	acknowledge(leader, 'b', lastIndex);
	t.equal(leader.commitIndex, lastIndex);
	t.match(propose(leader, 11, 4_000_000), [{type: 'proposed'}], 'accepted again once they are committed');
});

// Guards against commits that wait for a newcomer which still lacks a long snapshot.
t.test('a learner becomes a voter only once it lacks less than a message', async t => {
	const members = {voters: ['a', 'b', 'c'], learners: ['d']};
	const leader = lead({
		index: 5, term: 0, members, state: 'x'.repeat(4_000_000),
	});
	stepConsensus(leader, {type: 'persisted', index: 6, term: 1}, nowMs);
	acknowledge(leader, 'b', 6);
	acknowledge(leader, 'd', 0);
	const planned = () => planMembers({
		state: leader, standbys: new Map([['d', nowMs]]), voterCount: 4, leadingSinceMs: 0, nowMs,
	});
	t.equal(planned(), null);
	acknowledge(leader, 'd', 6);
	t.same(planned(), {voters: ['a', 'b', 'c', 'd'], learners: []});
});

// Guards against a history of long changes that is bounded by their number only.
t.test('the changes retained for hosts that fell behind are bounded in bytes', async t => {
	const history = createChangeHistory(0, 4096, 1_000_000);
	for (let index = 1; index <= 100; index++) {
		recordChange(history, {index, change: {type: 'nameSystem', systemId: 'x'.repeat(100_000) as never}});
		t.ok(history.sizeBytes <= 2_200_000);
	}

	t.equal(changesSince(history, 50), null);
	t.equal(changesSince(history, 99)?.length, 1);
});
