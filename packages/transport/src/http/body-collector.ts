import {Buffer} from 'node:buffer';

/** Collects the parts of a body in a few blocks, so that its memory follows its size and not the number of its parts. */
export type BodyCollector = {
	/** Takes the next part; returns whether the memory held has changed. */
	add(part: Buffer): boolean;
	/** Bytes of the body so far. */
	sizeBytes(): number;
	/** Bytes of memory that the body takes. */
	heldBytes(): number;
	/** The body in one piece; the collector is empty afterwards. */
	take(): Buffer;
};

const minBlockBytes = 1024;
const maxBlockBytes = 262_144;
/** A part of this size is kept as it is: what Node.js keeps for it besides is small against its bytes. */
const minKeptPartBytes = 4096;
/** What a buffer takes beside its bytes. */
const bufferOverheadBytes = 512;

export const createBodyCollector = (): BodyCollector => {
	let blocks: Buffer[] = [];
	/** The block that is being filled; `null` if the last one is full. */
	let open: Buffer | null = null;
	let openBytes = 0;
	let sizeBytes = 0;
	let heldBytes = 0;

	const closeBlock = (block: Buffer): void => {
		blocks.push(block);
		open = null;
		openBytes = 0;
	};

	const hold = (allocatedBytes: number): void => {
		heldBytes += allocatedBytes + bufferOverheadBytes;
	};

	/** Copies what fits into the open block; returns the number of bytes copied. */
	const fill = (part: Buffer, offset: number): number => {
		if (open === null) {
			return 0;
		}

		const copiedBytes = Math.min(part.length - offset, open.length - openBytes);
		if (copiedBytes === 1) {
			open[openBytes] = part[offset]!;
		} else {
			part.copy(open, openBytes, offset, offset + copiedBytes);
		}

		openBytes += copiedBytes;
		if (openBytes === open.length) {
			closeBlock(open);
		}

		return copiedBytes;
	};

	return {
		add(part) {
			const heldBefore = heldBytes;
			const copiedBytes = fill(part, 0);
			const restBytes = part.length - copiedBytes;
			if (restBytes >= minKeptPartBytes) {
				hold(part.length);
				blocks.push(part.subarray(copiedBytes));
			} else if (restBytes > 0) {
				open = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(minBlockBytes, restBytes, sizeBytes)));
				hold(open.length);
				fill(part, copiedBytes);
			}

			sizeBytes += part.length;
			return heldBytes !== heldBefore;
		},
		sizeBytes: () => sizeBytes,
		heldBytes: () => heldBytes,
		take() {
			const last = open?.subarray(0, openBytes);
			const all = last === undefined ? blocks : [...blocks, last];
			const body = all.length === 1 ? all[0]! : Buffer.concat(all);
			blocks = [];
			open = null;
			openBytes = 0;
			sizeBytes = 0;
			heldBytes = 0;
			return body;
		},
	};
};
