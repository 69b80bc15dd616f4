import {
	answerShareRequest, countEntries, createAdmission, createEntryShares, fillBuckets, finishRequest, offerRequest, setShares, setTeamRates, shareOf, takeEntries,
	takeRequest, takeShareAnswer, teamRatesOf, teamUses, tickShares, type AdmissionState, type EntryShares, type ShareAsk,
} from '@bitternpaddle/coordination';

/** How the entries divide the limit. */
export type LimitPolicy = 'equalParts' | 'lending';

type Entry = {
	readonly index: number;
	readonly admission: AdmissionState;
	readonly shares: EntryShares;
	readonly startedAtMs: number;
};

export type LimitWorldOptions = {
	readonly policy: LimitPolicy;
	readonly fleetTokensPerSecond: number;
	readonly teams: ReadonlyMap<string, number>;
	readonly entries: number;
};

/** Entries before one limit, in virtual time. */
export type LimitWorld = {
	/** `null` for an entry that is down. */
	readonly entries: Array<Entry | null>;
	/** Brings the world to this time. */
	advance(toMs: number): void;
	start(index: number): void;
	stop(index: number): void;
	/** Whether the entry lets the request through. */
	offer(index: number, requestId: string, teamId: string, cost: number): boolean;
};

const tickMs = 100;
const delayMs = 20;
const listEveryMs = 2000;
/** Control still names an entry for as long after it was heard last. */
const namedMs = 3000;

type Event = {readonly atMs: number; run(): void};

export const createLimitWorld = ({policy, fleetTokensPerSecond, teams, entries: count}: LimitWorldOptions): LimitWorld => {
	const entries: Array<Entry | null> = Array.from({length: count}, () => null);
	const heardAtMs = new Map<number, number>();
	const events: Event[] = [];
	let nowMs = 0;

	const later = (afterMs: number, run: () => void): void => {
		const atMs = nowMs + afterMs;
		const position = events.findLastIndex(event => event.atMs <= atMs);
		events.splice(position + 1, 0, {atMs, run});
	};

	const apply = ({admission, shares}: Entry): void => {
		const isLending = policy === 'lending';
		const rates = isLending ? new Map([...teams.keys()].map(teamId => [teamId, shareOf(shares, teamId, nowMs)])) : undefined;
		setShares(admission, {
			teams, entries: countEntries(shares), rates, startsEmpty: isLending,
		}, nowMs);
	};

	const send = (from: Entry, {to, request}: ShareAsk): void => {
		const sentAtMs = nowMs;
		later(delayMs, () => {
			const peer = entries[Number(to)];
			if (peer === null || peer === undefined) {
				return;
			}

			const answer = answerShareRequest(peer.shares, request, nowMs);
			if (!answer.isCounted) {
				list(peer);
			}

			apply(peer);
			later(delayMs, () => {
				if (entries[from.index] === from) {
					takeShareAnswer(from.shares, to, answer, {sentAtMs, nowMs});
					apply(from);
				}
			});
		});
	};

	const list = ({shares}: Entry): void => {
		const named = [...heardAtMs].filter(([, atMs]) => nowMs - atMs <= namedMs).map(([index]) => String(index));
		takeEntries(shares, named, {askedAtMs: nowMs, nowMs});
	};

	const tick = (entry: Entry): void => {
		if (entries[entry.index] !== entry) {
			return;
		}

		heardAtMs.set(entry.index, nowMs);
		if ((nowMs - entry.startedAtMs) % listEveryMs === 0) {
			list(entry);
		}

		const wasJoined = entry.shares.isJoined;
		const asks = tickShares(entry.shares, teamUses(entry.admission), nowMs);
		apply(entry);
		if (!wasJoined && entry.shares.isJoined && countEntries(entry.shares) === 1) {
			fillBuckets(entry.admission);
		}

		for (const ask of policy === 'lending' ? asks : []) {
			send(entry, ask);
		}

		later(tickMs, () => {
			tick(entry);
		});
	};

	return {
		entries,
		advance(toMs) {
			while (events.length > 0 && events[0]!.atMs <= toMs) {
				const event = events.shift()!;
				nowMs = event.atMs;
				event.run();
			}

			nowMs = toMs;
		},
		start(index) {
			const admission = createAdmission({fleetTokensPerSecond});
			const shares = createEntryShares({entryId: String(index), incarnation: nowMs + 1});
			setTeamRates(shares, teamRatesOf(admission, teams));
			const entry = {
				index, admission, shares, startedAtMs: nowMs,
			};
			entries[index] = entry;
			heardAtMs.set(index, nowMs);
			list(entry);
			tick(entry);
		},
		stop(index) {
			entries[index] = null;
		},
		offer(index, requestId, teamId, cost) {
			const {admission} = entries[index]!;
			const offered = offerRequest(admission, {
				requestId, teamId, target: 'm', cost, priority: 0, deadlineAtMs: Number.MAX_SAFE_INTEGER,
			}, nowMs);
			if (offered.type !== 'queued') {
				return false;
			}

			takeRequest(admission, 'm', nowMs);
			finishRequest(admission, requestId, {hasRun: true}, nowMs);
			return true;
		},
	};
};
