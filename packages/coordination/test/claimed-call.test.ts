import t from 'tap';
import {
	hostId, mayHaveRun, notRun, type ClaimPlace,
} from '@bitternpaddle/state';
import {
	createClaimedCall, stepClaimedCall, type AttemptedEnd, type ClaimAnswer, type ClaimedCallEffect, type ClaimedCallEvent, type ClaimedCallState, type HeldClaim,
} from '@bitternpaddle/coordination';

const placeAt = (attemptId: string): ClaimPlace => ({
	hostId: hostId('d0'), address: '', incarnation: 1, attemptId, issue: {sender: 'e', sequence: 1},
});
const answer: ClaimAnswer = {
	status: 200, contentType: 'application/json', body: 'e30=', sizeBytes: 2,
};
const heldBy = (state: HeldClaim['state'], place: ClaimPlace | null = placeAt('other.1')): ClaimedCallEvent => ({
	type: 'proposed', result: {
		type: 'claimHeld', state, requestId: 'other', place,
	},
});
const placed = (attemptId: string): ClaimedCallEvent => ({type: 'placed', place: placeAt(attemptId)});
const claimed: ClaimedCallEvent = {type: 'proposed', result: {type: 'claimed'}};
const ended = (end: AttemptedEnd): ClaimedCallEvent => ({type: 'attempted', end});
const begin = (): ClaimedCallState => createClaimedCall({requestId: 'own', maxRetainedAnswerBytes: 10});
const last = (state: ClaimedCallState, events: readonly ClaimedCallEvent[]): ClaimedCallEffect => events.map(event => stepClaimedCall(state, event)).at(-1)!;

t.test('a call is claimed, sent, and its outcome written down before it is answered', async t => {
	const state = begin();
	t.match(last(state, [placed('own.1')]), {type: 'claim', place: {attemptId: 'own.1'}});
	t.same(last(state, [claimed]), {type: 'dispatch'});
	t.match(last(state, [ended({type: 'answered', place: placeAt('own.1'), answer})]), {type: 'conclude', attemptId: 'own.1', outcome: {type: 'ran', body: 'e30='}});
	t.same(last(state, [{type: 'concluded'}]), {type: 'finish', reply: {type: 'answer'}});
	t.match(last(begin(), [placed('own.1'), claimed, ended({type: 'answered', place: placeAt('own.1'), answer: {...answer, sizeBytes: 11}})]), {outcome: {body: null}}, 'a large answer is not kept');
});

// The first endpoint cannot be reached. The call goes to another one; a resend
// that asked the first would learn "not run" there and run it again.
t.test('a retry is written down before it is sent', async t => {
	const state = begin();
	t.match(last(state, [placed('own.1'), claimed, placed('own.2')]), {type: 'move', place: {attemptId: 'own.2'}});
	t.same(last(state, [{type: 'proposalFailed', reason: 'no leader'}]), {type: 'stop'});
	t.match(last(state, [ended({type: 'stopped'})]), {type: 'finish', reply: {verdict: {type: 'notRun', reason: 'the call could not be claimed: no leader'}}});
});

t.test('an attempt that may have run is left for the door to tell', async t => {
	const state = begin();
	t.match(last(state, [placed('own.1'), claimed, ended({type: 'verdict', place: placeAt('own.1'), verdict: mayHaveRun('lost')})]), {type: 'finish', reply: {verdict: {type: 'mayHaveRun'}}});
	t.match(last(begin(), [placed('own.1'), claimed, ended({type: 'answered', place: placeAt('own.1'), answer: null})]), {type: 'finish', reply: {verdict: {type: 'mayHaveRun'}}});
});

// A resend finds the key held by a request whose entry may be dead.
t.test('a resend asks the door and tells the caller what it learns', async t => {
	const settled = (found: Extract<ClaimedCallEvent, {type: 'found'}>['found']): {state: ClaimedCallState; effect: ClaimedCallEffect} => {
		const state = begin();
		t.match(last(state, [placed('own.1'), heldBy({type: 'inProgress'})]), {type: 'stop'});
		t.match(last(state, [ended({type: 'stopped'})]), {type: 'settle', requestId: 'other'});
		return {state, effect: last(state, [{type: 'found', found}])};
	};

	t.match(settled({type: 'running'}).effect, {type: 'finish', reply: {type: 'held', state: {type: 'inProgress'}}});
	t.match(settled({type: 'lost', isForGood: false}).effect, {type: 'finish', reply: {state: {type: 'mayHaveRun'}}}, 'the agent may come back');
	t.match(settled({type: 'lost', isForGood: true}).effect, {type: 'conclude', requestId: 'other', outcome: {type: 'mayHaveRun'}});
	const ran = settled({type: 'ran', answer});
	t.match(ran.effect, {
		type: 'conclude', requestId: 'other', attemptId: 'other.1', outcome: {type: 'ran'},
	});
	t.match(last(ran.state, [{type: 'concluded'}]), {type: 'finish', reply: {type: 'held', state: {type: 'ran', body: 'e30='}}});
	const free = settled({type: 'notRun'});
	t.match(free.effect, {
		type: 'conclude', requestId: 'other', attemptId: 'other.1', outcome: {type: 'notRun'},
	});
	t.same(last(free.state, [{type: 'concluded'}]), {type: 'attempt'}, 'then takes the key itself');
	t.match(last(free.state, [placed('own.2')]), {type: 'claim'});
});

t.test('a call without an endpoint hears of an earlier outcome', async t => {
	const end = ended({type: 'verdict', place: null, verdict: notRun('no endpoint is ready')});
	t.match(last(begin(), [end]), {type: 'claim', place: null});
	t.match(last(begin(), [end, heldBy({type: 'mayHaveRun'})]), {type: 'finish', reply: {state: {type: 'mayHaveRun'}}});
	for (const event of [claimed, {type: 'proposalFailed', reason: 'no leader'}] as const) {
		const state = begin();
		t.match(last(state, [end, event]), {type: 'conclude', attemptId: null, outcome: {type: 'notRun'}}, 'the key is free again');
		t.match(last(state, [{type: 'concluded'}]), {type: 'finish', reply: {verdict: {reason: 'no endpoint is ready'}}});
	}
});
