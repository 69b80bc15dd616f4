import {Buffer} from 'node:buffer';

export type AnswerBufferOptions = {
	/** How many of the newest bytes can still be read. */
	readonly windowBytes: number;
};

/**
 * The most recent part of an answer, addressed by byte offset. An entry that
 * lost its connection resumes reading from here; bounded, so that a long answer
 * does not exhaust the agent's memory.
 */
export type AnswerBuffer = {
	/** Offset of the next byte to be appended. */
	endOffset(): number;
	sizeBytes(): number;
	push(part: Buffer): void;
	/** The bytes from `offset` on, `null` if none have arrived yet, `gone` if they have been discarded. */
	readFrom(offset: number): Buffer | null | 'gone';
};

/** A part of the answer, or several small ones in one buffer that is not full yet. */
type Block = {readonly offset: number; readonly data: Buffer; sizeBytes: number};

/** Smaller parts share a buffer: each buffer takes some hundred bytes beside its own. */
const minOwnBlockBytes = 4096;

export const createAnswerBuffer = ({windowBytes}: AnswerBufferOptions): AnswerBuffer => {
	const blocks: Block[] = [];
	let startOffset = 0;
	let endOffset = 0;

	const positionOf = (offset: number): number => {
		// Readers are nearly always at the end, where a backward search takes one step.
		let position = blocks.length - 1;
		while (position > 0 && blocks[position]!.offset > offset) {
			position--;
		}

		return position;
	};

	/** Copies a small part into the last block if it fits. */
	const appendToLast = (part: Buffer): boolean => {
		const last = blocks.at(-1);
		if (last === undefined || last.sizeBytes + part.length > last.data.length) {
			return false;
		}

		part.copy(last.data, last.sizeBytes);
		last.sizeBytes += part.length;
		return true;
	};

	const addBlock = (part: Buffer): void => {
		if (part.length >= minOwnBlockBytes) {
			blocks.push({offset: endOffset, data: part, sizeBytes: part.length});
			return;
		}

		const data = Buffer.allocUnsafeSlow(minOwnBlockBytes);
		part.copy(data);
		blocks.push({offset: endOffset, data, sizeBytes: part.length});
	};

	return {
		endOffset: () => endOffset,
		sizeBytes: () => endOffset - startOffset,
		push(part) {
			if (!appendToLast(part)) {
				addBlock(part);
			}

			endOffset += part.length;
			while (blocks.length > 1 && endOffset - startOffset - blocks[0]!.sizeBytes >= windowBytes) {
				startOffset += blocks.shift()!.sizeBytes;
			}
		},
		readFrom(offset) {
			if (offset < startOffset || offset > endOffset) {
				return 'gone';
			}

			if (offset === endOffset) {
				return null;
			}

			const {offset: blockOffset, data, sizeBytes} = blocks[positionOf(offset)]!;
			return data.subarray(offset - blockOffset, sizeBytes);
		},
	};
};
