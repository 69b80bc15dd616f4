import type {QueryRow} from '@bitternpaddle/protocol';

/** Progress of a load. */
export type LoadProgress = {
	readonly ready: number;
	readonly wanted: number;
	readonly heldChunks: number;
	readonly totalChunks: number;
	readonly bytes: number;
	/** Estimated; `null` until the first chunk has arrived. */
	readonly secondsLeft: number | null;
};

export type LoadView = {
	/** The fleet's row of `show fleets`. */
	readonly fleetRow: QueryRow;
	/** Rows of `show transfers` for the version. */
	readonly transferRows: readonly QueryRow[];
	readonly elapsedMs: number;
};

/** Computes the progress of a load. The estimate assumes that chunks keep arriving at the average rate so far. */
export const loadProgress = ({fleetRow, transferRows, elapsedMs}: LoadView): LoadProgress => {
	let heldChunks = 0;
	let totalChunks = 0;
	let bytes = 0;
	for (const row of transferRows) {
		const [held, total] = String(row.chunks).split('/').map(Number) as [number, number];
		heldChunks += held;
		totalChunks += total;
		bytes += Number(row.originBytes) + Number(row.peerBytes);
	}

	return {
		ready: Number(fleetRow.ready), wanted: Number(fleetRow.replicas), heldChunks, totalChunks, bytes,
		secondsLeft: heldChunks === 0 ? null : Math.ceil(elapsedMs * (totalChunks - heldChunks) / heldChunks / 1000),
	};
};

export const formatProgress = ({ready, wanted, heldChunks, totalChunks, bytes, secondsLeft}: LoadProgress): string => {
	const estimate = secondsLeft === null || secondsLeft === 0 ? '' : `, about ${secondsLeft} s left`;
	return `${ready}/${wanted} replicas ready, ${heldChunks}/${totalChunks} chunks, ${bytes.toLocaleString('en')} bytes moved${estimate}`;
};
