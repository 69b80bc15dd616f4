import t from 'tap';
import fc from 'fast-check';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {
	beginRetry, createRetry, createRetryBudget, stepRetry, type RetryEffect, type RetryEvent, type RetryState, type UnansweredCause,
} from '@bitternpaddle/coordination';

const createBudget = (share = 1) => createRetryBudget({share, reservePerSecond: 0, nowMs: 0});

const createCall = (options: Partial<Parameters<typeof createRetry>[0]> = {}): RetryState => {
	const state = createRetry({budget: createBudget(), deadlineAtMs: 1000, ...options});
	beginRetry(state);
	return state;
};

const chosen = (hostId: string): RetryEvent => ({type: 'chosen', hostId});
const claimed: RetryEvent = {type: 'claimed'};
const unanswered = (cause: UnansweredCause, verdict: ReturnType<typeof notRun> | ReturnType<typeof mayHaveRun> = notRun(cause)): RetryEvent => ({type: 'unanswered', cause, verdict});

/** Applies the events, all at `nowMs`, and returns their effects. */
const applyEvents = (state: RetryState, events: readonly RetryEvent[], nowMs = 0): RetryEffect[] => events.map(event => stepRetry(state, event, nowMs));
const lastEffect = (state: RetryState, events: readonly RetryEvent[], nowMs = 0): RetryEffect => applyEvents(state, events, nowMs).at(-1)!;

t.test('a call is sent to one endpoint and answered', async t => {
	const state = createCall();
	t.same(applyEvents(state, [chosen('a'), claimed, {type: 'answered'}]), [
		{type: 'claim', number: 1}, {type: 'dispatch', number: 1}, {type: 'finish', end: {type: 'answered'}},
	]);
});

// The connection to an endpoint is lost and it is unknown whether the call ran there.
// The caller must get this verdict, because another attempt could run the call twice.
t.test('a call that may have run is not retried', async t => {
	const state = createCall();
	t.same(lastEffect(state, [chosen('a'), claimed, unanswered('lost', mayHaveRun('cut'))]), {type: 'finish', end: {type: 'verdict', verdict: mayHaveRun('cut')}});
});

// An endpoint is unreachable. The call must go to another endpoint; the first one is
// retried only if there is no other.
t.test('a lost endpoint is retried only when there is no other', async t => {
	const state = createCall();
	t.same(lastEffect(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'choose', tried: new Set(['a'])});
	t.same(lastEffect(state, [{type: 'noEndpoint'}]), {type: 'choose', tried: new Set()});
	t.match(lastEffect(state, [chosen('a')]), {type: 'claim', number: 2}, 'each attempt has a new number');
	t.match(
		lastEffect(state, [claimed, unanswered('refused'), {type: 'noEndpoint'}]),
		{type: 'finish', end: {verdict: {type: 'notRun', reason: 'refused'}}},
		'an endpoint that refused is not retried',
	);
});

// Other entries are faster, and one endpoint after another is full. If each of them used
// up an attempt, the call would fail although its target is merely busy. It must
// return to its former queue position each time, as the same attempt.
t.test('a full endpoint does not use up an attempt', async t => {
	const budget = createBudget(0);
	const state = createCall({budget, maxAttempts: 2});
	const levelBefore = budget.level;
	for (let index = 0; index < 20; index++) {
		t.match(lastEffect(state, [chosen('a'), claimed, unanswered('doorFull')]), {type: 'requeue', tried: new Set()});
	}

	t.match(lastEffect(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'choose'});
	t.match(lastEffect(state, [chosen('b'), claimed, unanswered('doorFull')]), {type: 'requeue', tried: new Set(['a'])});
	t.match(lastEffect(state, [chosen('b'), claimed, unanswered('lost')]), {type: 'finish'});
	t.equal(budget.level, levelBefore - 1, 'one retry, however many endpoints were full');
});

t.test('a call waits for a spare slot until its deadline and no longer', async t => {
	const state = createCall();
	t.match(lastEffect(state, [chosen('a'), claimed, unanswered('doorFull')], 999), {type: 'requeue'});
	t.match(lastEffect(state, [chosen('a')], 1000), {type: 'finish', end: {verdict: {type: 'notRun', reason: 'the deadline passed'}}});
	const queued = createCall();
	applyEvents(queued, [chosen('a'), claimed, unanswered('doorFull')]);
	t.match(
		lastEffect(queued, [{type: 'turnRefused', verdict: notRun('late', 700)}]),
		{type: 'finish', end: {verdict: {reason: 'late', retryAfterMs: 700}}},
		'the refusal of the queue has a retry time',
	);
});

// The deadline of a call passes while its claim is being written to the log.
t.test('a claim that outlasts the deadline is not dispatched', async t => {
	const state = createCall();
	t.match(lastEffect(state, [chosen('a')], 900), {type: 'claim'});
	t.match(lastEffect(state, [claimed], 1000), {type: 'finish', end: {verdict: {type: 'notRun'}}});
});

// An availability zone has failed and all calls are being retried. A call that gets no
// retry must fail immediately with a retry time instead of waiting for its deadline.
t.test('without budget a call ends immediately with a retry time', async t => {
	const budget = createRetryBudget({share: 0, reservePerSecond: 2, nowMs: 0});
	budget.level = 0.5;
	const state = createCall({budget});
	t.match(lastEffect(state, [chosen('a'), claimed, unanswered('lost')]), {type: 'finish', end: {verdict: {type: 'notRun', retryAfterMs: 250}}});
});

t.test('a retry that finds no endpoint is returned to the budget', async t => {
	const budget = createBudget();
	const state = createCall({budget});
	const levelBefore = budget.level;
	t.match(lastEffect(state, [chosen('a'), claimed, unanswered('refused')]), {type: 'choose'});
	t.equal(budget.level, levelBefore - 1);
	t.match(lastEffect(state, [{type: 'noEndpoint'}]), {type: 'finish'});
	t.equal(budget.level, levelBefore);
});

type ScheduleStep = {readonly call: number; readonly pick: number; readonly host: number; readonly waitMs: number};

/** Returns an event that may follow the effect. */
const eventFor = (effect: RetryEffect, {pick, host}: ScheduleStep): RetryEvent => {
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

/** A call under test and its history. */
type ObservedCall = {
	readonly state: RetryState;
	effect: RetryEffect;
	hostId: string;
	/** Hosts of the attempts that were used up. */
	readonly attemptedHosts: string[];
	mayHaveRun: boolean;
	/** The call received `noEndpoint`: there is no untried endpoint. */
	hasNoUntriedEndpoint: boolean;
};

const maxAttempts = 3;
const share = 0.2;

const recordEvent = (call: ObservedCall, event: RetryEvent): void => {
	call.hasNoUntriedEndpoint = event.type === 'noEndpoint' || (call.hasNoUntriedEndpoint && event.type !== 'unanswered');
	if (event.type === 'chosen') {
		call.hostId = event.hostId;
	}

	if (event.type === 'unanswered' && event.cause !== 'doorFull') {
		call.attemptedHosts.push(call.hostId);
		call.mayHaveRun ||= event.verdict.type === 'mayHaveRun';
	}
};

/** Returns the rule that the effect violates, or `null`. */
const findViolation = ({state, attemptedHosts, hostId, mayHaveRun: mayHaveRunAlready, hasNoUntriedEndpoint}: ObservedCall, event: RetryEvent, effect: RetryEffect, nowMs: number): string | null => {
	if (mayHaveRunAlready && effect.type !== 'finish') {
		return 'continues after an attempt that may have run';
	}

	if (effect.type === 'finish' && effect.end.type === 'verdict' && mayHaveRunAlready !== (effect.end.verdict.type === 'mayHaveRun')) {
		return 'returns a wrong verdict to the caller';
	}

	if (event.type === 'unanswered' && event.cause === 'doorFull' && effect.type !== 'requeue' && effect.type !== 'finish') {
		return 'does not return to the queue from a full endpoint';
	}

	if (effect.type !== 'dispatch') {
		return null;
	}

	if (nowMs >= state.options.deadlineAtMs) {
		return 'starts an attempt at or after the deadline';
	}

	if (attemptedHosts.length >= maxAttempts) {
		return 'exceeds its maximum number of attempts';
	}

	return attemptedHosts.includes(hostId) && !hasNoUntriedEndpoint ? 'retries an endpoint although there may be another' : null;
};

const scheduleStep = fc.record({
	call: fc.nat({max: 9}), pick: fc.nat({max: 15}), host: fc.nat({max: 2}), waitMs: fc.nat({max: 10}),
});

const coverage = {
	retries: 0, full: 0, late: 0, returns: 0,
};

const recordCoverage = ({state, effect, attemptedHosts, hostId}: ObservedCall, event: RetryEvent, nowMs: number): void => {
	coverage.retries += effect.type === 'dispatch' && attemptedHosts.length > 0 ? 1 : 0;
	coverage.returns += effect.type === 'dispatch' && attemptedHosts.includes(hostId) ? 1 : 0;
	coverage.full += event.type === 'unanswered' && event.cause === 'doorFull' ? 1 : 0;
	coverage.late += nowMs >= state.options.deadlineAtMs ? 1 : 0;
};

/** Applies the steps to calls that share a budget and returns the first violation, or `null`. */
const runSchedule = (steps: readonly ScheduleStep[]): string | null => {
	const budget = createRetryBudget({share, reservePerSecond: 1, nowMs: 0});
	const startLevel = 1;
	budget.level = startLevel;
	const calls = new Map<number, ObservedCall>();
	let nowMs = 0;
	for (const step of steps) {
		nowMs += step.waitMs;
		const call = calls.get(step.call);
		if (call === undefined) {
			const state = createRetry({budget, maxAttempts, deadlineAtMs: nowMs + 300});
			calls.set(step.call, {
				state, effect: beginRetry(state), hostId: '', attemptedHosts: [], mayHaveRun: false, hasNoUntriedEndpoint: false,
			});
		} else if (call.effect.type !== 'finish') {
			const event = eventFor(call.effect, step);
			recordEvent(call, event);
			call.effect = stepRetry(call.state, event, nowMs);
			recordCoverage(call, event, nowMs);
			const violation = findViolation(call, event, call.effect, nowMs);
			if (violation !== null) {
				return violation;
			}
		}

		const retries = [...calls.values()].reduce((sum, {attemptedHosts}) => sum + Math.max(0, attemptedHosts.length - 1), 0);
		if (retries > startLevel + (share * calls.size) + (nowMs / 1000)) {
			return 'sends more retries than the budget allows';
		}
	}

	return null;
};

// Up to ten calls share a budget, in any order and with any outcome. Nothing follows an
// attempt that may have run, no attempt starts at or after the deadline, retries never
// exceed the budget, an endpoint is tried a second time only when there is no other, and
// a full endpoint leads back to the queue.
t.test('retries obey all rules under any schedule', async t => {
	const seed = 4404;
	t.comment(`seed ${seed}`);
	fc.assert(fc.property(fc.array(scheduleStep, {minLength: 50, maxLength: 200}), steps => {
		const violation = runSchedule(steps);
		if (violation !== null) {
			throw new Error(violation);
		}
	}), {seed, numRuns: 1000});
	t.ok(Object.values(coverage).every(count => count > 100), JSON.stringify(coverage));
});

// Applies the budget under the heaviest load: a thousand calls to endpoints that are all lost.
t.test('the failure of an availability zone causes no more retries than the budget', async t => {
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
