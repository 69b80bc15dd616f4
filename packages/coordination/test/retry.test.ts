import t from 'tap';
import fc from 'fast-check';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {
	beginRetry, createRetry, createRetryBudget, stepRetry, type RetryEffect, type RetryEvent, type RetryState, type UnansweredCause,
} from '@bitternpaddle/coordination';

const budgetOf = (share = 1) => createRetryBudget({share, reservePerSecond: 0, nowMs: 0});

const begin = (options: Partial<Parameters<typeof createRetry>[0]> = {}): RetryState => {
	const state = createRetry({budget: budgetOf(), deadlineAtMs: 1000, ...options});
	beginRetry(state);
	return state;
};

const chosen = (hostId: string): RetryEvent => ({type: 'chosen', hostId});
const claimed: RetryEvent = {type: 'claimed'};
const unanswered = (cause: UnansweredCause, verdict: ReturnType<typeof notRun> | ReturnType<typeof mayHaveRun> = notRun(cause)): RetryEvent => ({type: 'unanswered', cause, verdict});

/** The effects of the events, all at `nowMs`. */
const run = (state: RetryState, events: readonly RetryEvent[], nowMs = 0): RetryEffect[] => events.map(event => stepRetry(state, event, nowMs));
const last = (state: RetryState, events: readonly RetryEvent[], nowMs = 0): RetryEffect => run(state, events, nowMs).at(-1)!;

t.test('a call goes to one endpoint and is answered', async t => {
	const state = begin();
	t.same(run(state, [chosen('a'), claimed, {type: 'answered'}]), [
		{type: 'claim', number: 1}, {type: 'dispatch', number: 1}, {type: 'finish', end: {type: 'answered'}},
	]);
});

// The connection to an endpoint is lost and nobody can say whether the call
// runs there. The caller must be told so. Another attempt could run it twice.
t.test('what may have run is not tried again', async t => {
	const state = begin();
	t.same(last(state, [chosen('a'), claimed, unanswered('lost', mayHaveRun('cut'))]), {type: 'finish', end: {type: 'verdict', verdict: mayHaveRun('cut')}});
});

// An endpoint cannot be reached. The caller gets its answer from another one;
// the first is asked again only when there is no other.
t.test('a lost endpoint is asked again only when there is no other', async t => {
	const state = begin();
	t.same(last(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'choose', tried: new Set(['a'])});
	t.same(last(state, [{type: 'noEndpoint'}]), {type: 'choose', tried: new Set()});
	t.match(last(state, [chosen('a')]), {type: 'claim', number: 2}, 'another attempt has another number');
	t.match(last(state, [claimed, unanswered('refused'), {type: 'noEndpoint'}]), {type: 'finish', end: {verdict: {type: 'notRun', reason: 'refused'}}}, 'one that refuses is not');
});

// Other entries are faster, and one door after another is full. With an attempt
// spent on each, the caller is told "not run" while its target is merely busy.
// The call must go back to its place in the queue each time, as the same attempt.
t.test('a full door costs no attempt', async t => {
	const budget = budgetOf(0);
	const state = begin({budget, maxAttempts: 2});
	const levelBefore = budget.level;
	for (let index = 0; index < 20; index++) {
		t.match(last(state, [chosen('a'), claimed, unanswered('doorFull')]), {type: 'requeue', tried: new Set()});
	}

	t.match(last(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'choose'});
	t.match(last(state, [chosen('b'), claimed, unanswered('doorFull')]), {type: 'requeue', tried: new Set(['a'])});
	t.match(last(state, [chosen('b'), claimed, unanswered('lost')]), {type: 'finish'});
	t.equal(budget.level, levelBefore - 1, 'one retry, however many doors were full');
});

t.test('a call waits for room until its deadline and no longer', async t => {
	const state = begin();
	t.match(last(state, [chosen('a'), claimed, unanswered('doorFull')], 999), {type: 'requeue'});
	t.match(last(state, [chosen('a')], 1000), {type: 'finish', end: {verdict: {type: 'notRun', reason: 'the deadline passed'}}});
	const queued = begin();
	run(queued, [chosen('a'), claimed, unanswered('doorFull')]);
	t.match(last(queued, [{type: 'turnRefused', verdict: notRun('late', 700)}]), {type: 'finish', end: {verdict: {reason: 'late', retryAfterMs: 700}}}, 'the queue says when to come back');
});

// The claim of a call is written to the log, and its deadline passes meanwhile.
t.test('a claim that outlasts the deadline is not dispatched', async t => {
	const state = begin();
	t.match(last(state, [chosen('a')], 900), {type: 'claim'});
	t.match(last(state, [claimed], 1000), {type: 'finish', end: {verdict: {type: 'notRun'}}});
});

// A hall is gone and all calls are being retried. Who gets no retry must be
// told at once, and when to come back, rather than wait for its deadline.
t.test('without budget a call ends at once and hears when to come back', async t => {
	const budget = createRetryBudget({share: 0, reservePerSecond: 2, nowMs: 0});
	budget.level = 0.5;
	const state = begin({budget});
	t.match(last(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'finish', end: {verdict: {type: 'notRun', retryAfterMs: 250}}});
});

t.test('a retry that finds no endpoint goes back to the budget', async t => {
	const budget = budgetOf();
	const state = begin({budget});
	const levelBefore = budget.level;
	t.match(last(state, [chosen('a'), claimed, unanswered('refused')]), {type: 'choose'});
	t.equal(budget.level, levelBefore - 1);
	t.match(last(state, [{type: 'noEndpoint'}]), {type: 'finish'});
	t.equal(budget.level, levelBefore);
});

type Answer = {readonly call: number; readonly pick: number; readonly host: number; readonly waitMs: number};

/** An event that may follow the effect. */
const eventFor = (effect: RetryEffect, {pick, host}: Answer): RetryEvent => {
	if (effect.type === 'claim') {
		return pick === 0 ? {type: 'claimRefused'} : claimed;
	}

	if (effect.type === 'dispatch') {
		const events: RetryEvent[] = [
			{type: 'answered'},
			unanswered('lost', mayHaveRun('lost')),
			unanswered('givenUp'),
			unanswered('lost'),
			unanswered('lost'),
			unanswered('refused'),
			unanswered('doorFull'),
			unanswered('doorFull'),
		];
		return events[pick % events.length]!;
	}

	const hostId = `h${host}`;
	const isTried = (effect.type === 'choose' || effect.type === 'requeue') && effect.tried.has(hostId);
	if (pick === 0) {
		return {type: 'turnRefused', verdict: notRun('turn')};
	}

	return isTried ? {type: 'noEndpoint'} : chosen(hostId);
};

/** A call under test and what it has done so far. */
type Watched = {
	readonly state: RetryState;
	effect: RetryEffect;
	hostId: string;
	/** Hosts of the attempts that were spent. */
	readonly spentOn: string[];
	mayHaveRun: boolean;
	/** It was told that no untried endpoint is there. */
	hasNoOther: boolean;
};

const maxAttempts = 3;
const share = 0.2;

const noteEvent = (call: Watched, event: RetryEvent): void => {
	call.hasNoOther = event.type === 'noEndpoint' || (call.hasNoOther && event.type !== 'unanswered');
	if (event.type === 'chosen') {
		call.hostId = event.hostId;
	}

	if (event.type === 'unanswered' && event.cause !== 'doorFull') {
		call.spentOn.push(call.hostId);
		call.mayHaveRun ||= event.verdict.type === 'mayHaveRun';
	}
};

/** What is wrong with the effect after the event, or `null`. */
const faultOf = ({state, spentOn, hostId, mayHaveRun: isInDoubt, hasNoOther}: Watched, event: RetryEvent, effect: RetryEffect, nowMs: number): string | null => {
	if (isInDoubt && effect.type !== 'finish') {
		return 'goes on after an attempt that may have run';
	}

	if (effect.type === 'finish' && effect.end.type === 'verdict' && isInDoubt !== (effect.end.verdict.type === 'mayHaveRun')) {
		return 'tells the caller a wrong verdict';
	}

	if (event.type === 'unanswered' && event.cause === 'doorFull' && effect.type !== 'requeue' && effect.type !== 'finish') {
		return 'does not go back to the queue from a full door';
	}

	if (effect.type !== 'dispatch') {
		return null;
	}

	if (nowMs >= state.options.deadlineAtMs) {
		return 'begins an attempt past the deadline';
	}

	if (spentOn.length >= maxAttempts) {
		return 'has spent its attempts';
	}

	return spentOn.includes(hostId) && !hasNoOther ? 'goes back to an endpoint although there may be another' : null;
};

const answer = fc.record({
	call: fc.nat({max: 9}), pick: fc.nat({max: 15}), host: fc.nat({max: 2}), waitMs: fc.nat({max: 10}),
});

const seen = {
	retries: 0, full: 0, late: 0, returns: 0,
};

const countSeen = ({state, effect, spentOn, hostId}: Watched, event: RetryEvent, nowMs: number): void => {
	seen.retries += effect.type === 'dispatch' && spentOn.length > 0 ? 1 : 0;
	seen.returns += effect.type === 'dispatch' && spentOn.includes(hostId) ? 1 : 0;
	seen.full += event.type === 'unanswered' && event.cause === 'doorFull' ? 1 : 0;
	seen.late += nowMs >= state.options.deadlineAtMs ? 1 : 0;
};

/** Lets the answers come to calls that share a budget; gives the first fault. */
const runSchedule = (answers: readonly Answer[]): string | null => {
	const budget = createRetryBudget({share, reservePerSecond: 1, nowMs: 0});
	const startLevel = 1;
	budget.level = startLevel;
	const calls = new Map<number, Watched>();
	let nowMs = 0;
	for (const step of answers) {
		nowMs += step.waitMs;
		const call = calls.get(step.call);
		if (call === undefined) {
			const state = createRetry({budget, maxAttempts, deadlineAtMs: nowMs + 300});
			calls.set(step.call, {
				state, effect: beginRetry(state), hostId: '', spentOn: [], mayHaveRun: false, hasNoOther: false,
			});
		} else if (call.effect.type !== 'finish') {
			const event = eventFor(call.effect, step);
			noteEvent(call, event);
			call.effect = stepRetry(call.state, event, nowMs);
			countSeen(call, event, nowMs);
			const fault = faultOf(call, event, call.effect, nowMs);
			if (fault !== null) {
				return fault;
			}
		}

		const retries = [...calls.values()].reduce((sum, {spentOn}) => sum + Math.max(0, spentOn.length - 1), 0);
		if (retries > startLevel + (share * calls.size) + (nowMs / 1000)) {
			return 'retries more than the budget allows';
		}
	}

	return null;
};

// Up to ten calls share a budget, in any order, with any outcome. Nothing
// follows an attempt that may have run, nothing begins at or past the deadline,
// there are never more retries than the budget, an endpoint is asked a second
// time only when there is no other, and a full door leads back to the queue.
t.test('holds under any schedule', async t => {
	const seed = 4404;
	t.comment(`seed ${seed}`);
	fc.assert(fc.property(fc.array(answer, {minLength: 50, maxLength: 200}), answers => {
		const fault = runSchedule(answers);
		if (fault !== null) {
			throw new Error(fault);
		}
	}), {seed, numRuns: 1000});
	t.ok(Object.values(seen).every(count => count > 100), JSON.stringify(seen));
});

// The same bound where it binds: a thousand calls at endpoints that are all lost.
t.test('a hall that is gone brings no more retries than the budget', async t => {
	const budget = createRetryBudget({share: 0.2, reservePerSecond: 0, nowMs: 0});
	const startLevel = budget.level;
	let dispatches = 0;
	for (let call = 0; call < 1000; call++) {
		const state = createRetry({budget, deadlineAtMs: 1e9});
		let effect = beginRetry(state);
		for (let host = 0; effect.type !== 'finish'; host++) {
			dispatches += effect.type === 'dispatch' ? 1 : 0;
			const event: RetryEvent = effect.type === 'claim' ? claimed : (effect.type === 'dispatch' ? unanswered('lost') : chosen(`h${host}`));
			effect = stepRetry(state, event, call);
		}
	}

	t.ok(dispatches > 1190 && dispatches <= 1000 + startLevel + 200, `${dispatches} dispatches`);
});
