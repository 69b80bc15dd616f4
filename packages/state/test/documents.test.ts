import t from 'tap';
import {
	applyDocument, createDocumentState, decodeDocumentState, encodeDocumentState, type Departure, type Document, type DocumentState,
} from '@bitternpaddle/state';

const configuration = (number: number, text = `text ${number}`): Document => ({kind: 'configuration', number, text});

const applyAll = (...documents: Document[]): DocumentState => {
	let state = createDocumentState();
	for (const document of documents) {
		({state} = applyDocument(state, document));
	}

	return state;
};

t.test('of several configurations the highest number is in force', async t => {
	t.same(applyAll(configuration(7), configuration(12), configuration(9)).configuration, {number: 12, text: 'text 12'});
});

// The acknowledgement of a document is lost, so the operator submits it again, possibly
// after a newer one. It must be acknowledged again and change nothing.
t.test('a document that is submitted again is known', async t => {
	const state = applyAll(configuration(7), configuration(12));
	t.equal(applyDocument(state, configuration(12)).outcome, 'known');
	t.equal(applyDocument(state, configuration(7)).outcome, 'known');
});

// Two operators submit different contents under the same number at two hosts. One of
// them must learn that its content is not in force.
t.test('different content under the number in force is a conflict', async t => {
	const state = applyAll(configuration(7));
	t.match(applyDocument(state, configuration(7, 'other')), {outcome: 'conflict', state: {configuration: {text: 'text 7'}}});
});

t.test('versions of weights only increase', async t => {
	const state = applyAll({kind: 'version', model: 'm', version: 2}, {kind: 'version', model: 'm', version: 1}, {kind: 'version', model: 'n', version: 1});
	t.same(state.versions, {m: 2, n: 1});
	t.same(decodeDocumentState(encodeDocumentState(state)), state);
});

const evacuation = (zoneId: string, isEvacuated = true): Document => ({kind: 'evacuation', zoneId, isEvacuated});

// Two operators order the opposite for one zone, and one of them another zone; the
// acknowledgement of an order is lost, so it is submitted again.
t.test('the order of the log decides between orders, and only a change increases the revision', async t => {
	t.same(applyAll(evacuation('z2'), evacuation('z1'), evacuation('z1'), evacuation('z2', false)).evacuations, {revision: 3, zoneIds: ['z1']});
	t.same(applyAll(evacuation('z2', false), evacuation('z2'), evacuation('z1')).evacuations, {revision: 2, zoneIds: ['z1', 'z2']});
	t.equal(applyDocument(applyAll(evacuation('z1')), evacuation('z1')).outcome, 'known');
});

// A core host is upgraded: its snapshot has no evacuations.
t.test('a snapshot of the previous version has no evacuations', async t => {
	const state = decodeDocumentState('{"configuration":{"number":3,"text":"text 3"},"versions":{"m":2}}');
	t.same(state.evacuations, {revision: 0, zoneIds: []});
	const {state: changed} = applyDocument(state, evacuation('z1'));
	t.same(decodeDocumentState(encodeDocumentState(changed)), {configuration: {number: 3, text: 'text 3'}, versions: {m: 2}, evacuations: {revision: 1, zoneIds: ['z1']}});
});

const gone = (id: string, startedAtMs = 0): Departure => ({state: 'gone', id, startedAtMs});
const draining = (id: string, sequence: number, startedAtMs = 0): Departure => ({
	state: 'draining', id, startedAtMs, sequence, serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4,
});
const departures = (added: readonly Departure[], removed: readonly Departure[] = []): Document => ({kind: 'departures', added, removed});

// Guards against a departure that is undone by an older one, and against the removal of one that was replaced meanwhile.
t.test('of the departures of an endpoint the one of its latest start counts, and leaving is final', async t => {
	t.same(applyAll(departures([draining('a', 5)]), departures([gone('a')]), departures([draining('a', 6)])).departures, [gone('a')]);
	t.same(applyAll(departures([gone('a', 200)]), departures([gone('a', 100)]), departures([draining('a', 9, 300)])).departures, [draining('a', 9, 300)]);
	t.same(applyAll(departures([draining('a', 5)]), departures([gone('a')]), departures([gone('b')], [draining('a', 5)])).departures, [gone('a'), gone('b')]);
	t.same(applyAll(departures([gone('a')]), departures([gone('b')], [gone('a')])).departures, [gone('b')]);
	const state = applyAll(departures([draining('a', 5), gone('b')]));
	t.equal(applyDocument(state, departures([gone('b')])).outcome, 'known');
	t.same(decodeDocumentState(encodeDocumentState(state)), state);
});
