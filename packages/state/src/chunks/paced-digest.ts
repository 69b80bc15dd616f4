import {createHash} from 'node:crypto';
import {setImmediate as nextTurn} from 'node:timers/promises';

const pieceBytes = 256 * 1024;

/** A SHA-256 that lets others have the loop between pieces: a chunk of several megabytes at once would hold up live requests. */
export type PacedDigest = {
	update(data: Uint8Array): Promise<void>;
	/** Gives `sha256:` and the hexadecimal digest. */
	end(): string;
};

export const createPacedDigest = (): PacedDigest => {
	const hash = createHash('sha256');
	return {
		async update(data) {
			for (let offset = 0; offset < data.length; offset += pieceBytes) {
				hash.update(data.subarray(offset, offset + pieceBytes));
				await nextTurn();
			}
		},
		end: () => `sha256:${hash.digest('hex')}`,
	};
};

export const digestPaced = async (data: Uint8Array): Promise<string> => {
	const digest = createPacedDigest();
	await digest.update(data);
	return digest.end();
};
