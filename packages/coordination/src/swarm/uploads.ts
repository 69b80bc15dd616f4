/** Requests for chunks that this host is serving, over all versions. */
export type Uploads = {
	/** Number of requests being served or waiting for the link, by peer. */
	readonly active: Map<string, number>;
	total: number;
	readonly maxUploads: number;
	readonly maxPerPeer: number;
};

export type CreateUploadsOptions = {
	/** Maximum number of requests that are served or wait for the link; each waits for those before it. @default 4 */
	readonly maxUploads?: number;
	/** @default 2 */
	readonly maxPerPeer?: number;
};

export const createUploads = ({maxUploads = 4, maxPerPeer = 2}: CreateUploadsOptions = {}): Uploads => ({
	active: new Map(), total: 0, maxUploads, maxPerPeer,
});

/**
 * A few uploads at the full rate deliver complete chunks sooner than many slow
 * ones. A request that arrives while all slots are in use is refused at once: in
 * a queue, it would wait for this host while other hosts could send the chunk.
 */
export const admitUpload = (uploads: Uploads, peer: string): boolean => {
	const own = uploads.active.get(peer) ?? 0;
	if (uploads.total >= uploads.maxUploads || own >= uploads.maxPerPeer) {
		return false;
	}

	uploads.active.set(peer, own + 1);
	uploads.total++;
	return true;
};

export const finishUpload = (uploads: Uploads, peer: string): void => {
	const own = uploads.active.get(peer) ?? 0;
	if (own === 0) {
		return;
	}

	uploads.total--;
	if (own === 1) {
		uploads.active.delete(peer);
	} else {
		uploads.active.set(peer, own - 1);
	}
};
