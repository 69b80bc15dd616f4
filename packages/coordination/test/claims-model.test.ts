import fc from 'fast-check';
import t from 'tap';
import {
	applyClaim, concludeClaim, createLedger, hostId, idempotencyKey, moveClaim, requestId, serviceId, teamId, type ClaimPlace,
} from '@bitternpaddle/state';
import {
	admitAtDoor, createDoor, finishAtDoor, settleAtDoor, type DoorState,
} from '@bitternpaddle/coordination';

const seed = 20_261_202;
const doorCount = 2;
const entryCount = 3;

/** One entry that serves the same call as all others, a step at a time. */
type Entry = {
	id: string;
	attempt: number;
	step: 'claim' | 'send' | 'await' | 'settle' | 'move' | 'done';
	place: ClaimPlace | null;
	/** Held by another request: settle there first. */
	held: {requestId: string; place: ClaimPlace} | null;
};

type World = ReturnType<typeof createWorld>;

const createWorld = () => ({
	ledger: createLedger(),
	doors: Array.from({length: doorCount}, (_, index): DoorState => createDoor({capacity: 10, incarnation: index + 1})),
	entries: Array.from({length: entryCount}, (_, index): Entry => ({
		id: `r${index}`, attempt: 0, step: 'claim', place: null, held: null,
	})),
	/** Requests on their way; a delayed one arrives when the schedule says so. */
	underWay: [] as ClaimPlace[],
	runs: [] as string[],
	nextIncarnation: 100,
	sequence: 0,
});

const name = (id: string) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey('pitch-12'), requestId: requestId(id),
});

const doorOf = (world: World, {hostId: host}: ClaimPlace): DoorState => world.doors[Number(host.slice(1))]!;

const nextPlace = (world: World, entry: Entry): ClaimPlace => {
	entry.attempt++;
	const index = (entry.attempt + Number(entry.id.slice(1))) % doorCount;
	return {
		hostId: hostId(`d${index}`), address: '', incarnation: world.doors[index]!.incarnation, attemptId: `${entry.id}.${entry.attempt}`,
		issue: {sender: entry.id, sequence: world.sequence++},
	};
};

const concludeNotRun = (world: World, id: string, place: ClaimPlace): void => {
	concludeClaim(world.ledger, {
		type: 'concludeClaim', ...name(id), attemptId: place.attemptId, outcome: {type: 'notRun'},
	}, 1);
};

const advance = (world: World, entry: Entry): void => {
	switch (entry.step) {
		case 'claim': {
			const place = nextPlace(world, entry);
			const result = applyClaim(world.ledger, {
				type: 'claim', ...name(entry.id), bodyDigest: 'a', atMs: 0, place,
			});
			if (result.type === 'claimed') {
				entry.place = place;
				entry.step = 'send';
			} else if (result.type === 'claimHeld' && result.state.type === 'inProgress') {
				entry.held = {requestId: result.requestId, place: result.place!};
				entry.step = 'settle';
			} else {
				entry.step = 'done';
			}

			break;
		}

		case 'send': {
			world.underWay.push(entry.place!);
			entry.step = 'await';
			break;
		}

		// The connection is lost, always: the worst case.
		case 'await': {
			const result = settleAtDoor(doorOf(world, entry.place!), entry.place!);
			entry.step = result === 'notRun' ? 'move' : 'done';
			break;
		}

		case 'move': {
			const place = nextPlace(world, entry);
			const result = moveClaim(world.ledger, {type: 'moveClaim', ...name(entry.id), place}, 1);
			entry.place = place;
			entry.step = result.type === 'accepted' ? 'send' : 'claim';
			break;
		}

		case 'settle': {
			const {held} = entry;
			if (settleAtDoor(doorOf(world, held!.place), held!.place) === 'notRun') {
				concludeNotRun(world, held!.requestId, held!.place);
			}

			entry.step = 'claim';
			break;
		}

		case 'done': {
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

const actionArbitrary = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('advance' as const), index: fc.nat(entryCount - 1)})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('arrive' as const), index: fc.nat(5)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restartDoor' as const), index: fc.nat(doorCount - 1)})},
);

// A caller sends one booking through three entries. Each entry may stop for
// good at any step, requests arrive late or never, every connection is lost,
// and agents are restarted with all their records gone. Whatever the order, the
// booking runs at most once.
t.test(`a claimed call runs at most once under any schedule (seed ${seed})`, async t => {
	fc.assert(fc.property(fc.array(actionArbitrary, {minLength: 5, maxLength: 60}), actions => {
		const world = createWorld();
		for (const {type, index} of actions) {
			if (type === 'advance') {
				advance(world, world.entries[index]!);
			} else if (type === 'arrive') {
				arrive(world, index);
			} else {
				world.doors[index] = createDoor({capacity: 10, incarnation: world.nextIncarnation++});
			}
		}

		return world.runs.length <= 1;
	}), {seed, numRuns: 5000});
	t.pass('5000 schedules');
});
