import t from 'tap';
import {
	applyDocument, createDocumentState, maxDepartures, type Departure, type Document, type DocumentOutcome, type DocumentState,
} from '@bitternpaddle/state';
import {createDepartures, type Departures} from '@bitternpaddle/gateway';

const gone = (id: string, startedAtMs = 0): Departure => ({state: 'gone', id, startedAtMs});
const draining = (id: string, sequence: number): Departure => ({
	state: 'draining', id, startedAtMs: 0, sequence, serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4,
});

type Proposal = {readonly document: Document; commit(): void; fail(): void};

type Fixture = {
	readonly departures: Departures;
	readonly proposals: Proposal[];
	readonly heard: Departure[];
	readonly context: {nowMs: number; isLeader: boolean; isReadable: boolean; state: DocumentState};
};

const createFixture = (): Fixture => {
	const proposals: Proposal[] = [];
	const heard: Departure[] = [];
	const context = {
		nowMs: 0, isLeader: true, isReadable: true, state: createDocumentState(),
	};
	const departures = createDepartures({
		log: {
			state: () => context.state,
			isLeader: () => context.isLeader,
			propose: async document => new Promise<DocumentOutcome>((resolve, reject) => {
				proposals.push({
					document,
					commit() {
						const {state, outcome} = applyDocument(context.state, document);
						context.state = state;
						departures.update();
						resolve(outcome);
					},
					fail() {
						reject(new Error('no majority'));
					},
				});
			}),
		},
		isReadable: () => context.isReadable,
		onDeparture(departure) {
			heard.push(departure);
		},
		nowMs: () => context.nowMs,
	});
	return {
		departures, proposals, heard, context,
	};
};

const turn = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

// Guards against an acknowledgement before a majority has stored the departure, and against one entry for each of hundreds that leave at once.
t.test('departures that arrive during a commit share the next entry, and none resolves before its commit', async t => {
	const {departures, proposals, heard} = createFixture();
	const resolved: string[] = [];
	const append = async (id: string): Promise<void> => {
		await departures.append(gone(id));
		resolved.push(id);
	};

	const appended = ['a', 'b', 'c'].map(async id => append(id));
	await turn();
	t.equal(proposals.length, 1);
	t.same(resolved, []);
	proposals[0]!.commit();
	await turn();
	t.same(resolved, ['a']);
	t.match(proposals[1]?.document, {added: [gone('b'), gone('c')]});
	proposals[1]!.commit();
	await Promise.all(appended);
	t.same(heard, [gone('a'), gone('b'), gone('c')]);
});

t.test('a departure that no majority stored is rejected, and later ones are stored', async t => {
	const {departures, proposals, context} = createFixture();
	const failed = departures.append(gone('a'));
	const next = departures.append(gone('b'));
	proposals[0]!.fail();
	await t.rejects(failed, {message: 'no majority'});
	await turn();
	proposals[1]!.commit();
	await next;
	t.notOk(departures.isRecorded(gone('a'), -1));
	t.ok(departures.isRecorded(gone('b'), -1));
	context.isLeader = false;
	await t.rejects(departures.append(gone('c')), {message: 'this core host does not lead'});
});

t.test('one record covers the repeated announcements of a draining endpoint, but no later draining', async t => {
	const {departures, proposals} = createFixture();
	const appended = departures.append(draining('a', 5));
	proposals[0]!.commit();
	await appended;
	t.ok(departures.isRecorded(draining('a', 6), 4));
	t.notOk(departures.isRecorded(draining('a', 9), 8), 'it was ready again in between');
	t.notOk(departures.isRecorded(gone('a'), 4));
});

// Guards against a snapshot that grows with every endpoint that ever left.
t.test('departures are forgotten a minute after they were stored', async t => {
	const {departures, proposals, context} = createFixture();
	const store = async (departure: Departure): Promise<void> => {
		const appended = departures.append(departure);
		proposals.at(-1)!.commit();
		await appended;
	};

	await store(draining('a', 5));
	context.nowMs = 30_000;
	await store(gone('a'));
	await store(gone('b'));
	context.nowMs = 61_000;
	await store(gone('c'));
	t.ok(departures.isRecorded(gone('a'), -1), 'it left later than it began to drain');
	context.nowMs = 91_000;
	await store(gone('d'));
	t.same(context.state.departures, [gone('c'), gone('d')]);
	t.equal(departures.count(), 2);
});

t.test('the number of remembered departures is bounded', async t => {
	const {state} = applyDocument(createDocumentState(), {kind: 'departures', added: Array.from({length: maxDepartures + 5}, (_, index) => gone(`e${index}`)), removed: []});
	t.equal(state.departures?.length, maxDepartures);
	t.same(state.departures?.[0], gone('e5'), 'the oldest are forgotten first');
});

// Guards against an entry that members of an earlier version reject: nothing more would be stored until they are updated.
t.test('nothing is appended while a member of an earlier version is known', async t => {
	const {departures, proposals, context} = createFixture();
	context.isReadable = false;
	await departures.append(gone('a'));
	t.same(proposals, []);
});
