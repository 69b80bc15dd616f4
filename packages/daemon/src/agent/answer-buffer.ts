import type {Buffer} from 'node:buffer';

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

export const createAnswerBuffer = ({windowBytes}: AnswerBufferOptions): AnswerBuffer => {
	const parts: Array<{readonly offset: number; readonly data: Buffer}> = [];
	let startOffset = 0;
	let endOffset = 0;

	const positionOf = (offset: number): number => {
		// Readers are nearly always at the end, where a backward search takes one step.
		let position = parts.length - 1;
		while (position > 0 && parts[position]!.offset > offset) {
			position--;
		}

		return position;
	};

	return {
		endOffset: () => endOffset,
		sizeBytes: () => endOffset - startOffset,
		push(part) {
			parts.push({offset: endOffset, data: part});
			endOffset += part.length;
			while (parts.length > 1 && endOffset - startOffset - parts[0]!.data.length >= windowBytes) {
				startOffset += parts.shift()!.data.length;
			}
		},
		readFrom(offset) {
			if (offset < startOffset || offset > endOffset) {
				return 'gone';
			}

			if (offset === endOffset) {
				return null;
			}

			const {offset: partOffset, data} = parts[positionOf(offset)]!;
			return data.subarray(offset - partOffset);
		},
	};
};
