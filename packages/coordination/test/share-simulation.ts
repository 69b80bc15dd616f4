import {
	answerShareRequest, createEntryShares, createRandom, setTeamRates, shareOf, updateEntries, applyShareAnswer, tickShares, type EntryShares, type Random, type ShareRequest, type TeamUsage,
} from '@bitternpaddle/coordination';

/** Fleet-wide rate of the only team, in tokens per second. */
export const rate = 900;
const leaseMs = 2500;
const stepMs = 100;

type Entry = {
	readonly id: string;
	readonly shares: EntryShares;
	offered: number;
	demand: number;
	lastSeenAtMs: number;
	isCutOff: boolean;
};

type Message = {readonly atMs: number; deliver(): void};

type ShareWorldOptions = {
	/** Probability in percent that a message is lost, and that it is duplicated. @default 0 */
	readonly lossPercent?: number;
	/** @default 20 */
	readonly maxDelayMs?: number;
	readonly seed?: number;
};

/**
 * Simulates entries, the messages between them, and a control host that lists the
 * entries seen within the last 3 s. Records the greatest sum of the rates that all entries could have admitted at one time.
 */
export const createShareWorld = ({lossPercent = 0, maxDelayMs = 20, seed = 1}: ShareWorldOptions = {}) => {
	const random: Random = createRandom(seed);
	const entries = new Map<string, Entry>();
	const lastSeenAtMs = new Map<string, number>();
	let messages: Message[] = [];
	let nowMs = 0;
	let startCount = 0;
	let maxUsage = 0;
	const droppedLinks = new Set<string>();

	const send = (deliver: () => void): void => {
		const copies = random.between(1, 100) <= lossPercent ? 0 : (random.between(1, 100) <= lossPercent ? 2 : 1);
		for (let copy = 0; copy < copies; copy++) {
			messages.push({atMs: nowMs + random.between(1, maxDelayMs), deliver});
		}
	};

	const sendEntryList = (entry: Entry): void => {
		if (!entry.isCutOff) {
			updateEntries(entry.shares, [...lastSeenAtMs].filter(([, atMs]) => nowMs - atMs <= 3000).map(([id]) => id), {askedAtMs: nowMs, nowMs});
		}
	};

	/** Rate that this entry admits; without a valid lease it refuses all requests. */
	const admittedRate = ({id, shares, lastSeenAtMs: leaseRenewedAtMs}: Entry): number => entries.has(id) && nowMs - leaseRenewedAtMs < leaseMs ? shareOf(shares, 't', nowMs) : 0;

	const exchange = (entry: Entry, to: string, request: ShareRequest): void => {
		const sentAtMs = nowMs;
		send(() => {
			const peer = entries.get(to);
			if (peer === undefined || droppedLinks.has(`${entry.id}>${to}`)) {
				return;
			}

			const answer = answerShareRequest(peer.shares, request, nowMs);
			if (!answer.isCounted) {
				sendEntryList(peer);
			}

			send(() => {
				if (entries.get(entry.id) === entry && !droppedLinks.has(`${to}>${entry.id}`)) {
					applyShareAnswer(entry.shares, to, answer, {sentAtMs, nowMs});
				}
			});
		});
	};

	const tick = (entry: Entry): void => {
		if (!entry.isCutOff) {
			entry.lastSeenAtMs = nowMs;
			lastSeenAtMs.set(entry.id, nowMs);
		}

		if (nowMs % 2000 === 0) {
			sendEntryList(entry);
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
			sum += admittedRate(entry);
		}

		maxUsage = Math.max(maxUsage, sum / rate);
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
		droppedLinks,
		start(id: string, demand: number): void {
			const shares = createEntryShares({entryId: id, incarnation: ++startCount});
			setTeamRates(shares, new Map([['t', rate]]));
			const entry: Entry = {
				id, shares, offered: 0, demand, lastSeenAtMs: nowMs, isCutOff: false,
			};
			entries.set(id, entry);
			lastSeenAtMs.set(id, nowMs);
			sendEntryList(entry);
		},
		stop(id: string): void {
			entries.delete(id);
		},
		entry: (id: string): Entry => entries.get(id)!,
		ids: (): string[] => [...entries.keys()],
		share: (id: string): number => Math.round(admittedRate(entries.get(id)!)),
		/** Greatest sum of admitted rates so far, relative to the limit. */
		maxUsage: (): number => maxUsage,
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
