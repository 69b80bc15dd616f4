import {createHash} from 'node:crypto';
import {setImmediate as yieldToEventLoop} from 'node:timers/promises';

const sliceBytes = 256 * 1024;

/** A SHA-256 that yields to the event loop between slices: hashing a chunk of several megabytes at once would delay live requests. */
export type PacedDigest = {
	update(data: Uint8Array): Promise<void>;
	/** Returns `sha256:` followed by the hexadecimal digest. */
	end(): string;
};

export const createPacedDigest = (): PacedDigest => {
	const hash = createHash('sha256');
	return {
		async update(data) {
			for (let offset = 0; offset < data.length; offset += sliceBytes) {
				hash.update(data.subarray(offset, offset + sliceBytes));
				await yieldToEventLoop();
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
