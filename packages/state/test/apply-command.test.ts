import t from 'tap';
import {
	applyCommand, canonicalJson, commandId, createCatalog, createLedger, fleetId, hostId, maxRetainedResults, manifestId, modelId, regionId, serviceId, versionId, zoneId,
	type Change, type ReplicatedState,
} from '@bitternpaddle/state';

const createState = (): ReplicatedState => ({catalog: createCatalog(), ledger: createLedger()});

const manifest = manifestId(`sha256:${'a'.repeat(64)}`);

const announcement = (id: string, incarnation = 1) => ({
	hostId: hostId(id), zoneId: zoneId('tacoma-hall'), regionId: regionId('puget'), serviceId: serviceId('bp-writers'), provider: 'new',
	address: '127.0.0.1:1', capacity: 4, incarnation, kind: 'engine' as const,
});

const session: Change[] = [
	{type: 'createModel', modelId: modelId('pitch-desk')},
	{type: 'createVersion', versionId: versionId('pitch-desk:v1'), manifestId: manifest},
	{
		type: 'createFleet', fleetId: fleetId('fair'), provider: 'new', versionId: versionId('pitch-desk:v1'), replicas: 2, zoneIds: [],
	},
	{type: 'hostJoined', announcement: announcement('h1')},
	{type: 'load', versionId: versionId('pitch-desk:v1'), fleetId: fleetId('fair')},
	{type: 'hostJoined', announcement: announcement('h2')},
	{type: 'hostJoined', announcement: announcement('h3')},
];

const applyAll = (state: ReplicatedState, changes: readonly Change[]): void => {
	for (const [position, change] of changes.entries()) {
		applyCommand(state, {commandId: null, ifRevision: null, change}, position + 1);
	}
};

t.test('a fleet with too few hosts is assigned hosts that join later, and no more than it needs', async t => {
	const state = createState();
	applyAll(state, session);
	t.equal(state.catalog.hosts.h1!.assignment?.fencingNumber, 5);
	t.equal(state.catalog.hosts.h2!.assignment?.fencingNumber, 6);
	t.equal(state.catalog.hosts.h3!.assignment, null);
});

// The response to a command is lost and the operator retries it, after another
// operator's change. Both attempts must get the first result; without the stored
// result the retry would be refused with "exists".
t.test('a retried command gets its first result', async t => {
	const state = createState();
	const command = {commandId: commandId('once'), ifRevision: null, change: session[0]!};
	const first = applyCommand(state, command, 1);
	applyCommand(state, {commandId: null, ifRevision: null, change: session[1]!}, 2);
	t.same(applyCommand(state, command, 3), first);
	t.equal(state.catalog.revision, 2);
});

// A script uses the same id for two different commands by mistake. The second must be
// refused with the reason; without the digest stored with the first result, the second
// would appear accepted but never be applied.
t.test('a command id that is reused for another change is refused', async t => {
	const state = createState();
	const command = (change: Change) => ({commandId: commandId('nightly'), ifRevision: null, change});
	const first = applyCommand(state, command(session[0]!), 1);
	const restarted = JSON.parse(canonicalJson(state)) as ReplicatedState;
	for (const one of [state, restarted]) {
		const before = canonicalJson(one);
		t.same(applyCommand(one, command({type: 'createModel', modelId: modelId('other')}), 2), {
			type: 'refused', code: 'conflict', revision: 1,
			message: 'command id nightly already stands for another change (accepted at revision 1); this createModel was not carried out: give it an id of its own',
		});
		t.same(applyCommand(one, {...command(session[0]!), ifRevision: 1}, 3), first, 'the same change still gets its first result');
		t.equal(canonicalJson(one), before, 'the state is unchanged');
	}
});

t.test('the digest of a change is removed together with its result', async t => {
	const state = createState();
	for (let index = 1; index <= maxRetainedResults + 1; index++) {
		applyCommand(state, {commandId: commandId(`c${index}`), ifRevision: null, change: {type: 'noop'}}, index);
	}

	t.equal(Object.keys(state.ledger.results).length, maxRetainedResults);
	t.same(Object.keys(state.ledger.resultDigests!), Object.keys(state.ledger.results));
	t.match(applyCommand(state, {commandId: commandId('c1'), ifRevision: null, change: session[0]!}, maxRetainedResults + 2), {type: 'accepted'});
});

// A control host starts from a snapshot of an older version without digests. Its
// results still answer retries; new results are checked against their change.
t.test('a snapshot without digests is supported', async t => {
	const state = createState();
	const first = applyCommand(state, {commandId: commandId('old'), ifRevision: null, change: session[0]!}, 1);
	const {resultDigests: _, ...ledger} = state.ledger;
	const older = JSON.parse(canonicalJson({...state, ledger})) as ReplicatedState;
	t.same(applyCommand(older, {commandId: commandId('old'), ifRevision: null, change: session[1]!}, 2), first);
	applyCommand(older, {commandId: commandId('new'), ifRevision: null, change: session[1]!}, 3);
	t.match(applyCommand(older, {commandId: commandId('new'), ifRevision: null, change: session[0]!}, 4), {type: 'refused', code: 'conflict'});
});

// Two operators read revision 1 and both send a command that expects it. One is
// accepted; the other is refused with the current revision and changes nothing.
t.test('of two commands that expect the same revision only one is accepted', async t => {
	const state = createState();
	applyAll(state, session.slice(0, 1));
	const first = applyCommand(state, {commandId: null, ifRevision: 1, change: {type: 'createModel', modelId: modelId('one')}}, 2);
	const second = applyCommand(state, {commandId: null, ifRevision: 1, change: {type: 'createModel', modelId: modelId('two')}}, 3);
	t.equal(first.type, 'accepted');
	t.match(second, {type: 'refused', code: 'conflict', revision: 2});
	t.notOk('two' in state.catalog.models);
});

t.test('a restart at any point gives a byte-identical state', async t => {
	const uninterrupted = createState();
	applyAll(uninterrupted, session);
	for (let point = 0; point <= session.length; point++) {
		const before = createState();
		applyAll(before, session.slice(0, point));
		const after = JSON.parse(canonicalJson(before)) as ReplicatedState;
		for (const [position, change] of session.slice(point).entries()) {
			applyCommand(after, {commandId: null, ifRevision: null, change}, point + position + 1);
		}

		t.equal(canonicalJson(after), canonicalJson(uninterrupted), `restart after ${point}`);
	}
});
