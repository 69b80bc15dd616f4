import t from 'tap';
import {
	applyDocument, createDocumentState, decodeDocumentState, encodeDocumentState, type Document, type DocumentState,
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
