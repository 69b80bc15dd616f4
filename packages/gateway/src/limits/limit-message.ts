import type {Buffer} from 'node:buffer';
import type {
	ColdReply, ColdRequest, ColdReturn, EndpointStart, PermitReply, SharedLimit,
} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** Messages between entries about the limits of endpoints. */
export type LimitMessage
	= | {readonly type: 'limits'; readonly limits: readonly SharedLimit[]}
		/** A started entry requests all known limits. */
		| {readonly type: 'sync'; readonly entryAddress: string}
		/** An entry requests permits from the issuer. */
		| {readonly type: 'request'; readonly entryAddress: string; readonly count: number; readonly limit: SharedLimit}
		/** The reply of the issuer; a queued request is granted in a later reply. */
		| {readonly type: 'reply'; readonly limit: SharedLimit; readonly reply: PermitReply}
		/** An entry requests permits for a cold endpoint. */
		| {readonly type: 'coldRequest'; readonly request: ColdRequest}
		| {readonly type: 'coldReply'; readonly start: EndpointStart; readonly reply: ColdReply}
		| {readonly type: 'coldReturn'; readonly returned: ColdReturn};

/** Tags that distinguish these datagrams from others on the same socket. */
const kinds = {
	limits: 'limits', sync: 'limit-sync', request: 'permit-request', granted: 'permit-granted', queued: 'permit-queued',
	coldRequest: 'cold-request', coldGranted: 'cold-granted', coldQueued: 'cold-queued', coldReturn: 'cold-returned',
} as const;
const addressSchema = z.string().min(1);
const countSchema = z.number().int().positive().max(1000);
const startSchema = z.string().min(1).transform(text => text as EndpointStart);
const limitSchema = z.tuple([startSchema, z.number().nonnegative().nullable(), z.number().nonnegative()]);
const messageSchema = z.union([
	z.tuple([z.literal(kinds.limits), z.array(limitSchema)]),
	z.tuple([z.literal(kinds.sync), addressSchema]),
	z.tuple([z.literal(kinds.request), addressSchema, countSchema, limitSchema]),
	z.tuple([z.literal(kinds.granted), limitSchema, countSchema]),
	z.tuple([z.literal(kinds.queued), limitSchema, z.number().nonnegative()]),
	z.tuple([z.literal(kinds.coldRequest), addressSchema, startSchema, countSchema, z.number().positive(), z.number(), z.number().int().nonnegative()]),
	z.tuple([z.literal(kinds.coldReturn), addressSchema, startSchema, countSchema, z.number()]),
	z.tuple([z.literal(kinds.coldGranted), startSchema, countSchema, z.number(), z.number().nonnegative()]),
	z.tuple([z.literal(kinds.coldQueued), startSchema, z.number().nonnegative(), z.number()]),
]);
type EncodedLimit = z.infer<typeof limitSchema>;

/** Encodes times as ages, because the clocks of hosts differ. */
const encodeLimit = ({start, perSecond, advertisedAtMs}: SharedLimit, nowMs: number): EncodedLimit => [start, perSecond, Math.max(0, Math.round(nowMs - advertisedAtMs))];

const decodeLimit = ([start, perSecond, ageMs]: EncodedLimit, nowMs: number): SharedLimit => ({start, perSecond, advertisedAtMs: nowMs - ageMs});

export const encodeLimitMessage = (message: LimitMessage, nowMs: number): Uint8Array => {
	switch (message.type) {
		case 'limits': {
			return encode([kinds.limits, message.limits.map(limit => encodeLimit(limit, nowMs))]);
		}

		case 'sync': {
			return encode([kinds.sync, message.entryAddress]);
		}

		case 'request': {
			return encode([kinds.request, message.entryAddress, message.count, encodeLimit(message.limit, nowMs)]);
		}

		case 'reply': {
			const limit = encodeLimit(message.limit, nowMs);
			const {reply} = message;
			return encode(reply.type === 'granted' ? [kinds.granted, limit, reply.count] : [kinds.queued, limit, Math.round(reply.waitMs)]);
		}

		case 'coldRequest': {
			const {entryAddress, start, count, perSecond, sentAtMs, unpermittedCount} = message.request;
			return encode([kinds.coldRequest, entryAddress, start, count, perSecond, sentAtMs, unpermittedCount]);
		}

		case 'coldReturn': {
			const {entryAddress, start, count, sentAtMs} = message.returned;
			return encode([kinds.coldReturn, entryAddress, start, count, sentAtMs]);
		}

		case 'coldReply': {
			const {start, reply} = message;
			return encode(reply.type === 'granted' ? [kinds.coldGranted, start, reply.count, reply.sentAtMs, reply.heldMs] : [kinds.coldQueued, start, reply.waitMs, reply.sentAtMs]);
		}
	}
};

const unpack = (data: Buffer): unknown => {
	try {
		return decode(data);
	} catch {
		return null;
	}
};

/** Returns `null` if the datagram is of another kind or malformed. */
export const decodeLimitMessage = (data: Buffer, nowMs: number): LimitMessage | null => {
	const parsed = messageSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const fields = parsed.data;
	switch (fields[0]) {
		case kinds.limits: {
			return {type: 'limits', limits: fields[1].map(limit => decodeLimit(limit, nowMs))};
		}

		case kinds.sync: {
			return {type: 'sync', entryAddress: fields[1]};
		}

		case kinds.request: {
			return {
				type: 'request', entryAddress: fields[1], count: fields[2], limit: decodeLimit(fields[3], nowMs),
			};
		}

		case kinds.granted: {
			return {type: 'reply', limit: decodeLimit(fields[1], nowMs), reply: {type: 'granted', count: fields[2]}};
		}

		case kinds.queued: {
			return {type: 'reply', limit: decodeLimit(fields[1], nowMs), reply: {type: 'queued', waitMs: fields[2]}};
		}

		case kinds.coldRequest: {
			const [, entryAddress, start, count, perSecond, sentAtMs, unpermittedCount] = fields;
			return {
				type: 'coldRequest', request: {
					entryAddress, start, count, perSecond, sentAtMs, unpermittedCount,
				},
			};
		}

		case kinds.coldReturn: {
			const [, entryAddress, start, count, sentAtMs] = fields;
			return {
				type: 'coldReturn', returned: {
					entryAddress, start, count, sentAtMs,
				},
			};
		}

		case kinds.coldGranted: {
			const [, start, count, sentAtMs, heldMs] = fields;
			return {
				type: 'coldReply', start, reply: {
					type: 'granted', count, sentAtMs, heldMs,
				},
			};
		}

		case kinds.coldQueued: {
			const [, start, waitMs, sentAtMs] = fields;
			return {type: 'coldReply', start, reply: {type: 'queued', waitMs, sentAtMs}};
		}
	}
};
