import t from 'tap';
import {
	assertBounds, badPart, runPartTraffic, type PartTrafficOptions,
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
