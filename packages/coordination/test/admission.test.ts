import t from 'tap';
import fc from 'fast-check';
import {
	cancelRequest, createAdmission, createRetryBudget, finishRequest, noteFreshRequest, offerRequest, returnToQueue, setShares, takeRequest, takeRetry,
	tickAdmission, waitingFor, type AdmissionOptions, type AdmissionRefusal, type AdmissionRequest, type AdmissionState,
} from '@bitternpaddle/coordination';

const target = 'model/pitch-desk';

const setUp = (weights: Record<string, number>, options: AdmissionOptions = {}): AdmissionState => {
	const state = createAdmission(options);
	setShares(state, {teams: new Map(Object.entries(weights)), entries: 1}, 0);
	return state;
};

const ask = (requestId: string, teamId: string, more: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	requestId, teamId, target, cost: 100, priority: 0, deadlineAtMs: 1e9, ...more,
});

const offerMany = (state: AdmissionState, teamId: string, count: number, nowMs = 0): number => {
	let queued = 0;
	for (let index = 0; index < count; index++) {
		queued += offerRequest(state, ask(`${teamId}-${nowMs}-${index}`, teamId), nowMs).type === 'queued' ? 1 : 0;
	}

	return queued;
};

const takeIds = (state: AdmissionState, count: number, nowMs = 0): string[] => Array.from({length: count}, () => takeRequest(state, target, nowMs).request?.requestId ?? 'none');

/** Serves one request each 10 ms while many wait, so that the rate is known: 10,000 a second at cost 100. */
const learnRate = (state: AdmissionState, teamId: string, untilMs: number, stepMs = 10): void => {
	for (let nowMs = stepMs; nowMs <= untilMs; nowMs += stepMs) {
		const {request} = takeRequest(state, target, nowMs);
		finishRequest(state, request!.requestId, {hasRun: true}, nowMs);
		offerRequest(state, ask(`${teamId}-more-${nowMs}`, teamId), nowMs);
	}
};

// A small team's caller waits seconds while a large team bursts: the large
// team's 400 requests came first, and in a plain queue the small one is number
// 401. It must be served next but one.
t.test('a burst of a large team waits behind itself', async t => {
	const state = setUp({large: 1, small: 1});
	offerMany(state, 'large', 400);
	takeIds(state, 1);
	offerRequest(state, ask('marshal', 'small'), 5);
	t.ok(takeIds(state, 2, 6).includes('marshal'));
});

t.test('teams are served by their weights', async t => {
	const state = setUp({large: 3, small: 1});
	offerMany(state, 'large', 100);
	offerMany(state, 'small', 100);
	const taken = takeIds(state, 80);
	t.equal(taken.filter(id => id.startsWith('large')).length, 60);
});

// A large team sends more than the queue holds; the next small team is told
// "full" although it has sent nothing. What is free must shrink for those who
// hold most, so that the next team always finds room.
t.test('a flooded queue still has room for another team', async t => {
	const state = setUp({large: 1, small: 1}, {maxQueuedPerTarget: 100});
	t.equal(offerMany(state, 'large', 1000), 50);
	t.equal(offerMany(state, 'small', 20), 20);
	const refused = offerRequest(state, ask('one-more', 'large'), 0);
	t.match(refused, {type: 'refused', reason: 'teamQueueFull'});
});

// A caller with two seconds left is queued behind ten seconds of its team's own
// work, waits, and learns at its deadline that nothing ran. It must be told at
// once, and told when another try has a chance.
t.test('work that cannot meet its deadline is refused at once, with the time to come back', async t => {
	const state = setUp({large: 1, small: 1}, {maxQueuedPerTeam: 5000, maxQueuedPerTarget: 5000});
	offerMany(state, 'large', 1000);
	learnRate(state, 'large', 2000);
	const refused = offerRequest(state, ask('late', 'large', {deadlineAtMs: 4000}), 2000);
	t.match(refused, {type: 'refused', reason: 'deadline'});
	t.ok(refused.type === 'refused' && refused.retryAfterMs > 7000 && refused.retryAfterMs < 9000, JSON.stringify(refused));
	t.equal(offerRequest(state, ask('in time', 'large', {deadlineAtMs: 20_000}), 2000).type, 'queued');
	t.equal(offerRequest(state, ask('other team', 'small', {deadlineAtMs: 4000}), 2000).type, 'queued');
});

// A hall is lost while requests wait. At the old rate all would have been
// served in time; at the new one the last of them cannot. They must be refused
// as soon as the rate shows it, not one by one at their deadlines.
t.test('what waits is shed as soon as capacity is lost', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 400; index++) {
		offerRequest(state, ask(`r${index}`, 'large', {deadlineAtMs: 8000}), 0);
	}

	learnRate(state, 'large', 2000);
	t.equal(tickAdmission(state, 2000).length, 0);
	for (let nowMs = 2100; nowMs <= 4000; nowMs += 100) {
		const {request} = takeRequest(state, target, nowMs);
		finishRequest(state, request!.requestId, {hasRun: true}, nowMs);
	}

	const refused = tickAdmission(state, 4010);
	t.ok(refused.length > 100, `${refused.length} refused`);
	t.ok(refused.every(({reason}) => reason === 'deadline'));
	t.ok(waitingFor(state, target) > 0, 'what can still be served stays');
});

// The caller hangs up while its request waits. Started all the same, the work
// is done for nobody, and at overload that is most of the work.
t.test('a request whose caller has gone is never started', async t => {
	const state = setUp({small: 1});
	offerMany(state, 'small', 3);
	cancelRequest(state, 'small-0-1');
	t.equal(waitingFor(state, target), 2);
	t.same(takeIds(state, 3), ['small-0-0', 'small-0-2', 'none']);
});

// A team sends urgent requests without end; its own batch request never comes
// up. With its age counted, it goes before urgent ones that came much later.
t.test('priority goes first, but not for ever', async t => {
	const state = setUp({small: 1}, {priorityStepMs: 1000});
	offerRequest(state, ask('batch', 'small', {priority: 1}), 0);
	offerRequest(state, ask('urgent', 'small'), 500);
	offerRequest(state, ask('urgent later', 'small'), 1500);
	t.same(takeIds(state, 3), ['urgent', 'batch', 'urgent later']);
});

// One team's requests meet full endpoints and come back. Charged for each try,
// that team falls behind the others though it got nothing for it.
t.test('a request that comes back is not charged twice', async t => {
	const state = setUp({unlucky: 1, lucky: 1});
	offerMany(state, 'unlucky', 100);
	offerMany(state, 'lucky', 100);
	const served = {unlucky: 0, lucky: 0};
	const returned = new Set<string>();
	while (served.unlucky + served.lucky < 80) {
		const {requestId, teamId} = takeRequest(state, target, 0).request!;
		if (teamId === 'unlucky' && !returned.has(requestId)) {
			returned.add(requestId);
			returnToQueue(state, requestId);
		} else {
			served[teamId as 'unlucky' | 'lucky']++;
		}
	}

	t.ok(Math.abs(served.unlucky - served.lucky) <= 2, JSON.stringify(served));
});

/** Runs up to `places` requests at once, each for `lastsMs`, and ticks as the entry does; gives what was refused. */
const serve = (state: AdmissionState, {places, lastsMs, fromMs, untilMs}: {places: number; lastsMs: number; fromMs: number; untilMs: number}): AdmissionRefusal[] => {
	const refusals: AdmissionRefusal[] = [];
	const running: Array<{requestId: string; endsAtMs: number}> = [];
	for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
		while (running.length > 0 && running[0]!.endsAtMs <= nowMs) {
			finishRequest(state, running.shift()!.requestId, {hasRun: true}, nowMs);
		}

		refusals.push(...tickAdmission(state, nowMs));
		while (running.length < places) {
			const {request} = takeRequest(state, target, nowMs);
			if (request === null) {
				break;
			}

			running.push({requestId: request.requestId, endsAtMs: nowMs + lastsMs});
		}
	}

	return refusals;
};

// All of a burst's first requests take two seconds. For that long nothing ends,
// so to all who wait it looked as if nothing were served: they were refused,
// a small team's callers too, though all could have been answered in time.
t.test('a time without an end does not count as one without service', async t => {
	for (const hasServed of [false, true]) {
		const state = setUp({large: 1, small: 1});
		if (hasServed) {
			offerRequest(state, ask('first', 'small', {cost: 2}), 0);
			t.same(serve(state, {
				places: 1, lastsMs: 100, fromMs: 0, untilMs: 400,
			}), []);
		}

		for (let index = 0; index < 100; index++) {
			offerRequest(state, ask(`large-${index}`, 'large', {deadlineAtMs: 31_000}), 500);
		}

		offerRequest(state, ask('marshal', 'small', {deadlineAtMs: 31_000}), 501);
		t.same(serve(state, {
			places: 16, lastsMs: 2000, fromMs: 600, untilMs: 20_000,
		}), [], hasServed ? 'after a short request' : 'from the start');
		t.equal(waitingFor(state, target), 0, 'all were started');
	}
});

// The same, but then the endpoints stop answering for good. What waits can no
// longer be in time and must be told so, not at its deadline but before.
t.test('a target that ends nothing more is taken for slower and slower', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 200; index++) {
		offerRequest(state, ask(`large-${index}`, 'large', {deadlineAtMs: 40_000}), 0);
	}

	t.same(serve(state, {
		places: 16, lastsMs: 1000, fromMs: 0, untilMs: 3000,
	}), []);
	const refusals: AdmissionRefusal[] = [];
	for (let nowMs = 3100; nowMs <= 20_000; nowMs += 100) {
		refusals.push(...tickAdmission(state, nowMs));
	}

	t.ok(refusals.length > 50, `${refusals.length} of 136 refused in the first half of their time`);
});

// One short request teaches a high price for each token, since its fixed time
// is shared by few. A long request must not be refused for that.
t.test('a short request does not make long ones look slow', async t => {
	const state = setUp({large: 1});
	for (let index = 0; index < 20; index++) {
		const nowMs = index * 1000;
		const isLong = index % 2 === 1;
		offerRequest(state, ask(`r${index}`, 'large', {cost: isLong ? 1000 : 1}), nowMs);
		takeRequest(state, target, nowMs);
		finishRequest(state, `r${index}`, {hasRun: true}, nowMs + 100 + (isLong ? 500 : 0));
	}

	offerRequest(state, ask('ahead', 'large'), 30_000);
	offerRequest(state, ask('long', 'large', {cost: 1000, deadlineAtMs: 40_000}), 30_000);
	t.same([takeRequest(state, target, 30_001), takeRequest(state, target, 30_001)].map(({refused}) => refused), [[], []]);
});

t.test('a team above its share of the limit is refused until its bucket has filled', async t => {
	const state = createAdmission({fleetTokensPerSecond: 4000, burstSeconds: 1});
	setShares(state, {teams: new Map([['large', 3], ['small', 1]]), entries: 2}, 0);
	t.equal(offerMany(state, 'small', 10), 5, '4,000 a second over 4 shares and 2 entries: 500 saved up, 5 requests of 100');
	t.match(offerRequest(state, ask('x', 'small'), 0), {reason: 'teamLimit', retryAfterMs: 200});
	t.equal(offerRequest(state, ask('y', 'small'), 200).type, 'queued');
	setShares(state, {teams: new Map([['large', 3], ['small', 1]]), entries: 1}, 200);
	t.match(offerRequest(state, ask('z', 'small'), 200), {reason: 'teamLimit', retryAfterMs: 100}, 'a new rate does not fill a spent bucket');
	cancelRequest(state, 'y');
	t.equal(offerRequest(state, ask('z', 'small'), 200).type, 'queued', 'what did not run is not charged');
});

// All endpoints fail. Each request is tried three times, so the hosts that
// come back meet three times the load. Retries must stay a share of the fresh.
t.test('retries stay a share of fresh requests', async t => {
	const budget = createRetryBudget({share: 0.2, reservePerSecond: 0, nowMs: 0});
	let retries = 0;
	for (let index = 0; index < 1000; index++) {
		noteFreshRequest(budget);
		retries += takeRetry(budget, index) ? 1 : 0;
		retries += takeRetry(budget, index) ? 1 : 0;
	}

	t.ok(retries >= 200 && retries <= 210, `${retries} retries`);
});

// Any order of offers, cancels, takes and returns: nothing is lost or started
// twice, and two teams that both wait all the time never drift apart by more
// than one request of each (the bound of start-time fair queueing).
t.test('fair and complete under any schedule', async t => {
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
				offerRequest(state, ask(id, `t${team}`, {cost}), index);
				waiting.add(id);
			} else if (kind === 'take') {
				const {request} = takeRequest(state, target, index);
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

			if (waitingFor(state, target) !== waiting.size) {
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
			offerRequest(state, ask(`${teamId}-${index}`, teamId, {cost}), 0);
		}

		const served = {heavy: 0, light: 0};
		const counts = {heavy: 0, light: 0};
		while (counts.heavy < 100 && counts.light < 100) {
			const id = takeRequest(state, target, 0).request!.requestId;
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
