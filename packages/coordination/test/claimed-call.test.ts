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
const claimHeldBy = (state: HeldClaim['state'], place: ClaimPlace | null = placeAt('other.1')): ClaimedCallEvent => ({
	type: 'proposed', result: {
		type: 'claimHeld', state, requestId: 'other', place,
	},
});
const placedAt = (attemptId: string): ClaimedCallEvent => ({type: 'placed', place: placeAt(attemptId)});
const claimed: ClaimedCallEvent = {type: 'proposed', result: {type: 'claimed'}};
const attemptedWith = (end: AttemptedEnd): ClaimedCallEvent => ({type: 'attempted', end});
const createCall = (): ClaimedCallState => createClaimedCall({requestId: 'own', maxRetainedAnswerBytes: 10});
const lastEffect = (state: ClaimedCallState, events: readonly ClaimedCallEvent[]): ClaimedCallEffect => events.map(event => stepClaimedCall(state, event)).at(-1)!;

t.test('a call is claimed and sent, and its outcome is recorded before it is answered', async t => {
	const state = createCall();
	t.match(lastEffect(state, [placedAt('own.1')]), {type: 'claim', place: {attemptId: 'own.1'}});
	t.same(lastEffect(state, [claimed]), {type: 'dispatch'});
	t.match(lastEffect(state, [attemptedWith({type: 'answered', place: placeAt('own.1'), answer})]), {type: 'conclude', attemptId: 'own.1', outcome: {type: 'ran', body: 'e30='}});
	t.same(lastEffect(state, [{type: 'concluded'}]), {type: 'finish', reply: {type: 'answer'}});
	t.match(
		lastEffect(createCall(), [placedAt('own.1'), claimed, attemptedWith({type: 'answered', place: placeAt('own.1'), answer: {...answer, sizeBytes: 11}})]),
		{outcome: {body: null}},
		'a large answer is not stored',
	);
});

// The first endpoint is unreachable and the call goes to another one. If this were not
// recorded first, a caller retry would query the first endpoint, get "not run" and run the call again.
t.test('a retry is recorded before it is sent', async t => {
	const state = createCall();
	t.match(lastEffect(state, [placedAt('own.1'), claimed, placedAt('own.2')]), {type: 'move', place: {attemptId: 'own.2'}});
	t.same(lastEffect(state, [{type: 'proposalFailed', reason: 'no leader'}]), {type: 'stop'});
	t.match(lastEffect(state, [attemptedWith({type: 'stopped'})]), {type: 'finish', reply: {verdict: {type: 'notRun', reason: 'the call could not be claimed: no leader'}}});
});

t.test('an attempt that may have run is left for the request gate to resolve', async t => {
	const state = createCall();
	t.match(
		lastEffect(state, [placedAt('own.1'), claimed, attemptedWith({type: 'verdict', place: placeAt('own.1'), verdict: mayHaveRun('lost')})]),
		{type: 'finish', reply: {verdict: {type: 'mayHaveRun'}}},
	);
	t.match(lastEffect(createCall(), [placedAt('own.1'), claimed, attemptedWith({type: 'answered', place: placeAt('own.1'), answer: null})]), {type: 'finish', reply: {verdict: {type: 'mayHaveRun'}}});
});

// A caller retry finds the key held by a request whose entry may have crashed.
t.test('a caller retry queries the request gate and reports the result to the caller', async t => {
	const resolveHeldCall = (found: Extract<ClaimedCallEvent, {type: 'found'}>['found']): {state: ClaimedCallState; effect: ClaimedCallEffect} => {
		const state = createCall();
		t.match(lastEffect(state, [placedAt('own.1'), claimHeldBy({type: 'inProgress'})]), {type: 'stop'});
		t.match(lastEffect(state, [attemptedWith({type: 'stopped'})]), {type: 'settle', requestId: 'other'});
		return {state, effect: lastEffect(state, [{type: 'found', found}])};
	};

	t.match(resolveHeldCall({type: 'running'}).effect, {type: 'finish', reply: {type: 'held', state: {type: 'inProgress'}}});
	t.match(resolveHeldCall({type: 'lost', isForGood: false}).effect, {type: 'finish', reply: {state: {type: 'mayHaveRun'}}}, 'the agent may return');
	t.match(resolveHeldCall({type: 'lost', isForGood: true}).effect, {type: 'conclude', requestId: 'other', outcome: {type: 'mayHaveRun'}});
	const ran = resolveHeldCall({type: 'ran', answer});
	t.match(ran.effect, {
		type: 'conclude', requestId: 'other', attemptId: 'other.1', outcome: {type: 'ran'},
	});
	t.match(lastEffect(ran.state, [{type: 'concluded'}]), {type: 'finish', reply: {type: 'held', state: {type: 'ran', body: 'e30='}}});
	const free = resolveHeldCall({type: 'notRun'});
	t.match(free.effect, {
		type: 'conclude', requestId: 'other', attemptId: 'other.1', outcome: {type: 'notRun'},
	});
	t.same(lastEffect(free.state, [{type: 'concluded'}]), {type: 'attempt'}, 'then this call claims the key itself');
	t.match(lastEffect(free.state, [placedAt('own.2')]), {type: 'claim'});
});

t.test('a call without an endpoint returns an earlier outcome', async t => {
	const end = attemptedWith({type: 'verdict', place: null, verdict: notRun('no endpoint is ready')});
	t.match(lastEffect(createCall(), [end]), {type: 'claim', place: null});
	t.match(lastEffect(createCall(), [end, claimHeldBy({type: 'mayHaveRun'})]), {type: 'finish', reply: {state: {type: 'mayHaveRun'}}});
	for (const event of [claimed, {type: 'proposalFailed', reason: 'no leader'}] as const) {
		const state = createCall();
		t.match(lastEffect(state, [end, event]), {type: 'conclude', attemptId: null, outcome: {type: 'notRun'}}, 'the key is free again');
		t.match(lastEffect(state, [{type: 'concluded'}]), {type: 'finish', reply: {verdict: {reason: 'no endpoint is ready'}}});
	}
});
