import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {
	applyCommand, canonicalJson, canonicalJsonInSteps, commandSchema, createCatalog, createLedger, copyState, type Command, type CommandResult, type ReplicatedState,
} from '@bitternpaddle/state';

const seed = Number(process.env.BITTERNPADDLE_SEED ?? 20_261_202);
const historyLength = 10_000;

const createState = (): ReplicatedState => ({catalog: createCatalog(), ledger: createLedger()});

const oneOf = (prefix: string, count: number) => fc.nat(count - 1).map(number => `${prefix}${number}`);
const model = oneOf('model-', 8);
const version = fc.tuple(model, fc.nat(2)).map(([name, number]) => `${name}:v${number}`);
const fleet = oneOf('fleet-', 6);
const adapter = oneOf('adapter-', 3);
const host = oneOf('h', 24);
const zone = oneOf('zone-', 3);
const team = oneOf('team-', 4);
const manifest = fc.nat(3).map(number => `sha256:${String(number).repeat(64)}`);
const announcement = fc.record({
	hostId: host, zoneId: zone, regionId: fc.constant('puget'), serviceId: fc.constant('bp-writers'), provider: fc.constantFrom('old', 'new'),
	address: fc.constant('127.0.0.1:1'), capacity: fc.integer({min: 1, max: 8}), incarnation: fc.nat(6), kind: fc.constant('engine'),
});

const change = fc.oneof(
	fc.record({type: fc.constant('createModel'), modelId: model}),
	fc.record({type: fc.constant('createVersion'), versionId: version, manifestId: manifest}),
	fc.record({
		type: fc.constant('createFleet'), fleetId: fleet, provider: fc.constantFrom('old', 'new'), versionId: version, replicas: fc.nat(8),
		zoneIds: fc.uniqueArray(zone, {maxLength: 2}),
	}),
	fc.record({type: fc.constant('load'), versionId: version, fleetId: fleet}),
	fc.record({type: fc.constantFrom('withdrawVersion', 'retireVersion'), versionId: version}),
	fc.record({
		type: fc.constant('createAdapter'), versionId: version, adapterId: adapter, manifestId: manifest,
	}),
	fc.record({
		type: fc.constantFrom('loadAdapter', 'unloadAdapter'), versionId: version, adapterId: adapter, fleetId: fleet,
	}),
	fc.record({type: fc.constantFrom('withdrawAdapter', 'retireAdapter'), versionId: version, adapterId: adapter}),
	fc.record({type: fc.constant('retireFleet'), fleetId: fleet}),
	fc.record({type: fc.constant('setReplicas'), fleetId: fleet, replicas: fc.nat(8)}),
	fc.record({
		type: fc.constant('startRollout'), modelId: model, fromFleetId: fleet, toFleetId: fleet, percent: fc.constantFrom(50, 100),
		stepPercent: fc.constantFrom(10, 50), holdMs: fc.constant(1000), maxErrorPercent: fc.constant(5),
	}),
	fc.record({type: fc.constant('advanceRollout'), modelId: model, step: fc.nat(3)}),
	fc.record({type: fc.constantFrom('stopRollout', 'resumeRollout', 'rollBack'), modelId: model}),
	fc.record({
		type: fc.constant('moveTraffic'), modelId: model, percent: fc.constantFrom(0, 20, 100), fromFleetId: fleet, toFleetId: fleet,
	}),
	fc.record({type: fc.constantFrom('drainHost', 'undrainHost', 'stopHost'), hostId: host}),
	fc.record({type: fc.constant('hostJoined'), announcement}),
	fc.record({type: fc.constant('hostLeft'), hostId: host, incarnation: fc.nat(6)}),
	fc.record({
		type: fc.constant('replicasChanged'), readiness: fc.array(fc.record({
			hostId: host, incarnation: fc.nat(6), versionId: fc.option(version), adapterIds: fc.uniqueArray(adapter, {maxLength: 2}),
		}), {maxLength: 4}),
	}),
	fc.record({
		type: fc.constant('createTeam'), teamId: team, keyDigest: fc.constant('d'), share: fc.integer({min: 1, max: 5}),
	}),
	fc.record({
		type: fc.constant('claim'), teamId: team, serviceId: fc.constant('ledger'), key: oneOf('key-', 20), requestId: oneOf('r', 30), bodyDigest: oneOf('b', 2), atMs: fc.nat(100),
		place: fc.constant(null),
	}),
	fc.record({
		type: fc.constant('concludeClaim'), teamId: team, serviceId: fc.constant('ledger'), key: oneOf('key-', 20), requestId: oneOf('r', 30),
		attemptId: fc.constant(null), outcome: fc.oneof(
			fc.record({
				type: fc.constant('ran'), status: fc.constant(200), contentType: fc.constant('text/plain'), body: fc.constant('booked'),
			}),
			fc.record({type: fc.constantFrom('notRun', 'mayHaveRun')}),
		),
	}),
);

/** Some commands have an id, and some of these reuse the id of an earlier command. */
const command = fc.record({
	commandId: fc.oneof({weight: 7, arbitrary: fc.constant(null)}, {weight: 1, arbitrary: oneOf('c', 200)}),
	ifRevision: fc.oneof({weight: 15, arbitrary: fc.constant(null)}, {weight: 1, arbitrary: fc.nat(500)}),
	change,
});

const history = (): Command[] => fc.sample(command, {seed, numRuns: historyLength}).map(sample => commandSchema.parse(sample));

const restart = (state: ReplicatedState): ReplicatedState => JSON.parse(canonicalJson(state)) as ReplicatedState;

// One control host restarts from its snapshot after each of 10,000 changes, including
// retries and refusals; another never restarts. Both must return the same results and end
// in identical bytes. If results depended on the order of keys, or on anything that is only
// in memory, control hosts would diverge after a restart.
t.test(`a restart after every one of ${historyLength} changes, seed ${seed}`, {timeout: 120_000}, async t => {
	const uninterrupted = createState();
	let restarting = createState();
	const counts = {first: 0, refused: 0};
	for (const [position, next] of history().entries()) {
		const expected = applyCommand(uninterrupted, next, position + 1);
		restarting = restart(restarting);
		const result = applyCommand(restarting, next, position + 1);
		counts.first += expected.type === 'accepted' ? 1 : 0;
		counts.refused += expected.type === 'refused' ? 1 : 0;
		if (canonicalJson(result) !== canonicalJson(expected) || restarting.catalog.digest !== uninterrupted.catalog.digest) {
			t.fail(`the results differ at change ${position + 1}`);
			return;
		}

		if (position % 500 === 0 && canonicalJson(restarting) !== canonicalJson(uninterrupted)) {
			t.fail(`the states differ at change ${position + 1}`);
			return;
		}
	}

	t.equal(canonicalJson(restarting), canonicalJson(uninterrupted));
	t.equal(uninterrupted.ledger.claimCount, Object.keys(uninterrupted.ledger.claims).length, 'the stored count of claims is correct');
	t.comment(`seed ${seed}: ${counts.first} accepted, ${counts.refused} refused`);
	t.ok(counts.first > 500 && counts.refused > 500, 'the history has accepted and refused changes');
});

// Every command is retried under its id after all others and a restart. Each retry
// must get the first result and change nothing.
t.test('retries after a restart get the first result and change nothing', async t => {
	const state = createState();
	const firstResults = new Map<Command, CommandResult>();
	const commands = history().slice(0, 1500).map((one, position) => ({...one, commandId: `own-${position}` as Command['commandId']}));
	for (const [position, one] of commands.entries()) {
		firstResults.set(one, applyCommand(state, one, position + 1));
	}

	const restartedState = restart(state);
	const before = canonicalJson(restartedState);
	const different = commands.filter((one, position) => canonicalJson(applyCommand(restartedState, one, 1501 + position)) !== canonicalJson(firstResults.get(one)));
	t.same(different, []);
	t.equal(canonicalJson(restartedState), before);
});

// A command has the id `constructor`, which every plain object inherits as a property.
// The change must be applied and get a result like any other.
t.test('a command id that is also an inherited property of objects', async t => {
	const state = createState();
	for (const [position, id] of ['constructor', 'toString', 'valueOf'].entries()) {
		const one = commandSchema.parse({commandId: id, ifRevision: null, change: {type: 'createModel', modelId: `model-${position}`}});
		t.match(applyCommand(state, one, position + 1), {type: 'accepted', revision: position + 1});
	}
});

// A control host writes a snapshot in steps, and five commands are applied between any
// two steps: hosts join and leave, claims are made and concluded. The snapshot must be
// the state at its start, which matches its log index. If it contained later changes, a
// restart would apply these commands a second time.
t.test(`a snapshot written in steps is the state at its start, seed ${seed}`, async t => {
	const state = createState();
	const commands = history();
	let applied = 0;
	let pauses = 0;
	const apply = (count: number): void => {
		for (const next of commands.slice(applied, applied + count)) {
			applied++;
			applyCommand(state, next, applied);
		}
	};

	const pause = async (): Promise<void> => {
		pauses++;
		apply(5);
	};

	for (let round = 0; round < 8; round++) {
		apply(100);
		const expected = canonicalJson(state);
		const written = await canonicalJsonInSteps(copyState(state), {pause, stepCharacters: 200});
		if (written !== expected) {
			t.fail(`the snapshot differs after ${applied} commands`);
			return;
		}
	}

	t.ok(pauses > 200, `${pauses} pauses`);
	t.ok(applied < commands.length, `${applied} commands`);
});
