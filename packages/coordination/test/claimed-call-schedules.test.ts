import fc from 'fast-check';
import t from 'tap';
import {
	applyClaim, concludeClaim, createLedger, hostId, idempotencyKey, mayHaveRun, moveClaim, notRun, requestId, serviceId, teamId,
	type ClaimPlace, type CommandResult,
} from '@bitternpaddle/state';
import {
	admitAtGate, beginRetry, createClaimedCall, createRequestGate, createRetry, createRetryBudget, finishAtGate, firstClaimedCallEffect, resolveAtGate,
	stepClaimedCall, stepRetry, type AttemptedEnd, type ClaimAnswer, type ClaimedCallEffect, type ClaimedCallEvent, type ClaimedCallState, type RequestGate,
	type RetryEffect, type RetryEvent, type RetryState,
} from '@bitternpaddle/coordination';

const answer: ClaimAnswer = {
	status: 200, contentType: 'application/json', body: 'e30=', sizeBytes: 2,
};
const gateCount = 2;
const entryCount = 3;

/** An entry that handles the same call as all others, one effect per step. */
type Entry = {
	id: string;
	call: ClaimedCallState;
	effect: ClaimedCallEffect;
	retry: RetryState | null;
	retryEffect: RetryEffect | null;
	place: ClaimPlace | null;
	/** Event produced by the previous effect and not handled yet. */
	pending: ClaimedCallEvent | null;
	isSent: boolean;
	callerRetries: number;
};

type World = ReturnType<typeof createWorld>;

const createEntry = (index: number, callerRetries: number): Entry => {
	const id = `r${index}-${callerRetries}`;
	return {
		id, callerRetries, call: createClaimedCall({requestId: id}), effect: firstClaimedCallEffect, retry: null, retryEffect: null, place: null, pending: null, isSent: false,
	};
};

const createWorld = () => ({
	ledger: createLedger(),
	budget: createRetryBudget({reservePerSecond: 0, nowMs: 0}),
	gates: Array.from({length: gateCount}, (_, index): RequestGate => createRequestGate({capacity: 10, incarnation: index + 1})),
	entries: Array.from({length: entryCount}, (_, index) => createEntry(index, 0)),
	/** Requests in transit; each arrives when the schedule delivers it. */
	inTransit: [] as ClaimPlace[],
	runs: [] as string[],
	/** Requests that were reported to their callers as not run. */
	reportedNotRun: [] as string[],
	nextIncarnation: 100,
	sequence: 0,
});

const claimKeyOf = (id: string) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey('pitch-12'), requestId: requestId(id),
});

const gateOf = (world: World, {hostId: host}: ClaimPlace): RequestGate => world.gates[Number(host.slice(1))]!;

/** Control's response may be lost although the change was written. */
const proposalEvent = (result: CommandResult, isLost: boolean): ClaimedCallEvent => isLost ? {type: 'proposalFailed', reason: 'no answer'} : {type: 'proposed', result};

const propose = (world: World, {id}: Entry, {type, place}: Extract<ClaimedCallEffect, {type: 'claim' | 'move'}>): CommandResult => type === 'claim'
	? applyClaim(world.ledger, {
		type: 'claim', ...claimKeyOf(id), bodyDigest: 'a', atMs: 0, place,
	})
	: moveClaim(world.ledger, {type: 'moveClaim', ...claimKeyOf(id), place}, 1);

const choose = (world: World, tried: ReadonlySet<string>, pick: number): RetryEvent => {
	const untried = world.gates.map((_, index) => `d${index}`).filter(name => !tried.has(name));
	return untried.length === 0 ? {type: 'noEndpoint'} : {type: 'chosen', hostId: untried[pick % untried.length]!};
};

const nextPlace = (world: World, {id, retry}: Entry, number: number): ClaimPlace => {
	const host = retry!.hostId!;
	return {
		hostId: hostId(host), address: '', incarnation: world.gates[Number(host.slice(1))]!.incarnation, attemptId: `${id}.${number}`,
		issue: {sender: id, sequence: world.sequence++},
	};
};

/** The connection is always lost, so the attempt is resolved at its request gate. A full endpoint has refused before this. */
const resolveAttempt = (world: World, entry: Entry, pick: number): RetryEvent => {
	const place = entry.place!;
	const result = resolveAtGate(gateOf(world, place), place);
	if (result === 'notRun') {
		return {type: 'unanswered', cause: 'lost', verdict: notRun('lost')};
	}

	return result === 'ran' && pick % 2 === 0 ? {type: 'answered'} : {type: 'unanswered', cause: 'lost', verdict: mayHaveRun('lost')};
};

const stepAttempts = (world: World, entry: Entry, pick: number): void => {
	const effect = entry.retryEffect!;
	const handle = (event: RetryEvent): void => {
		entry.retryEffect = stepRetry(entry.retry!, event, 0);
	};

	switch (effect.type) {
		case 'choose':
		case 'requeue': {
			handle(choose(world, effect.tried, pick));

			break;
		}

		case 'claim': {
			if (entry.pending === null) {
				entry.place = nextPlace(world, entry, effect.number);
				const proposal = stepClaimedCall(entry.call, {type: 'placed', place: entry.place}) as Extract<ClaimedCallEffect, {type: 'claim' | 'move'}>;
				entry.pending = proposalEvent(propose(world, entry, proposal), pick % 8 === 0);
				return;
			}

			const {type} = stepClaimedCall(entry.call, entry.pending);
			entry.pending = null;
			handle({type: type === 'dispatch' ? 'claimed' : 'claimRefused'});

			break;
		}

		case 'dispatch': {
			if (!entry.isSent && pick % 5 === 0) {
				handle({type: 'unanswered', cause: 'doorFull', verdict: notRun('full')});
			} else if (entry.isSent) {
				entry.isSent = false;
				handle(resolveAttempt(world, entry, pick));
			} else {
				entry.isSent = true;
				world.inTransit.push(entry.place!);
			}

			break;
		}
		// No default

		case 'finish': {
			break;
		}
	}
};

const attemptsEnd = ({retryEffect, place}: Entry): AttemptedEnd => {
	const {end} = retryEffect as Extract<RetryEffect, {type: 'finish'}>;
	if (end.type === 'answered') {
		return {type: 'answered', place: place!, answer};
	}

	return end.type === 'verdict' ? {...end, place} : end;
};

const advance = (world: World, index: number, pick: number): void => {
	const entry = world.entries[index]!;
	const {effect} = entry;
	const handle = (event: ClaimedCallEvent): void => {
		entry.effect = stepClaimedCall(entry.call, event);
	};

	switch (effect.type) {
		case 'attempt': {
			if (entry.retry === null) {
				entry.retry = createRetry({budget: world.budget, deadlineAtMs: 1});
				entry.retryEffect = beginRetry(entry.retry);
				entry.place = null;
			} else if (entry.retryEffect!.type === 'finish') {
				entry.retry = null;
				handle({type: 'attempted', end: attemptsEnd(entry)});
			} else {
				stepAttempts(world, entry, pick);
			}

			break;
		}

		case 'claim': {
			handle(proposalEvent(propose(world, entry, effect), pick % 8 === 0));

			break;
		}

		case 'settle': {
			const result = effect.place === null ? 'notRun' : resolveAtGate(gateOf(world, effect.place), effect.place);
			const found = result === 'unknown' ? {type: 'lost', isForGood: true} as const : (result === 'ran' ? {type: 'ran', answer} as const : {type: result});
			handle({type: 'found', found});

			break;
		}

		case 'conclude': {
			if (pick % 8 !== 0) {
				concludeClaim(world.ledger, {
					type: 'concludeClaim', ...claimKeyOf(effect.requestId), attemptId: effect.attemptId, outcome: effect.outcome,
				}, 1);
			}

			handle({type: 'concluded'});

			break;
		}

		case 'finish': {
			if (effect.reply.type === 'verdict' && effect.reply.verdict.type === 'notRun') {
				world.reportedNotRun.push(entry.id);
			}

			// The caller retries the request.
			world.entries[index] = createEntry(index, entry.callerRetries + 1);

			break;
		}
		// No default

		// These effects occur only within the steps of an attempt.
		case 'move':
		case 'dispatch':
		case 'stop': {
			break;
		}
	}
};

const deliver = (world: World, position: number): void => {
	if (world.inTransit.length === 0) {
		return;
	}

	const [place] = world.inTransit.splice(position % world.inTransit.length, 1);
	const gate = gateOf(world, place!);
	if (admitAtGate(gate, place!).type === 'start') {
		world.runs.push(place!.attemptId);
		finishAtGate(gate, place!.attemptId, 'ran');
	}
};

const action = fc.oneof(
	{weight: 12, arbitrary: fc.record({type: fc.constant('advance' as const), index: fc.nat(entryCount - 1), pick: fc.nat(39)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('arrive' as const), index: fc.nat(5), pick: fc.constant(0)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restartDoor' as const), index: fc.nat(gateCount - 1), pick: fc.constant(0)})},
);

// A caller repeatedly sends one booking through three entries. Each entry may stop
// permanently at any step, control's responses are lost, endpoints are full, requests
// arrive late or never, connections are lost, and agents restart without their records.
// Under any order the booking runs at most once, and a request that was reported as
// "not run" has not run.
t.test('a call runs at most once under any schedule', async t => {
	const seed = 20_261_203;
	t.comment(`seed ${seed}`);
	const totals = {runs: 0, notRun: 0, callerRetries: 0};
	fc.assert(fc.property(fc.array(action, {minLength: 40, maxLength: 120}), actions => {
		const world = createWorld();
		for (const {type, index, pick} of actions) {
			if (type === 'advance') {
				advance(world, index, pick);
			} else if (type === 'arrive') {
				deliver(world, index);
			} else {
				world.gates[index] = createRequestGate({capacity: 10, incarnation: world.nextIncarnation++});
			}
		}

		while (world.inTransit.length > 0) {
			deliver(world, 0);
		}

		totals.runs += world.runs.length;
		totals.notRun += world.reportedNotRun.length;
		totals.callerRetries += world.entries.reduce((sum, {callerRetries}) => sum + callerRetries, 0);
		return world.runs.length <= 1 && world.reportedNotRun.every(id => !world.runs.some(run => run.startsWith(`${id}.`)));
	}), {seed, numRuns: 3000});
	t.ok(Object.values(totals).every(count => count > 500), JSON.stringify(totals));
});
