import t from 'tap';
import {
	applyCommand, canonicalJson, changeSchema, createCatalog, createLedger, digestOf, type CommandResult, type ReplicatedState,
} from '@bitternpaddle/state';

const createState = (): ReplicatedState => ({catalog: createCatalog(), ledger: createLedger()});

const apply = (state: ReplicatedState, change: Record<string, unknown>): CommandResult =>
	applyCommand(state, {commandId: null, ifRevision: null, change: changeSchema.parse(change)}, state.catalog.revision + 1);

const join = (hostId: string, zoneId: string, incarnation = 1) => ({
	type: 'hostJoined',
	announcement: {
		hostId, zoneId, regionId: 'r', serviceId: 's', provider: 'new', address: '127.0.0.1:1', capacity: 4, incarnation, kind: 'engine',
	},
});

const evacuate = {type: 'evacuateZone', zoneId: 'z1'};
const restore = {type: 'restoreZone', zoneId: 'z1'};

/** Two replicas on h1 and h3; h2 and h4 are free. */
const setUp = (): ReplicatedState => {
	const state = createState();
	for (const change of [
		{type: 'createModel', modelId: 'm'},
		{type: 'createVersion', versionId: 'm:v1', manifestId: `sha256:${'a'.repeat(64)}`},
		{
			type: 'createFleet', fleetId: 'f', provider: 'new', versionId: 'm:v1', replicas: 2, zoneIds: [],
		},
		join('h1', 'z1'),
		join('h2', 'z1'),
		join('h3', 'z2'),
		join('h4', 'z2'),
		{type: 'load', versionId: 'm:v1', fleetId: 'f'},
	]) {
		apply(state, change);
	}

	return state;
};

/** Digest of this state as computed by the version before the commands. */
const previousDigest = 'd042d9f36fc73d25cf712e4027e91a37c0efc78bbe059cc28d4536208ba391f2';

const assigned = ({catalog}: ReplicatedState): string[] => Object.values(catalog.hosts)
	.filter(({assignment}) => assignment !== null)
	.map(({announcement}) => announcement.hostId)
	.toSorted();

// If the zone's hosts were released one by one, a free host of the same zone would take the replica.
t.test('the replicas of an evacuated zone move to other zones only', async t => {
	const state = setUp();
	t.same(assigned(state), ['h1', 'h3']);
	t.equal(apply(state, evacuate).type, 'accepted');
	t.same(assigned(state), ['h3', 'h4']);
	t.same(state.catalog.evacuatedZoneIds, ['z1']);
	apply(state, {type: 'setReplicas', fleetId: 'f', replicas: 4});
	t.same(assigned(state), ['h3', 'h4'], 'a larger fleet gets no host of the zone');
	apply(state, restore);
	t.same(assigned(state), ['h1', 'h2', 'h3', 'h4']);
});

t.test('a host that joins or restarts in an evacuated zone is evacuated, and one that leaves the zone is not', async t => {
	const state = setUp();
	apply(state, evacuate);
	apply(state, {type: 'setReplicas', fleetId: 'f', replicas: 9});
	apply(state, join('h5', 'z1'));
	apply(state, join('h1', 'z1', 2));
	apply(state, join('h3', 'z1', 2));
	t.same(assigned(state), ['h4'], 'h3 has moved into the zone and lost its assignment');
	apply(state, join('h2', 'z2', 2));
	t.same(assigned(state), ['h2', 'h4']);
	t.same(Object.values(state.catalog.hosts).filter(host => host.isEvacuated).map(host => host.announcement.hostId).toSorted(), ['h1', 'h3', 'h5']);
});

t.test('restoring a zone keeps the drains and stops of its hosts', async t => {
	const state = setUp();
	apply(state, {type: 'drainHost', hostId: 'h1'});
	apply(state, evacuate);
	apply(state, {type: 'stopHost', hostId: 'h2'});
	apply(state, restore);
	t.equal(state.catalog.hosts.h1!.status, 'draining');
	t.equal(state.catalog.hosts.h2!.status, 'stopped');
	t.same(assigned(state), ['h3', 'h4']);
});

t.test('a drain taken back during an evacuation gives the host nothing', async t => {
	const state = setUp();
	apply(state, {type: 'drainHost', hostId: 'h1'});
	apply(state, evacuate);
	apply(state, {type: 'setReplicas', fleetId: 'f', replicas: 4});
	apply(state, {type: 'undrainHost', hostId: 'h1'});
	t.same(assigned(state), ['h3', 'h4']);
	apply(state, restore);
	t.same(assigned(state), ['h1', 'h2', 'h3', 'h4']);
});

t.test('a mistyped zone is refused with the known zones and changes nothing', async t => {
	const state = setUp();
	apply(state, evacuate);
	const before = canonicalJson(state);
	for (const type of ['evacuateZone', 'restoreZone']) {
		t.match(apply(state, {type, zoneId: 'z9'}), {type: 'refused', code: 'unknown', message: 'no zone z9: no host is in it and no fleet names it; known zones: z1, z2'});
	}

	t.equal(canonicalJson(state), before);
});

t.test('a zone can be restored after all its hosts have left, and a repeated order changes no host', async t => {
	const state = setUp();
	apply(state, evacuate);
	const hosts = canonicalJson(state.catalog.hosts);
	t.equal(apply(state, evacuate).type, 'accepted');
	t.equal(canonicalJson(state.catalog.hosts), hosts);
	apply(state, {type: 'hostLeft', hostId: 'h1', incarnation: 1});
	apply(state, {type: 'hostLeft', hostId: 'h2', incarnation: 1});
	t.equal(apply(state, restore).type, 'accepted');
	t.equal(apply(state, evacuate).type, 'refused', 'no host and no fleet names it any more');
});

// Snapshots and digests of hosts that never use the commands must not differ from those of
// the previous version, or hosts of both versions would take each other for diverged.
t.test('the catalog has neither field before the first evacuation and after the last restoration', async t => {
	const state = setUp();
	const hosts = canonicalJson(state.catalog.hosts);
	t.equal(digestOf(state), previousDigest);
	t.notMatch(canonicalJson(state), /evacuated/iv);
	apply(state, evacuate);
	apply(state, restore);
	t.notMatch(canonicalJson(state), /evacuated/iv);
	t.not(canonicalJson(state.catalog.hosts), hosts, 'the replica stays where it went');
});

t.test('a host that restarts from a snapshot of the previous version, or amid an evacuation, continues alike', async t => {
	const state = setUp();
	for (const change of [evacuate, join('h5', 'z1'), {type: 'hostLeft', hostId: 'h4', incarnation: 1}, restore]) {
		const restarted = JSON.parse(canonicalJson(state)) as ReplicatedState;
		apply(restarted, change);
		apply(state, change);
		t.equal(canonicalJson(restarted), canonicalJson(state), change.type);
	}
});
