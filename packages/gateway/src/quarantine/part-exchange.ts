import type {Buffer} from 'node:buffer';
import {
	isUndecided, partCompletionsToRepeat, partSightingsToRepeat, type PartLedger, type PartSighting, type Random,
} from '@bitternpaddle/coordination';
import {chunk, samplePeers} from '../link/gossip.js';
import {decodePartUpdate, encodePartUpdate, type PartUpdate} from './part-update.js';

export type PartExchangeOptions = {
	readonly ledger: PartLedger;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	onUpdate(update: PartUpdate): void;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Distributes what an entry knows of crashing prompt parts, in the same way as
 * `CrashExchange`. While an exit is not explained, also tells others how many runs
 * completed and which suspected parts they had.
 */
export type PartExchange = {
	broadcast(update: Partial<PartUpdate>): void;
	/** Sends all verdicts and what else is repeated. */
	shareWith(address: string): void;
	/** Counts a completed run for the next message. */
	countCompletion(model: string, atMs: number): void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

const repeatMs = 500;
const peersPerRepeat = 2;
/** Peers that learn of completed runs in one interval; enough to tell a suspected part from others in a large fleet as well. */
const peersPerCount = 32;
/** With the usual handful of parts, keeps a datagram within one packet. */
const maxSightingsPerDatagram = 8;
const maxVerdictsPerDatagram = 2;
const maxCompletionsPerDatagram = 24;
const maxSightingsPerRepeat = 64;
const maxVerdictsPerRepeat = 16;

const rotate = <Item>(items: readonly Item[], from: number, count: number): Item[] => [...items.slice(from), ...items.slice(0, from)].slice(0, count);

export const createPartExchange = ({ledger, peers, send, onUpdate, random, nowMs}: PartExchangeOptions): PartExchange => {
	const counts = new Map<string, {count: number; fromMs: number}>();
	let repeats = 0;

	const sendTo = (addresses: readonly string[], {sightings = [], verdicts = [], completions = [], counts: sentCounts = []}: Partial<PartUpdate>): void => {
		if (addresses.length === 0) {
			return;
		}

		const sendPart = (update: Partial<PartUpdate>): void => {
			send(encodePartUpdate({
				sightings: [], verdicts: [], completions: [], counts: [], ...update,
			}, nowMs()), addresses);
		};

		for (const part of chunk(sightings, maxSightingsPerDatagram)) {
			sendPart({sightings: part});
		}

		for (const part of chunk(verdicts, maxVerdictsPerDatagram)) {
			sendPart({verdicts: part});
		}

		const completionParts = chunk(completions, maxCompletionsPerDatagram);
		for (const part of completionParts) {
			sendPart({completions: part, counts: part === completionParts.at(-1) ? sentCounts : []});
		}

		if (completionParts.length === 0 && sentCounts.length > 0) {
			sendPart({counts: sentCounts});
		}
	};

	const pickSightings = (): PartSighting[] => {
		const all = partSightingsToRepeat(ledger, nowMs());
		return all.length <= maxSightingsPerRepeat ? all : rotate(all, (repeats * maxSightingsPerRepeat) % all.length, maxSightingsPerRepeat);
	};

	const repeat = (): void => {
		const completions = partCompletionsToRepeat(ledger, nowMs());
		const verdicts = [...ledger.verdicts.values()];
		sendTo(samplePeers(peers(), peersPerRepeat, random), {
			sightings: pickSightings(), completions,
			verdicts: verdicts.length <= maxVerdictsPerRepeat ? verdicts : rotate(verdicts, (repeats * maxVerdictsPerRepeat) % verdicts.length, maxVerdictsPerRepeat),
		});
		if (counts.size > 0 && isUndecided(ledger, nowMs())) {
			sendTo(samplePeers(peers(), peersPerCount, random), {
				completions, counts: [...counts].map(([model, count]) => ({model, ...count})),
			});
		}

		counts.clear();
		repeats++;
	};

	const timer = setInterval(repeat, repeatMs);
	return {
		broadcast(update) {
			sendTo(peers(), update);
		},
		shareWith(address) {
			sendTo([address], {sightings: pickSightings(), verdicts: [...ledger.verdicts.values()], completions: partCompletionsToRepeat(ledger, nowMs())});
		},
		countCompletion(model, atMs) {
			const {count, fromMs} = counts.get(model) ?? {count: 0, fromMs: atMs};
			counts.set(model, {count: count + 1, fromMs: Math.min(fromMs, atMs)});
		},
		receive(data) {
			const update = decodePartUpdate(data, nowMs());
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
