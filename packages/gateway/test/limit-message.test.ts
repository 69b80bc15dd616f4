import {Buffer} from 'node:buffer';
import t from 'tap';
import type {EndpointStart} from '@bitternpaddle/coordination';
import {decodeLimitMessage, encodeLimitMessage, type LimitMessage} from '@bitternpaddle/gateway';

const limit = {start: 'e1@0' as EndpointStart, perSecond: 1.6, advertisedAtMs: 900};

t.test('messages about limits round-trip, with times converted to the clock of the receiver', async t => {
	const messages: LimitMessage[] = [
		{type: 'limits', limits: [limit, {...limit, perSecond: null}]},
		{type: 'sync', entryAddress: '10.0.0.1:7700'},
		{
			type: 'request', entryAddress: '10.0.0.1:7700', count: 3, limit,
		},
		{type: 'reply', limit, reply: {type: 'granted', count: 2}},
		{type: 'reply', limit, reply: {type: 'queued', waitMs: 250}},
		{
			type: 'coldRequest', request: {
				entryAddress: '10.0.0.1:7700', start: limit.start, count: 1, perSecond: 26, sentAtMs: 1234.567_89, unpermittedCount: 2,
			},
		},
		{
			type: 'coldReply', start: limit.start, reply: {
				type: 'granted', count: 1, sentAtMs: 1234.567_89, heldMs: 3.5,
			},
		},
		{type: 'coldReply', start: limit.start, reply: {type: 'queued', waitMs: 38.5, sentAtMs: 1234.567_89}},
		{
			type: 'coldReturn', returned: {
				entryAddress: '10.0.0.1:7700', start: limit.start, count: 1, sentAtMs: 1234.567_89,
			},
		},
	];
	for (const message of messages) {
		t.same(decodeLimitMessage(Buffer.from(encodeLimitMessage(message, 1000)), 1000), message);
	}

	t.match(decodeLimitMessage(Buffer.from(encodeLimitMessage(messages[0]!, 1000)), 5000), {limits: [{advertisedAtMs: 4900}]});
});

t.test('other datagrams are not decoded', async t => {
	for (const data of [Buffer.from('x'), Buffer.alloc(0), Buffer.from([0x92, 0xA6, 0x6C])]) {
		t.equal(decodeLimitMessage(data, 0), null);
	}
});

t.test('a datagram with the maximum number of limits fits into one packet', async t => {
	const limits = Array.from({length: 20}, (_, index) => ({start: `i-0123456789ab${index}@1764756000000` as EndpointStart, perSecond: 12.345, advertisedAtMs: 0}));
	t.ok(encodeLimitMessage({type: 'limits', limits}, 600_000).length < 1400);
});
