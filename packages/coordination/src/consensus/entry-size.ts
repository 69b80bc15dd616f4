import {Buffer} from 'node:buffer';
import type {LogEntry} from '@bitternpaddle/state';

/** Size of a payload as JSON, without the few bytes of its entry. */
export const payloadBytes = (payload: LogEntry['payload']): number => Buffer.byteLength(JSON.stringify(payload));

const sizes = new WeakMap<LogEntry, number>();

/** Size of an entry in a message, in bytes of JSON. Computed once per entry. */
export const entryBytes = (entry: LogEntry): number => {
	let sizeBytes = sizes.get(entry);
	if (sizeBytes === undefined) {
		sizeBytes = Buffer.byteLength(JSON.stringify(entry));
		sizes.set(entry, sizeBytes);
	}

	return sizeBytes;
};
