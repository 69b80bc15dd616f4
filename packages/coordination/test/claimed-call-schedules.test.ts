import fc from 'fast-check';
import t from 'tap';
import {
	applyClaim, concludeClaim, createLedger, hostId, idempotencyKey, mayHaveRun, moveClaim, notRun, requestId, serviceId, teamId,
	type ClaimPlace, type CommandResult,
} from '@bitternpaddle/state';
import {
	admitAtDoor, beginRetry, createClaimedCall, createDoor, createRetry, createRetryBudget, finishAtDoor, firstClaimedCallEffect, settleAtDoor,
	stepClaimedCall, stepRetry, type AttemptedEnd, type ClaimAnswer, type ClaimedCallEffect, type ClaimedCallEvent, type ClaimedCallState, type DoorState,
	type RetryEffect, type RetryEvent, type RetryState,
} from '@bitternpaddle/coordination';

const answer: ClaimAnswer = {
	status: 200, contentType: 'application/json', body: 'e30=', sizeBytes: 2,
};
const doorCount = 2;
const entryCount = 3;

/** One entry at work on the same call as all others, an effect at a time. */
type Entry = {
	id: string;
	call: ClaimedCallState;
	effect: ClaimedCallEffect;
	retry: RetryState | null;
	retryEffect: RetryEffect | null;
	place: ClaimPlace | null;
	/** Brought by the effect before, and not taken yet. */
	pending: ClaimedCallEvent | null;
	isSent: boolean;
	resends: number;
};

type World = ReturnType<typeof createWorld>;

const createEntry = (index: number, resends: number): Entry => {
	const id = `r${index}-${resends}`;
	return {
		id, resends, call: createClaimedCall({requestId: id}), effect: firstClaimedCallEffect, retry: null, retryEffect: null, place: null, pending: null, isSent: false,
	};
};

const createWorld = () => ({
	ledger: createLedger(),
	budget: createRetryBudget({reservePerSecond: 0, nowMs: 0}),
	doors: Array.from({length: doorCount}, (_, index): DoorState => createDoor({capacity: 10, incarnation: index + 1})),
	entries: Array.from({length: entryCount}, (_, index) => createEntry(index, 0)),
	/** Requests on their way; a delayed one arrives when the schedule says so. */
	underWay: [] as ClaimPlace[],
	runs: [] as string[],
	/** Requests whose callers were told that they did not run. */
	toldNotRun: [] as string[],
	nextIncarnation: 100,
	sequence: 0,
});

const nameOf = (id: string) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey('pitch-12'), requestId: requestId(id),
});

const doorOf = (world: World, {hostId: host}: ClaimPlace): DoorState => world.doors[Number(host.slice(1))]!;

/** The answer of control may be lost though the change is written. */
const proposedBy = (result: CommandResult, isLost: boolean): ClaimedCallEvent => isLost ? {type: 'proposalFailed', reason: 'no answer'} : {type: 'proposed', result};

const propose = (world: World, {id}: Entry, {type, place}: Extract<ClaimedCallEffect, {type: 'claim' | 'move'}>): CommandResult => type === 'claim'
	? applyClaim(world.ledger, {
		type: 'claim', ...nameOf(id), bodyDigest: 'a', atMs: 0, place,
	})
	: moveClaim(world.ledger, {type: 'moveClaim', ...nameOf(id), place}, 1);

const choose = (world: World, tried: ReadonlySet<string>, pick: number): RetryEvent => {
	const free = world.doors.map((_, index) => `d${index}`).filter(name => !tried.has(name));
	return free.length === 0 ? {type: 'noEndpoint'} : {type: 'chosen', hostId: free[pick % free.length]!};
};

const nextPlace = (world: World, {id, retry}: Entry, number: number): ClaimPlace => {
	const host = retry!.hostId!;
	return {
		hostId: hostId(host), address: '', incarnation: world.doors[Number(host.slice(1))]!.incarnation, attemptId: `${id}.${number}`,
		issue: {sender: id, sequence: world.sequence++},
	};
};

/** The connection is lost, always, and the door asked; at times it is full and refuses before. */
const awaitAnswer = (world: World, entry: Entry, pick: number): RetryEvent => {
	const place = entry.place!;
	const result = settleAtDoor(doorOf(world, place), place);
	if (result === 'notRun') {
		return {type: 'unanswered', cause: 'lost', verdict: notRun('lost')};
	}

	return result === 'ran' && pick % 2 === 0 ? {type: 'answered'} : {type: 'unanswered', cause: 'lost', verdict: mayHaveRun('lost')};
};

const stepAttempts = (world: World, entry: Entry, pick: number): void => {
	const effect = entry.retryEffect!;
	const give = (event: RetryEvent): void => {
		entry.retryEffect = stepRetry(entry.retry!, event, 0);
	};

	switch (effect.type) {
		case 'choose':
		case 'requeue': {
			give(choose(world, effect.tried, pick));

			break;
		}

		case 'claim': {
			if (entry.pending === null) {
				entry.place = nextPlace(world, entry, effect.number);
				const asked = stepClaimedCall(entry.call, {type: 'placed', place: entry.place}) as Extract<ClaimedCallEffect, {type: 'claim' | 'move'}>;
				entry.pending = proposedBy(propose(world, entry, asked), pick % 8 === 0);
				return;
			}

			const {type} = stepClaimedCall(entry.call, entry.pending);
			entry.pending = null;
			give({type: type === 'dispatch' ? 'claimed' : 'claimRefused'});

			break;
		}

		case 'dispatch': {
			if (!entry.isSent && pick % 5 === 0) {
				give({type: 'unanswered', cause: 'doorFull', verdict: notRun('full')});
			} else if (entry.isSent) {
				entry.isSent = false;
				give(awaitAnswer(world, entry, pick));
			} else {
				entry.isSent = true;
				world.underWay.push(entry.place!);
			}

			break;
		}
		// No default

		case 'finish': {
			break;
		}
	}
};

const endOfAttempts = ({retryEffect, place}: Entry): AttemptedEnd => {
	const {end} = retryEffect as Extract<RetryEffect, {type: 'finish'}>;
	if (end.type === 'answered') {
		return {type: 'answered', place: place!, answer};
	}

	return end.type === 'verdict' ? {...end, place} : end;
};

const advance = (world: World, index: number, pick: number): void => {
	const entry = world.entries[index]!;
	const {effect} = entry;
	const give = (event: ClaimedCallEvent): void => {
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
				give({type: 'attempted', end: endOfAttempts(entry)});
			} else {
				stepAttempts(world, entry, pick);
			}

			break;
		}

		case 'claim': {
			give(proposedBy(propose(world, entry, effect), pick % 8 === 0));

			break;
		}

		case 'settle': {
			const result = effect.place === null ? 'notRun' : settleAtDoor(doorOf(world, effect.place), effect.place);
			const found = result === 'unknown' ? {type: 'lost', isForGood: true} as const : (result === 'ran' ? {type: 'ran', answer} as const : {type: result});
			give({type: 'found', found});

			break;
		}

		case 'conclude': {
			if (pick % 8 !== 0) {
				concludeClaim(world.ledger, {
					type: 'concludeClaim', ...nameOf(effect.requestId), attemptId: effect.attemptId, outcome: effect.outcome,
				}, 1);
			}

			give({type: 'concluded'});

			break;
		}

		case 'finish': {
			if (effect.reply.type === 'verdict' && effect.reply.verdict.type === 'notRun') {
				world.toldNotRun.push(entry.id);
			}

			// The caller sends it again.
			world.entries[index] = createEntry(index, entry.resends + 1);

			break;
		}
		// No default

		// These come between an attempt's own steps.
		case 'move':
		case 'dispatch':
		case 'stop': {
			break;
		}
	}
};

const arrive = (world: World, position: number): void => {
	if (world.underWay.length === 0) {
		return;
	}

	const [place] = world.underWay.splice(position % world.underWay.length, 1);
	const door = doorOf(world, place!);
	if (admitAtDoor(door, place!).type === 'start') {
		world.runs.push(place!.attemptId);
		finishAtDoor(door, place!.attemptId, 'ran');
	}
};

const action = fc.oneof(
	{weight: 12, arbitrary: fc.record({type: fc.constant('advance' as const), index: fc.nat(entryCount - 1), pick: fc.nat(39)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('arrive' as const), index: fc.nat(5), pick: fc.constant(0)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restartDoor' as const), index: fc.nat(doorCount - 1), pick: fc.constant(0)})},
);

// A caller sends one booking again and again through three entries. Each entry
// may stop for good at any step, control's answers are lost, doors are full,
// requests arrive late or never, connections are lost, and agents are restarted
// with all their records gone. Whatever the order, the booking runs at most
// once, and what was told "not run" has not run.
t.test('runs at most once under any schedule', async t => {
	const seed = 20_261_203;
	t.comment(`seed ${seed}`);
	const seen = {runs: 0, notRun: 0, resends: 0};
	fc.assert(fc.property(fc.array(action, {minLength: 40, maxLength: 120}), actions => {
		const world = createWorld();
		for (const {type, index, pick} of actions) {
			if (type === 'advance') {
				advance(world, index, pick);
			} else if (type === 'arrive') {
				arrive(world, index);
			} else {
				world.doors[index] = createDoor({capacity: 10, incarnation: world.nextIncarnation++});
			}
		}

		while (world.underWay.length > 0) {
			arrive(world, 0);
		}

		seen.runs += world.runs.length;
		seen.notRun += world.toldNotRun.length;
		seen.resends += world.entries.reduce((sum, {resends}) => sum + resends, 0);
		return world.runs.length <= 1 && world.toldNotRun.every(id => !world.runs.some(run => run.startsWith(`${id}.`)));
	}), {seed, numRuns: 3000});
	t.ok(Object.values(seen).every(count => count > 500), JSON.stringify(seen));
});
