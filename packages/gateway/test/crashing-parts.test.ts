import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {
	assertBounds, badPart, runPartTraffic, stableMs, type PartTrafficOptions,
} from './support/part-traffic.js';

type Case = Omit<PartTrafficOptions, 'badParts'> & {readonly name: string; readonly badParts: readonly string[]};

const cases: readonly Case[] = [
	{
		name: 'the second of three parts, before any event, two entries', entryCount: 2, badParts: ['first', badPart], onBad: {type: 'crash', afterMs: 60, events: 0},
	},
	{
		name: 'the third of four parts, after two events, eight entries', entryCount: 8, badParts: ['first', 'theme1', badPart], onBad: {type: 'crash', afterMs: 60, events: 2},
	},
	{name: 'the first of two parts, after one event, one entry', badParts: [badPart], onBad: {type: 'crash', afterMs: 60, events: 1}},
	{
		name: 'a plain answer with a length, twenty entries', entryCount: 20, badParts: ['first', badPart], onBad: {
			type: 'crash', afterMs: 60, events: 0, framing: 'length', isPlain: true,
		}, onSound: {type: 'plain', delayMs: 60, framing: 'length'},
	},
];

// Guards against judging whole requests only: requests that differ, but share the part that crashes engines.
for (const {name, badParts, ...options} of cases) {
	t.test(`a prompt part that crashes its endpoints is soon sent to none: ${name}`, async t => {
		assertBounds(t, await runPartTraffic(t, {...options, badParts: () => badParts}));
	});
}

// Guards against counting the end of a connection as the end of an answer when the engine has crashed.
t.test('a crash that ends the connection after an event is not a completed answer', async t => {
	assertBounds(t, await runPartTraffic(t, {
		entryCount: 2, badParts: () => ['first', badPart], onBad: {
			type: 'crash', afterMs: 60, events: 1, framing: 'connection', closesConnections: true,
		}, onSound: {type: 'stream', pauseMs: 30, framing: 'connection'},
	}));
});

// Guards against an entry that has lost its verdicts and sends such requests until it has seen crashes of its own.
t.test('entries that restart one after the other refuse a condemned part', async t => {
	const traffic = await runPartTraffic(t, {
		entryCount: 3, badParts: () => ['first', badPart], onBad: {type: 'crash', afterMs: 60, events: 1},
		async afterFifth(fleet) {
			await delay(stableMs);
			for (const entry of [0, 1, 2]) {
				await fleet.restartEntry(entry);
			}
		},
	});
	assertBounds(t, traffic);
	t.same([...new Set(traffic.lateBadStatuses)], [400], 'bad requests get a final answer at once');
});

t.test('a caller is told which part of its prompt is refused, and the log names the exits and who saw them', async t => {
	const {fleet, lines} = await runPartTraffic(t, {entryCount: 2, badParts: () => ['first', badPart], onBad: {type: 'crash', afterMs: 60, events: 0}});
	const {status, headers, text} = await fleet.call('last', 'last', {headers: {'x-parts': `first,${badPart},own`}});
	t.equal(status, 400);
	t.equal(headers['retry-after'], undefined);
	t.match(text, /endpoints ended while they had a request with the prompt part bad0/v);
	const refusal = lines.find(({event, requestId}) => event === 'BP4021' && requestId === 'last')!;
	t.same(refusal.promptParts, [`m/${badPart}`]);
	for (const field of ['endpoints', 'agesMs', 'seenBy']) {
		t.equal((refusal[field] as unknown[]).length, refusal.ends, field);
	}
});
