import {
	answerShareRequest, countEntries, createAdmission, createEntryShares, fillBuckets, finishRequest, offerRequest, setShares, setTeamRates, shareOf, updateEntries,
	dequeueRequest, applyShareAnswer, teamRatesOf, teamUsages, tickShares, type AdmissionState, type EntryShares, type OutgoingShareRequest,
} from '@bitternpaddle/coordination';

/** How the entries divide the limit: into equal shares, or with entries that lend unused shares to each other. */
export type LimitPolicy = 'equalParts' | 'lending';

type Entry = {
	readonly index: number;
	readonly admission: AdmissionState;
	readonly shares: EntryShares;
	readonly startedAtMs: number;
};

export type LimitSimulationOptions = {
	readonly policy: LimitPolicy;
	readonly fleetTokensPerSecond: number;
	readonly teams: ReadonlyMap<string, number>;
	readonly entries: number;
};

/** A simulation of the entries that enforce one limit, in virtual time. */
export type LimitSimulation = {
	/** The entries by index; `null` for an entry that is down. */
	readonly entries: Array<Entry | null>;
	/** Runs all events up to this time. */
	advance(toMs: number): void;
	start(index: number): void;
	stop(index: number): void;
	/** Returns whether the entry admits the request. */
	offer(index: number, requestId: string, teamId: string, cost: number): boolean;
};

const tickMs = 100;
const networkDelayMs = 20;
const listIntervalMs = 2000;
/** How long control keeps an entry in its list after the entry's last report. */
const listedMs = 3000;

type Event = {readonly atMs: number; run(): void};

export const createLimitSimulation = ({policy, fleetTokensPerSecond, teams, entries: count}: LimitSimulationOptions): LimitSimulation => {
	const entries: Array<Entry | null> = Array.from({length: count}, () => null);
	const lastReportAtMs = new Map<number, number>();
	const events: Event[] = [];
	let nowMs = 0;

	const schedule = (afterMs: number, run: () => void): void => {
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

	const send = (from: Entry, {to, request}: OutgoingShareRequest): void => {
		const sentAtMs = nowMs;
		schedule(networkDelayMs, () => {
			const peer = entries[Number(to)];
			if (peer === null || peer === undefined) {
				return;
			}

			const answer = answerShareRequest(peer.shares, request, nowMs);
			if (!answer.isCounted) {
				sendEntryList(peer);
			}

			apply(peer);
			schedule(networkDelayMs, () => {
				if (entries[from.index] === from) {
					applyShareAnswer(from.shares, to, answer, {sentAtMs, nowMs});
					apply(from);
				}
			});
		});
	};

	const sendEntryList = ({shares}: Entry): void => {
		const listed = [...lastReportAtMs].filter(([, atMs]) => nowMs - atMs <= listedMs).map(([index]) => String(index));
		updateEntries(shares, listed, {askedAtMs: nowMs, nowMs});
	};

	const tick = (entry: Entry): void => {
		if (entries[entry.index] !== entry) {
			return;
		}

		lastReportAtMs.set(entry.index, nowMs);
		if ((nowMs - entry.startedAtMs) % listIntervalMs === 0) {
			sendEntryList(entry);
		}

		const wasJoined = entry.shares.isJoined;
		const shareRequests = tickShares(entry.shares, teamUsages(entry.admission), nowMs);
		apply(entry);
		if (!wasJoined && entry.shares.isJoined && countEntries(entry.shares) === 1) {
			fillBuckets(entry.admission);
		}

		for (const shareRequest of policy === 'lending' ? shareRequests : []) {
			send(entry, shareRequest);
		}

		schedule(tickMs, () => {
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
			lastReportAtMs.set(index, nowMs);
			sendEntryList(entry);
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

			dequeueRequest(admission, 'm', nowMs);
			finishRequest(admission, requestId, {hasRun: true}, nowMs);
			return true;
		},
	};
};
