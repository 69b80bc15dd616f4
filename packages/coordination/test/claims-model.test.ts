import fc from 'fast-check';
import t from 'tap';
import {
	applyClaim, concludeClaim, createLedger, hostId, idempotencyKey, moveClaim, requestId, serviceId, teamId, type ClaimPlace,
} from '@bitternpaddle/state';
import {
	admitAtGate, createRequestGate, finishAtGate, resolveAtGate, type RequestGate,
} from '@bitternpaddle/coordination';

const seed = 20_261_202;
const gateCount = 2;
const entryCount = 3;

/** An entry that handles the same call as all others, one step at a time. */
type Entry = {
	id: string;
	attempt: number;
	step: 'claim' | 'send' | 'await' | 'settle' | 'move' | 'done';
	place: ClaimPlace | null;
	/** The claim held by another request, which must be resolved first. */
	held: {requestId: string; place: ClaimPlace} | null;
};

type World = ReturnType<typeof createWorld>;

const createWorld = () => ({
	ledger: createLedger(),
	gates: Array.from({length: gateCount}, (_, index): RequestGate => createRequestGate({capacity: 10, incarnation: index + 1})),
	entries: Array.from({length: entryCount}, (_, index): Entry => ({
		id: `r${index}`, attempt: 0, step: 'claim', place: null, held: null,
	})),
	/** Requests in transit; each arrives when the schedule delivers it. */
	inTransit: [] as ClaimPlace[],
	runs: [] as string[],
	nextIncarnation: 100,
	sequence: 0,
});

const claimKeyOf = (id: string) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey('pitch-12'), requestId: requestId(id),
});

const gateOf = (world: World, {hostId: host}: ClaimPlace): RequestGate => world.gates[Number(host.slice(1))]!;

const nextPlace = (world: World, entry: Entry): ClaimPlace => {
	entry.attempt++;
	const index = (entry.attempt + Number(entry.id.slice(1))) % gateCount;
	return {
		hostId: hostId(`d${index}`), address: '', incarnation: world.gates[index]!.incarnation, attemptId: `${entry.id}.${entry.attempt}`,
		issue: {sender: entry.id, sequence: world.sequence++},
	};
};

const concludeNotRun = (world: World, id: string, place: ClaimPlace): void => {
	concludeClaim(world.ledger, {
		type: 'concludeClaim', ...claimKeyOf(id), attemptId: place.attemptId, outcome: {type: 'notRun'},
	}, 1);
};

const advance = (world: World, entry: Entry): void => {
	switch (entry.step) {
		case 'claim': {
			const place = nextPlace(world, entry);
			const result = applyClaim(world.ledger, {
				type: 'claim', ...claimKeyOf(entry.id), bodyDigest: 'a', atMs: 0, place,
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
			world.inTransit.push(entry.place!);
			entry.step = 'await';
			break;
		}

		// The connection is always lost, which is the worst case.
		case 'await': {
			const result = resolveAtGate(gateOf(world, entry.place!), entry.place!);
			entry.step = result === 'notRun' ? 'move' : 'done';
			break;
		}

		case 'move': {
			const place = nextPlace(world, entry);
			const result = moveClaim(world.ledger, {type: 'moveClaim', ...claimKeyOf(entry.id), place}, 1);
			entry.place = place;
			entry.step = result.type === 'accepted' ? 'send' : 'claim';
			break;
		}

		case 'settle': {
			const {held} = entry;
			if (resolveAtGate(gateOf(world, held!.place), held!.place) === 'notRun') {
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

const actionArbitrary = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('advance' as const), index: fc.nat(entryCount - 1)})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('arrive' as const), index: fc.nat(5)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restartDoor' as const), index: fc.nat(gateCount - 1)})},
);

// A caller sends one booking through three entries. Each entry may stop permanently
// at any step, requests arrive late or never, every connection is lost, and agents
// restart without their records. Under any order the booking runs at most once.
t.test(`a claimed call runs at most once under any schedule (seed ${seed})`, async t => {
	fc.assert(fc.property(fc.array(actionArbitrary, {minLength: 5, maxLength: 60}), actions => {
		const world = createWorld();
		for (const {type, index} of actions) {
			if (type === 'advance') {
				advance(world, world.entries[index]!);
			} else if (type === 'arrive') {
				deliver(world, index);
			} else {
				world.gates[index] = createRequestGate({capacity: 10, incarnation: world.nextIncarnation++});
			}
		}

		return world.runs.length <= 1;
	}), {seed, numRuns: 5000});
	t.pass('5000 schedules');
});
