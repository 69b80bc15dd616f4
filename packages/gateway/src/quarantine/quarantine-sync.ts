import type {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** A started entry asks for what others know of crashes; `synced` follows the updates that answer it. */
export type QuarantineSyncMessage = {readonly type: 'sync'; readonly entryAddress: string} | {readonly type: 'synced'};

/** Tags that distinguish these datagrams from others on the same socket. */
const kinds = {sync: 'quarantine-sync', synced: 'quarantine-synced'} as const;
const messageSchema = z.union([
	z.tuple([z.literal(kinds.sync), z.string().min(1).max(256)]),
	z.tuple([z.literal(kinds.synced)]),
]);

export const encodeQuarantineSync = (message: QuarantineSyncMessage): Uint8Array => {
	switch (message.type) {
		case 'sync': {
			return encode([kinds.sync, message.entryAddress]);
		}

		case 'synced': {
			return encode([kinds.synced]);
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
export const decodeQuarantineSync = (data: Buffer): QuarantineSyncMessage | null => {
	const parsed = messageSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const fields = parsed.data;
	return fields[0] === kinds.sync ? {type: 'sync', entryAddress: fields[1]} : {type: 'synced'};
};
