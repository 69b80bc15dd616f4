import type {Announcement} from '@bitternpaddle/coordination';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {includesDeparture, isSameDeparture, type Departure} from '@bitternpaddle/state';
import {RpcError} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import type {DocumentLog} from './document-log.js';

/**
 * How long the log keeps a departure after it is committed: late announcements of an endpoint,
 * held up by a partition, must not restore it. As long as the registries keep endpoints that have left.
 */
const retentionMs = 60_000;
/** Bounds the size of a log entry when hundreds of endpoints leave at once. */
const maxDeparturesPerEntry = 256;

export type DeparturesOptions = {
	readonly log: Pick<DocumentLog, 'state' | 'isLeader' | 'propose'>;
	/** Whether all known members of the log can read departures. */
	isReadable(): boolean;
	/** Called with each departure that the log has gained. */
	onDeparture(departure: Departure): void;
	nowMs(): number;
};

/** The departures of endpoints in the log of the core hosts. */
export type Departures = {
	/** Whether the committed log that this host holds makes the departure outlast all processes. `readySequence`: that of the latest announcement of this start as `ready`, -1 if there is none. */
	isRecorded(departure: Departure, readySequence: number): boolean;
	/** Appends a departure as the leader; resolves once a majority has stored it, rejects if that is not confirmed. */
	append(departure: Departure): Promise<void>;
	/** Must be called when the committed log has changed. */
	update(): void;
	/** Number of departures in the log. */
	count(): number;
};

type QueuedDeparture = {readonly departure: Departure; resolve(): void; reject(error: unknown): void};
type KeptDeparture = {readonly departure: Departure; readonly sinceMs: number};

const notLeader = (): RpcError => new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');

/** The departure that a draining endpoint announces. */
export const drainingDeparture = ({id, startedAtMs, sequence, serviceName, address, zoneId, slots}: Announcement): Departure => ({
	state: 'draining', id, startedAtMs, sequence, serviceName, address, zoneId, slots,
});

/** The announcement by which a registry records a departure; that of an endpoint that has left states no more than which start it was. */
export const announcementOfDeparture = (departure: Departure): Announcement => match(departure)
	.with({state: 'draining'}, draining => ({...draining, models: []}))
	.with({state: 'gone'}, gone => ({
		...gone, sequence: 0, serviceName: '', address: '', zoneId: '', slots: 0, models: [],
	}))
	.exhaustive();

export const createDepartures = ({log, isReadable, onDeparture, nowMs}: DeparturesOptions): Departures => {
	/** Departures in the committed log, with the time at which this process learned of each. */
	let kept = new Map<string, KeptDeparture>();
	let queue: QueuedDeparture[] = [];
	let isAppending = false;

	const update = (): void => {
		const nextKept = new Map<string, KeptDeparture>();
		for (const departure of log.state().departures ?? []) {
			const known = kept.get(departure.id);
			const isKnown = known !== undefined && isSameDeparture(known.departure, departure);
			nextKept.set(departure.id, isKnown ? known : {departure, sinceMs: nowMs()});
			if (!isKnown) {
				onDeparture(departure);
			}
		}

		kept = nextKept;
	};

	const expired = (): Departure[] => [...kept.values()]
		.filter(({sinceMs}) => nowMs() - sinceMs > retentionMs)
		.slice(0, maxDeparturesPerEntry)
		.map(({departure}) => departure);

	const appendBatch = async (batch: readonly QueuedDeparture[]): Promise<void> => {
		try {
			if (!log.isLeader()) {
				throw notLeader();
			}

			await log.propose({kind: 'departures', added: batch.map(({departure}) => departure), removed: expired()});
			for (const {resolve} of batch) {
				resolve();
			}
		} catch (error) {
			for (const {reject} of batch) {
				reject(error);
			}
		}
	};

	/** Departures that arrive while an entry is being committed share the next one. */
	const appendQueued = async (): Promise<void> => {
		isAppending = true;
		while (queue.length > 0) {
			const batch = queue.slice(0, maxDeparturesPerEntry);
			queue = queue.slice(maxDeparturesPerEntry);
			await appendBatch(batch);
		}

		isAppending = false;
	};

	return {
		update,
		isRecorded(departure, readySequence) {
			const known = kept.get(departure.id)?.departure;
			if (known === undefined) {
				return false;
			}

			// An endpoint repeats that it drains with increasing sequences; one record covers these.
			return includesDeparture(known, departure.state === 'draining' ? {...departure, sequence: readySequence + 1} : departure);
		},
		async append(departure) {
			if (!log.isLeader()) {
				throw notLeader();
			}

			// A member of an earlier version would reject the entry and every later one.
			if (!isReadable()) {
				return;
			}

			await new Promise<void>((resolve, reject) => {
				queue.push({departure, resolve, reject});
				if (!isAppending) {
					void appendQueued();
				}
			});
		},
		count: () => kept.size,
	};
};
