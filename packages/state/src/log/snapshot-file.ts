import type {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {Either, Left} from 'purify-ts';
import * as z from 'zod';
import {DamagedLogError} from './frames.js';
import {snapshotSchema, type Snapshot} from './records.js';

const snapshotFileSchema = z.object({crc: z.number(), body: z.string()});

/** Characters of the state per part; escaping it twice and computing the checksum takes about 0.2 ms. */
const partCharacters = 65_536;

/** Escapes `text` as in a JSON string, without the enclosing quotes. */
const escapeJsonText = (text: string): string => JSON.stringify(text).slice(1, -1);

/** Whether a part that ends here would split a surrogate pair, whose halves cannot be encoded as UTF-8 separately. */
const splitsSurrogatePair = (text: string, end: number): boolean => text.codePointAt(end - 1)! > 0xFF_FF;

function * stateParts(state: string): Generator<string> {
	let start = 0;
	while (start < state.length) {
		const end = Math.min(start + partCharacters, state.length);
		const next = splitsSurrogatePair(state, end) ? end + 1 : end;
		yield state.slice(start, next);
		start = next;
	}
}

/**
 * Yields `{"body": the snapshot as JSON, "crc": the checksum of body}` in parts, so
 * that the writer can yield to the event loop in between. The checksum comes
 * last, because it is computed while the body is written.
 */
export function * snapshotFileParts({state, ...head}: Snapshot): Generator<string> {
	let crc = 0;
	const part = (body: string): string => {
		crc = crc32(body, crc);
		return escapeJsonText(body);
	};

	yield `{"body":"${part(`${JSON.stringify(head).slice(0, -1)},"state":"`)}`;
	for (const text of stateParts(state)) {
		yield part(escapeJsonText(text));
	}

	yield `${part('"}')}","crc":${crc}}`;
}

export const readSnapshot = (data: Buffer, filePath: string): Snapshot => Either
	.encase(() => snapshotFileSchema.parse(JSON.parse(data.toString())))
	.chain(({crc, body}) => crc32(body) === crc ? Either.encase(() => snapshotSchema.parse(JSON.parse(body))) : Left(new Error('checksum mismatch')))
	.mapLeft(({message}) => new DamagedLogError(`${filePath} is damaged (${message}); restore this host from its peers`))
	.unsafeCoerce();
