import type {Buffer} from 'node:buffer';
import {
	clearancesToRepeat, sightingsToRepeat, type CrashLedger, type Random,
} from '@bitternpaddle/coordination';
import {chunk, samplePeers} from '../link/gossip.js';
import {decodeCrashUpdate, encodeCrashUpdate, type CrashUpdate} from './crash-update.js';

export type CrashExchangeOptions = {
	readonly ledger: CrashLedger;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	onUpdate(update: CrashUpdate): void;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Distributes the crash sightings of an entry: immediately to all other entries, and
 * then periodically to a few of them, because datagrams get lost and an entry may be
 * stalled, disconnected or restarted. Does not depend on core hosts.
 */
export type CrashExchange = {
	broadcast(update: Pick<CrashUpdate, 'sightings' | 'clearances'>): void;
	/** Sends the evidence of the verdicts and all else that is repeated. */
	shareWith(address: string): void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

/** Interval at which sightings are sent again; an entry that missed all earlier updates has received them after two or three intervals. */
const repeatMs = 500;
/** Peers that each repetition is sent to; on average, every entry also receives from this many peers. */
const peersPerRepeat = 2;
/** At about 80 bytes per sighting with a verdict, keeps a datagram within one packet. */
const maxSightingsPerDatagram = 16;
const maxClearancesPerDatagram = 20;
/** Sightings in one repetition; the next one continues after them. */
const maxSightingsPerRepeat = 60;
/** Sightings for an entry that starts; their datagrams fit into a socket's buffer. The rest follows with the repetitions. */
const maxSightingsPerSync = 240;

export const createCrashExchange = ({ledger, peers, send, onUpdate, random, nowMs}: CrashExchangeOptions): CrashExchange => {
	let repeatedFrom = 0;

	const sendTo = (addresses: readonly string[], {sightings, clearances}: Pick<CrashUpdate, 'sightings' | 'clearances'>): void => {
		if (addresses.length === 0) {
			return;
		}

		for (const part of chunk(sightings, maxSightingsPerDatagram)) {
			const condemned = [...new Set(part.map(({fingerprint}) => fingerprint))].filter(fingerprint => ledger.verdicts.has(fingerprint));
			send(encodeCrashUpdate({sightings: part, condemned, clearances: []}, nowMs()), addresses);
		}

		for (const part of chunk(clearances, maxClearancesPerDatagram)) {
			send(encodeCrashUpdate({sightings: [], condemned: [], clearances: part}, nowMs()), addresses);
		}
	};

	const repeat = (): void => {
		const all = sightingsToRepeat(ledger, nowMs());
		repeatedFrom = repeatedFrom < all.length ? repeatedFrom : 0;
		const sightings = all.slice(repeatedFrom, repeatedFrom + maxSightingsPerRepeat);
		repeatedFrom += sightings.length;
		sendTo(samplePeers(peers(), peersPerRepeat, random), {sightings, clearances: clearancesToRepeat(ledger, nowMs())});
	};

	const timer = setInterval(repeat, repeatMs);
	return {
		broadcast(update) {
			sendTo(peers(), update);
		},
		shareWith(address) {
			sendTo([address], {sightings: sightingsToRepeat(ledger, nowMs()).slice(0, maxSightingsPerSync), clearances: clearancesToRepeat(ledger, nowMs())});
		},
		receive(data) {
			const update = decodeCrashUpdate(data, nowMs());
			if (update === null) {
				return false;
			}

			onUpdate(update);
			return true;
		},
		close() {
			clearInterval(timer);
		},
	};
};
