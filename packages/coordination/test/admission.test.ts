import t from 'tap';
import fc from 'fast-check';
import {
	cancelRequest, createAdmission, createRetryBudget, finishRequest, recordFirstAttempt, offerRequest, returnToQueue, setShares, dequeueRequest, takeRetry,
	tickAdmission, waitingCount, type AdmissionOptions, type AdmissionRefusal, type AdmissionRequest, type AdmissionState,
} from '@bitternpaddle/coordination';

const target = 'model/pitch-desk';

const setUp = (weights: Record<string, number>, options: AdmissionOptions = {}): AdmissionState => {
	const state = createAdmission(options);
	setShares(state, {teams: new Map(Object.entries(weights)), entries: 1}, 0);
	return state;
};

const createRequest = (requestId: string, teamId: string, more: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	requestId, teamId, target, cost: 100, priority: 0, deadlineAtMs: 1e9, ...more,
});

const offerRequests = (state: AdmissionState, teamId: string, count: number, nowMs = 0): number => {
	let queued = 0;
	for (let index = 0; index < count; index++) {
		queued += offerRequest(state, createRequest(`${teamId}-${nowMs}-${index}`, teamId), nowMs).type === 'queued' ? 1 : 0;
	}

	return queued;
};

const takeRequestIds = (state: AdmissionState, count: number, nowMs = 0): string[] => Array.from({length: count}, () => dequeueRequest(state, target, nowMs).request?.requestId ?? 'none');

/** Serves one request every `stepMs` while many are waiting, which sets the service rate: 10,000 per second at cost 100 and 10 ms. */
const trainServiceRate = (state: AdmissionState, teamId: string, untilMs: number, stepMs = 10): void => {
	for (let nowMs = stepMs; nowMs <= untilMs; nowMs += stepMs) {
		const {request} = dequeueRequest(state, target, nowMs);
		finishRequest(state, request!.requestId, {hasRun: true}, nowMs);
		offerRequest(state, createRequest(`${teamId}-more-${nowMs}`, teamId), nowMs);
	}
};

// A large team sends 400 requests before a small team sends one. In a FIFO queue
// the small team's request would be number 401 and wait for seconds; here it must
// be among the next two.
t.test('a burst of a large team does not delay other teams', async t => {
	const state = setUp({large: 1, small: 1});
	offerRequests(state, 'large', 400);
	takeRequestIds(state, 1);
	offerRequest(state, createRequest('marshal', 'small'), 5);
	t.ok(takeRequestIds(state, 2, 6).includes('marshal'));
});

t.test('teams are served in proportion to their weights', async t => {
	const state = setUp({large: 3, small: 1});
	offerRequests(state, 'large', 100);
	offerRequests(state, 'small', 100);
	const taken = takeRequestIds(state, 80);
	t.equal(taken.filter(id => id.startsWith('large')).length, 60);
});

// A large team sends more requests than the queue holds, and a small team that has
// sent nothing is refused because the queue is full. The limit must shrink for
// the team that holds most, so that the queue always has free capacity for the next team.
t.test('a flooded queue still accepts requests of another team', async t => {
	const state = setUp({large: 1, small: 1}, {maxQueuedPerTarget: 100});
	t.equal(offerRequests(state, 'large', 1000), 50);
	t.equal(offerRequests(state, 'small', 20), 20);
	const refused = offerRequest(state, createRequest('one-more', 'large'), 0);
	t.match(refused, {type: 'refused', reason: 'teamQueueFull'});
});

// A request with two seconds left is queued behind ten seconds of its own team's
// work and is refused only at its deadline. It must be refused immediately, with
// the time after which a retry can succeed.
t.test('work that cannot meet its deadline is refused immediately, with a retry time', async t => {
	const state = setUp({large: 1, small: 1}, {maxQueuedPerTeam: 5000, maxQueuedPerTarget: 5000});
	offerRequests(state, 'large', 1000);
	trainServiceRate(state, 'large', 2000);
	const refused = offerRequest(state, createRequest('late', 'large', {deadlineAtMs: 4000}), 2000);
	t.match(refused, {type: 'refused', reason: 'deadline'});
	t.ok(refused.type === 'refused' && refused.retryAfterMs > 7000 && refused.retryAfterMs < 9000, JSON.stringify(refused));
	t.equal(offerRequest(state, createRequest('in time', 'large', {deadlineAtMs: 20_000}), 2000).type, 'queued');
	t.equal(offerRequest(state, createRequest('other team', 'small', {deadlineAtMs: 4000}), 2000).type, 'queued');
});

// An availability zone fails while requests are waiting. At the old rate all of
// them would have met their deadlines; at the new rate the last ones cannot. They must be
// refused as soon as the rate shows it, not one by one at their deadlines.
t.test('waiting requests are shed as soon as capacity is lost', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 400; index++) {
		offerRequest(state, createRequest(`r${index}`, 'large', {deadlineAtMs: 8000}), 0);
	}

	trainServiceRate(state, 'large', 2000);
	t.equal(tickAdmission(state, 2000).length, 0);
	for (let nowMs = 2100; nowMs <= 4000; nowMs += 100) {
		const {request} = dequeueRequest(state, target, nowMs);
		finishRequest(state, request!.requestId, {hasRun: true}, nowMs);
	}

	const refused = tickAdmission(state, 4010);
	t.ok(refused.length > 100, `${refused.length} refused`);
	t.ok(refused.every(({reason}) => reason === 'deadline'));
	t.ok(waitingCount(state, target) > 0, 'requests that can still be served stay queued');
});

// A caller disconnects while its request is queued. If the request were started
// anyway, its work would be wasted; under overload that would be most of the work.
t.test('a request whose caller has disconnected is never started', async t => {
	const state = setUp({small: 1});
	offerRequests(state, 'small', 3);
	cancelRequest(state, 'small-0-1');
	t.equal(waitingCount(state, target), 2);
	t.same(takeRequestIds(state, 3), ['small-0-0', 'small-0-2', 'none']);
});

// A team sends urgent requests continuously, and its batch request is starved.
// Waiting time must count, so that it precedes urgent requests that came much later.
t.test('priority does not starve less urgent requests', async t => {
	const state = setUp({small: 1}, {priorityStepMs: 1000});
	offerRequest(state, createRequest('batch', 'small', {priority: 1}), 0);
	offerRequest(state, createRequest('urgent', 'small'), 500);
	offerRequest(state, createRequest('urgent later', 'small'), 1500);
	t.same(takeRequestIds(state, 3), ['urgent', 'batch', 'urgent later']);
});

// One team's requests find their endpoints full and return to the queue. If each
// try were charged, that team would fall behind the others without being served.
t.test('a request that returns to the queue is not charged twice', async t => {
	const state = setUp({unlucky: 1, lucky: 1});
	offerRequests(state, 'unlucky', 100);
	offerRequests(state, 'lucky', 100);
	const served = {unlucky: 0, lucky: 0};
	const returned = new Set<string>();
	while (served.unlucky + served.lucky < 80) {
		const {requestId, teamId} = dequeueRequest(state, target, 0).request!;
		if (teamId === 'unlucky' && !returned.has(requestId)) {
			returned.add(requestId);
			returnToQueue(state, requestId);
		} else {
			served[teamId as 'unlucky' | 'lucky']++;
		}
	}

	t.ok(Math.abs(served.unlucky - served.lucky) <= 2, JSON.stringify(served));
});

/** Runs up to `slots` requests concurrently, each for `durationMs`, ticks as the entry does and returns the refusals. */
const serve = (state: AdmissionState, {slots, durationMs, fromMs, untilMs}: {slots: number; durationMs: number; fromMs: number; untilMs: number}): AdmissionRefusal[] => {
	const refusals: AdmissionRefusal[] = [];
	const running: Array<{requestId: string; finishesAtMs: number}> = [];
	for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
		while (running.length > 0 && running[0]!.finishesAtMs <= nowMs) {
			finishRequest(state, running.shift()!.requestId, {hasRun: true}, nowMs);
		}

		refusals.push(...tickAdmission(state, nowMs));
		while (running.length < slots) {
			const {request} = dequeueRequest(state, target, nowMs);
			if (request === null) {
				break;
			}

			running.push({requestId: request.requestId, finishesAtMs: nowMs + durationMs});
		}
	}

	return refusals;
};

// All of a burst's first requests take two seconds, so no request finishes in that
// time. If only finished requests counted, the service rate would be zero, and all
// waiting requests, also those of a small team, would be refused although they could be answered in time.
t.test('a period without finished requests does not count as one without service', async t => {
	for (const hasServiceHistory of [false, true]) {
		const state = setUp({large: 1, small: 1});
		if (hasServiceHistory) {
			offerRequest(state, createRequest('first', 'small', {cost: 2}), 0);
			t.same(serve(state, {
				slots: 1, durationMs: 100, fromMs: 0, untilMs: 400,
			}), []);
		}

		for (let index = 0; index < 100; index++) {
			offerRequest(state, createRequest(`large-${index}`, 'large', {deadlineAtMs: 31_000}), 500);
		}

		offerRequest(state, createRequest('marshal', 'small', {deadlineAtMs: 31_000}), 501);
		t.same(serve(state, {
			slots: 16, durationMs: 2000, fromMs: 600, untilMs: 20_000,
		}), [], hasServiceHistory ? 'after a short request' : 'without earlier requests');
		t.equal(waitingCount(state, target), 0, 'all requests were started');
	}
});

// The endpoints stop answering permanently. Waiting requests can no longer meet
// their deadlines and must be refused well before them.
t.test('the estimated rate of a target that finishes no more requests keeps falling', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 200; index++) {
		offerRequest(state, createRequest(`large-${index}`, 'large', {deadlineAtMs: 40_000}), 0);
	}

	t.same(serve(state, {
		slots: 16, durationMs: 1000, fromMs: 0, untilMs: 3000,
	}), []);
	const refusals: AdmissionRefusal[] = [];
	for (let nowMs = 3100; nowMs <= 20_000; nowMs += 100) {
		refusals.push(...tickAdmission(state, nowMs));
	}

	t.ok(refusals.length > 50, `${refusals.length} of 136 refused in the first half of the time to their deadlines`);
});

// The fixed overhead of a short request is spread over few tokens, which gives a high
// time per token. A long request must not be refused because of that estimate.
t.test('short requests do not inflate the expected duration of long ones', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 20; index++) {
		const nowMs = index * 1000;
		const isLong = index % 2 === 1;
		offerRequest(state, createRequest(`r${index}`, 'large', {cost: isLong ? 1000 : 1}), nowMs);
		dequeueRequest(state, target, nowMs);
		finishRequest(state, `r${index}`, {hasRun: true}, nowMs + 100 + (isLong ? 500 : 0));
	}

	offerRequest(state, createRequest('ahead', 'large'), 30_000);
	offerRequest(state, createRequest('long', 'large', {cost: 1000, deadlineAtMs: 40_000}), 30_000);
	t.same([dequeueRequest(state, target, 30_001), dequeueRequest(state, target, 30_001)].map(({refused}) => refused), [[], []]);
});

t.test('a team above its share of the limit is refused until its bucket has refilled', async t => {
	const state = createAdmission({fleetTokensPerSecond: 4000, burstSeconds: 1});
	setShares(state, {teams: new Map([['large', 3], ['small', 1]]), entries: 2}, 0);
	t.equal(offerRequests(state, 'small', 10), 5, '4,000 per second over 4 shares and 2 entries: a burst of 500, 5 requests of 100');
	t.match(offerRequest(state, createRequest('x', 'small'), 0), {reason: 'teamLimit', retryAfterMs: 200});
	t.equal(offerRequest(state, createRequest('y', 'small'), 200).type, 'queued');
	setShares(state, {teams: new Map([['large', 3], ['small', 1]]), entries: 1}, 200);
	t.match(offerRequest(state, createRequest('z', 'small'), 200), {reason: 'teamLimit', retryAfterMs: 100}, 'a new rate does not refill a spent bucket');
	cancelRequest(state, 'y');
	t.equal(offerRequest(state, createRequest('z', 'small'), 200).type, 'queued', 'a request that did not run is not charged');
});

// All endpoints fail. If each request were attempted three times, recovering hosts
// would get three times the load. Retries must stay a fraction of the first attempts.
t.test('retries stay a fraction of first attempts', async t => {
	const budget = createRetryBudget({share: 0.2, reservePerSecond: 0, nowMs: 0});
	let retries = 0;
	for (let index = 0; index < 1000; index++) {
		recordFirstAttempt(budget);
		retries += takeRetry(budget, index) ? 1 : 0;
		retries += takeRetry(budget, index) ? 1 : 0;
	}

	t.ok(retries >= 200 && retries <= 210, `${retries} retries`);
});

// Under any order of offers, cancellations, dequeues and returns, no request is lost
// or started twice. The service of two teams that always have waiting requests never differs
// by more than one request of each (the bound of start-time fair queueing).
t.test('queueing is fair and complete under any schedule', async t => {
	const seed = 20_261_202;
	t.comment(`seed ${seed}`);
	const event = fc.record({
		kind: fc.constantFrom('offer', 'offer', 'offer', 'take', 'take', 'cancel', 'return'), team: fc.integer({min: 0, max: 3}), cost: fc.integer({min: 1, max: 50}), pick: fc.nat(),
	});
	fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
		const state = setUp({
			t0: 1, t1: 2, t2: 1, t3: 5,
		});
		const waiting = new Set<string>();
		const taken = new Set<string>();
		for (const [index, {kind, team, cost, pick}] of events.entries()) {
			const id = `r${index}`;
			if (kind === 'offer') {
				offerRequest(state, createRequest(id, `t${team}`, {cost}), index);
				waiting.add(id);
			} else if (kind === 'take') {
				const {request} = dequeueRequest(state, target, index);
				if (request === null ? waiting.size > 0 : !waiting.delete(request.requestId)) {
					return false;
				}

				if (request !== null) {
					taken.add(request.requestId);
				}
			} else if (kind === 'cancel' && waiting.size > 0) {
				const gone = [...waiting][pick % waiting.size]!;
				cancelRequest(state, gone);
				waiting.delete(gone);
			} else if (kind === 'return' && taken.size > 0) {
				const back = [...taken][pick % taken.size]!;
				returnToQueue(state, back);
				taken.delete(back);
				waiting.add(back);
			}

			if (waitingCount(state, target) !== waiting.size) {
				return false;
			}
		}

		return true;
	}), {seed, numRuns: 300});
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 50}), {minLength: 200, maxLength: 200}), costs => {
		const state = setUp({heavy: 2, light: 1}, {maxQueuedPerTeam: 1000});
		const costOf = new Map<string, number>();
		for (const [index, cost] of costs.entries()) {
			const teamId = index % 2 === 0 ? 'heavy' : 'light';
			costOf.set(`${teamId}-${index}`, cost);
			offerRequest(state, createRequest(`${teamId}-${index}`, teamId, {cost}), 0);
		}

		const served = {heavy: 0, light: 0};
		const counts = {heavy: 0, light: 0};
		while (counts.heavy < 100 && counts.light < 100) {
			const id = dequeueRequest(state, target, 0).request!.requestId;
			const teamId = id.startsWith('heavy') ? 'heavy' : 'light';
			served[teamId] += costOf.get(id)!;
			counts[teamId]++;
			if (Math.abs((served.heavy / 2) - served.light) > 25 + 50) {
				return false;
			}
		}

		return true;
	}), {seed, numRuns: 100});
});
