import type {Buffer} from 'node:buffer';

export type AnswerBufferOptions = {
	/** Bytes behind the newest that can still be read. */
	readonly windowBytes: number;
};

/**
 * The newest part of an answer, by byte offset. An entry whose connection was
 * cut reads on from here; bounded, so that a long answer does not fill the agent.
 */
export type AnswerBuffer = {
	/** Offset of the next byte to come. */
	endOffset(): number;
	sizeBytes(): number;
	push(part: Buffer): void;
	/** What follows `offset`, `null` if nothing does yet, `gone` if it is no longer held. */
	readFrom(offset: number): Buffer | null | 'gone';
};

export const createAnswerBuffer = ({windowBytes}: AnswerBufferOptions): AnswerBuffer => {
	const parts: Array<{readonly offset: number; readonly data: Buffer}> = [];
	let startOffset = 0;
	let endOffset = 0;

	const positionOf = (offset: number): number => {
		// Readers are nearly always at the end; searching from there is one step.
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
