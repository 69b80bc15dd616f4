import {
	answerShareRequest, createEntryShares, createRandom, setTeamRates, shareOf, takeEntries, takeShareAnswer, tickShares, type EntryShares, type Random, type ShareRequest, type TeamUsage,
} from '@bitternpaddle/coordination';

/** Tokens a second of the one team over all entries. */
export const rate = 900;
const leaseMs = 2500;
const stepMs = 100;

type Entry = {
	readonly id: string;
	readonly shares: EntryShares;
	offered: number;
	demand: number;
	heardAtMs: number;
	isCut: boolean;
};

type Message = {readonly atMs: number; deliver(): void};

type WorldOptions = {
	/** Chance in 100 that a message is lost, and that it comes twice. @default 0 */
	readonly lossPercent?: number;
	/** @default 20 */
	readonly longestDelayMs?: number;
	readonly seed?: number;
};

/**
 * Entries, a control that names those it heard within the last 3 s, and messages between them.
 * Keeps the greatest sum that all entries might have let through at once.
 */
export const createShareWorld = ({lossPercent = 0, longestDelayMs = 20, seed = 1}: WorldOptions = {}) => {
	const random: Random = createRandom(seed);
	const entries = new Map<string, Entry>();
	const heardAtMs = new Map<string, number>();
	let messages: Message[] = [];
	let nowMs = 0;
	let starts = 0;
	let worst = 0;
	const dropped = new Set<string>();

	const send = (deliver: () => void): void => {
		const copies = random.between(1, 100) <= lossPercent ? 0 : (random.between(1, 100) <= lossPercent ? 2 : 1);
		for (let copy = 0; copy < copies; copy++) {
			messages.push({atMs: nowMs + random.between(1, longestDelayMs), deliver});
		}
	};

	const list = (entry: Entry): void => {
		if (!entry.isCut) {
			takeEntries(entry.shares, [...heardAtMs].filter(([, atMs]) => nowMs - atMs <= 3000).map(([id]) => id), {askedAtMs: nowMs, nowMs});
		}
	};

	/** What this entry lets through; without its lease it refuses all. */
	const spends = ({id, shares, heardAtMs: leasedAtMs}: Entry): number => entries.has(id) && nowMs - leasedAtMs < leaseMs ? shareOf(shares, 't', nowMs) : 0;

	const exchange = (entry: Entry, to: string, request: ShareRequest): void => {
		const sentAtMs = nowMs;
		send(() => {
			const peer = entries.get(to);
			if (peer === undefined || dropped.has(`${entry.id}>${to}`)) {
				return;
			}

			const answer = answerShareRequest(peer.shares, request, nowMs);
			if (!answer.isCounted) {
				list(peer);
			}

			send(() => {
				if (entries.get(entry.id) === entry && !dropped.has(`${to}>${entry.id}`)) {
					takeShareAnswer(entry.shares, to, answer, {sentAtMs, nowMs});
				}
			});
		});
	};

	const tick = (entry: Entry): void => {
		if (!entry.isCut) {
			entry.heardAtMs = nowMs;
			heardAtMs.set(entry.id, nowMs);
		}

		if (nowMs % 2000 === 0) {
			list(entry);
		}

		entry.offered += entry.demand * stepMs / 1000;
		const use: TeamUsage = {offered: entry.offered, level: 0, burst: 0};
		for (const {to, request} of tickShares(entry.shares, new Map([['t', use]]), nowMs)) {
			exchange(entry, to, request);
		}
	};

	const check = (): void => {
		let sum = 0;
		for (const entry of entries.values()) {
			sum += spends(entry);
		}

		worst = Math.max(worst, sum / rate);
	};

	const deliverDue = (): void => {
		const due = messages.filter(({atMs}) => atMs <= nowMs);
		messages = messages.filter(({atMs}) => atMs > nowMs);
		for (const {deliver} of due) {
			deliver();
			check();
		}
	};

	return {
		dropped,
		start(id: string, demand: number): void {
			const shares = createEntryShares({entryId: id, incarnation: ++starts});
			setTeamRates(shares, new Map([['t', rate]]));
			const entry: Entry = {
				id, shares, offered: 0, demand, heardAtMs: nowMs, isCut: false,
			};
			entries.set(id, entry);
			heardAtMs.set(id, nowMs);
			list(entry);
		},
		stop(id: string): void {
			entries.delete(id);
		},
		entry: (id: string): Entry => entries.get(id)!,
		ids: (): string[] => [...entries.keys()],
		share: (id: string): number => Math.round(spends(entries.get(id)!)),
		/** Of all times, over the limit. */
		worst: (): number => worst,
		run(forMs: number): void {
			const untilMs = nowMs + forMs;
			while (nowMs < untilMs) {
				nowMs += stepMs;
				deliverDue();
				for (const entry of entries.values()) {
					tick(entry);
				}

				check();
			}
		},
	};
};

export type ShareWorld = ReturnType<typeof createShareWorld>;
