import {Buffer} from 'node:buffer';
import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Snapshot} from '@bitternpaddle/state';
import t from 'tap';
import {
	createConsensus, createRandom, stepConsensus, type ConsensusEffect, type ConsensusState,
} from '@bitternpaddle/coordination';

const members = {voters: ['a', 'b', 'c'], learners: []};
const maxMessageBytes = 1_500_000;
const maxDocumentBytes = 4_194_304;

const entryOf = (index: number, sizeBytes: number): LogEntry => ({index, term: 1, payload: {type: 'document', document: {kind: 'configuration', number: index, text: 'x'.repeat(sizeBytes)}}});

const snapshotOf = (index: number, length: number): Snapshot => ({
	index, term: 1, members, state: Array.from({length: length / 8}, (_, position) => String(position).padStart(8)).join(''),
});

/** A leader of term 2 whose log has one more entry, which is empty. */
const lead = (options: {entries?: LogEntry[]; snapshot?: Snapshot}): ConsensusState => {
	const state = createConsensus({
		selfId: 'a', initialMembers: members, hardState: {term: 1, votedFor: null}, snapshot: null, entries: [], random: createRandom(1), nowMs: 0, ...options,
	});
	stepConsensus(state, {type: 'tick'}, 1200);
	for (const isPreVote of [true, false]) {
		stepConsensus(state, {
			type: 'message', from: 'b', message: {
				type: 'voteResponse', term: 2, isPreVote, granted: true,
			},
		}, 1200);
	}

	return state;
};

/** Compares long snapshots without a difference in the output. */
const isSame = (a: Snapshot | null, b: Snapshot): boolean => a !== null && JSON.stringify(a) === JSON.stringify(b);

const messagesTo = (to: string, effects: readonly ConsensusEffect[]): ConsensusMessage[] => effects.flatMap(effect => effect.type === 'send' && effect.to === to ? [effect.message] : []);

const bytesOf = (message: ConsensusMessage): number => Buffer.byteLength(JSON.stringify(message));

const entriesIn = (messages: readonly ConsensusMessage[]): number => messages.reduce((sum, message) => sum + (message.type === 'appendRequest' ? message.entries.length : 0), 0);

const answer = (success: boolean, matchIndex: number): ConsensusMessage => ({
	type: 'appendResponse', term: 2, success, matchIndex, sentAtMs: 1200, stamp: {incarnation: 1, atMs: 0},
});

/** Messages to `c` in reply to one of its messages. */
const reply = (leader: ConsensusState, message: ConsensusMessage, nowMs: number): ConsensusMessage[] => messagesTo('c', stepConsensus(leader, {type: 'message', from: 'c', message}, nowMs));

/** Messages of the heartbeats until `untilMs`, while `b` answers and `c` does not. */
const heartbeats = (leader: ConsensusState, fromMs: number, untilMs: number): ConsensusMessage[] => {
	const messages: ConsensusMessage[] = [];
	for (let nowMs = fromMs; nowMs < untilMs; nowMs += 100) {
		leader.peers.get('b')!.acknowledgedSentAtMs = nowMs;
		messages.push(...messagesTo('c', stepConsensus(leader, {type: 'tick'}, nowMs)));
	}

	return messages;
};

// Guards against a leader and a newcomer that run out of heap because the whole log goes into one message, again with each heartbeat.
t.test('a member that lacks long entries receives them in messages of bounded size, once', async t => {
	const leader = lead({entries: Array.from({length: 20}, (_, position) => entryOf(position + 1, 400_000))});
	const messages = [...reply(leader, answer(false, 0), 1210), ...heartbeats(leader, 1300, 2300)];
	t.ok(messages.length >= 10, 'heartbeats continue');
	t.equal(entriesIn(messages), 0, 'no long entry is sent before it is known which ones are missing');
	const sent = [...reply(leader, answer(true, 0), 2310), ...heartbeats(leader, 2400, 3400)];
	t.ok(entriesIn(sent) > 0 && sent.every(message => bytesOf(message) <= maxMessageBytes), `${Math.max(...sent.map(message => bytesOf(message)))} bytes`);
	for (let matchIndex = 2; matchIndex <= 20; matchIndex += 2) {
		sent.push(...reply(leader, answer(true, matchIndex), 3500));
	}

	t.equal(entriesIn(sent), 21, 'each entry once');
	t.ok(sent.every(message => bytesOf(message) <= maxMessageBytes));
});

// Guards against the same with entries that exceed the bound one by one.
t.test('an entry above the bound is sent alone, and the next one after it is acknowledged', async t => {
	const leader = lead({entries: [1, 2, 3].map(index => entryOf(index, maxDocumentBytes))});
	reply(leader, answer(false, 0), 1210);
	for (const index of [1, 2, 3]) {
		const sent = [...reply(leader, answer(true, index - 1), 1210 + index), ...heartbeats(leader, 1300 * index, 1300 * (index + 1))];
		t.equal(entriesIn(sent), 1);
	}
});

// Guards against a snapshot that goes as one message and is too long for the heap of its receiver.
t.test('a long snapshot is sent in parts, one at a time, and is installed whole', async t => {
	const snapshot = snapshotOf(50, 5_000_000);
	const leader = lead({snapshot});
	const newcomer = createConsensus({
		selfId: 'c', initialMembers: {voters: [], learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(2), nowMs: 0,
	});
	let messages = reply(leader, answer(false, 0), 1210);
	let installed: Snapshot | null = null;
	let partCount = 0;
	for (let nowMs = 1210; installed === null && nowMs < 5000; nowMs += 10) {
		t.ok(messages.length <= 1 && messages.every(message => bytesOf(message) <= maxMessageBytes));
		partCount += messages.length;
		const effects = messages.flatMap(message => stepConsensus(newcomer, {type: 'message', from: 'a', message}, nowMs));
		const install = effects.find(effect => effect.type === 'installSnapshot');
		installed = install?.type === 'installSnapshot' ? install.snapshot : null;
		messages = messagesTo('a', effects).flatMap(message => reply(leader, message, nowMs));
	}

	t.ok(isSame(installed, snapshot));
	t.ok(partCount > 5, `${partCount} parts`);
	t.equal(leader.peers.get('c')!.mode, 'stream');
});

// Guards against a part that is lost, repeated or of another snapshot and that spoils the snapshot.
t.test('parts that are lost, repeated, late or of another snapshot do not spoil a snapshot', async t => {
	const snapshot = snapshotOf(50, 2_000_000);
	const leader = lead({snapshot});
	const newcomer = createConsensus({
		selfId: 'c', initialMembers: {voters: [], learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(2), nowMs: 0,
	});
	const random = createRandom(3);
	const other: ConsensusMessage = {
		type: 'snapshotPart', term: 2, snapshot: {index: 40, term: 1, members}, offset: 0, totalLength: 900_000, part: 'y'.repeat(262_144), sentAtMs: 0,
	};
	const late: ConsensusMessage[] = [];
	let installed: Snapshot | null = null;
	reply(leader, answer(false, 0), 1210);
	for (let nowMs = 1300; installed === null && nowMs < 600_000; nowMs += 100) {
		let toNewcomer = heartbeats(leader, nowMs, nowMs + 100);
		for (let round = 0; round < 3 && installed === null; round++) {
			const delivered = toNewcomer.filter(() => random.between(0, 9) > 2);
			late.push(...toNewcomer);
			const noise = random.between(0, 3) === 0 ? [other] : [];
			const effects = [...noise, ...delivered, late[random.between(0, late.length - 1)]!].flatMap(message => stepConsensus(newcomer, {type: 'message', from: 'a', message}, nowMs));
			for (const effect of effects) {
				if (effect.type === 'installSnapshot') {
					installed = effect.snapshot;
				}
			}

			toNewcomer = messagesTo('a', effects).filter(() => random.between(0, 9) > 2).flatMap(message => reply(leader, message, nowMs));
		}
	}

	t.ok(isSame(installed, snapshot));
});

// Guards against a member that waits for a snapshot which a newer one has replaced at the leader.
t.test('a snapshot that is being sent is completed although the log is compacted again, and followed by the newer one', async t => {
	const leader = lead({snapshot: snapshotOf(50, 1_000_000)});
	reply(leader, answer(false, 0), 1210);
	stepConsensus(leader, {type: 'persisted', index: 51, term: 2}, 1220);
	stepConsensus(leader, {type: 'message', from: 'b', message: answer(true, 51)}, 1230);
	stepConsensus(leader, {type: 'compacted', snapshot: {...snapshotOf(51, 1_000_000), term: 2}}, 1240);
	const indexes = reply(leader, {
		type: 'snapshotPartResponse', term: 2, snapshotIndex: 50, receivedLength: 262_144, sentAtMs: 1210, stamp: {incarnation: 1, atMs: 0},
	}, 1250).map(message => message.type === 'snapshotPart' ? [message.snapshot.index, message.offset] : []);
	t.same(indexes, [[50, 262_144]]);
	t.match(reply(leader, answer(true, 50), 1260), [{type: 'snapshotPart', snapshot: {index: 51}, offset: 0}]);
});
