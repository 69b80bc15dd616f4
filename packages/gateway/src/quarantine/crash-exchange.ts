import type {Buffer} from 'node:buffer';
import {
	clearancesToRepeat, sightingsToRepeat, type CrashLedger, type Random,
} from '@bitternpaddle/coordination';
import {chunk, drawPeers} from '../link/gossip.js';
import {decodeCrashNews, encodeCrashNews, type CrashNews} from './crash-news.js';

export type CrashExchangeOptions = {
	readonly ledger: CrashLedger;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	onNews(news: CrashNews): void;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Brings what an entry saw to all others: at once to each of them, and again and
 * again to a few, since datagrams get lost, and an entry may stand still, be cut off
 * or start anew. No core host is needed for it.
 */
export type CrashExchange = {
	tell(news: Pick<CrashNews, 'sightings' | 'clearances'>): void;
	/** `false` if the datagram is of another kind. */
	hear(data: Buffer): boolean;
	close(): void;
};

/** Between repetitions; an entry that missed all before knows after two or three of them. */
const repeatMs = 500;
/** Told at each repetition; every entry is told by as many in the mean. */
const peersPerRepeat = 2;
/** In a datagram: with a verdict on each about 80 bytes, which fit into one packet. */
const mostSightings = 16;
const mostClearances = 20;
/** In one repetition; where there is more, the next one goes on behind it. */
const mostRepeated = 60;

export const createCrashExchange = ({ledger, peers, send, onNews, random, nowMs}: CrashExchangeOptions): CrashExchange => {
	let repeatedFrom = 0;

	const sendTo = (addresses: readonly string[], {sightings, clearances}: Pick<CrashNews, 'sightings' | 'clearances'>): void => {
		if (addresses.length === 0) {
			return;
		}

		for (const part of chunk(sightings, mostSightings)) {
			const condemned = [...new Set(part.map(({fingerprint}) => fingerprint))].filter(fingerprint => ledger.verdicts.has(fingerprint));
			send(encodeCrashNews({sightings: part, condemned, clearances: []}, nowMs()), addresses);
		}

		for (const part of chunk(clearances, mostClearances)) {
			send(encodeCrashNews({sightings: [], condemned: [], clearances: part}, nowMs()), addresses);
		}
	};

	const repeat = (): void => {
		const all = sightingsToRepeat(ledger, nowMs());
		repeatedFrom = repeatedFrom < all.length ? repeatedFrom : 0;
		const sightings = all.slice(repeatedFrom, repeatedFrom + mostRepeated);
		repeatedFrom += sightings.length;
		sendTo(drawPeers(peers(), peersPerRepeat, random), {sightings, clearances: clearancesToRepeat(ledger, nowMs())});
	};

	const timer = setInterval(repeat, repeatMs);
	return {
		tell(news) {
			sendTo(peers(), news);
		},
		hear(data) {
			const news = decodeCrashNews(data, nowMs());
			if (news === null) {
				return false;
			}

			onNews(news);
			return true;
		},
		close() {
			clearInterval(timer);
		},
	};
};
