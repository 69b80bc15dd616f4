import {
	answerShareRequest, countEntries, createEntryShares, fillBuckets, setShares, setTeamRates, shareOf, takeEntries, takeShareAnswer, teamRatesOf, teamUses, tickShares,
	type AdmissionState, type ShareAnswer, type ShareAsk, type ShareRequest,
} from '@bitternpaddle/coordination';

/** Address by entry. */
export type EntryAddresses = ReadonlyMap<string, string>;

export type LimitSharesOptions = {
	readonly entryId: string;
	readonly admission: AdmissionState;
	/** All entries that control knows. */
	listEntries(): Promise<EntryAddresses>;
	/** Asks another entry for a part of its share. */
	askShares(address: string, request: ShareRequest): Promise<ShareAnswer>;
};

/** This entry's part of the fleet-wide limit, kept in its admission. */
export type LimitShares = {
	entryIds(): readonly string[];
	setTeams(teams: ReadonlyMap<string, number>, nowMs: number): void;
	tick(nowMs: number): void;
	answer(request: ShareRequest): ShareAnswer;
};

const shortestListMs = 2000;
const longestListMs = 10_000;
const listMsPerEntry = 50;
const listRetryMs = 500;

/** With more entries each asks less often, so that control answers about as many. */
const listEveryMs = (entries: number): number => Math.min(longestListMs, Math.max(shortestListMs, entries * listMsPerEntry));

export const createLimitShares = ({entryId, admission, listEntries, askShares}: LimitSharesOptions): LimitShares => {
	const shares = createEntryShares({entryId, incarnation: Date.now()});
	let teams: ReadonlyMap<string, number> = new Map();
	let addresses: EntryAddresses = new Map();
	let listDueAtMs = 0;
	let isListing = false;

	const apply = (nowMs: number): void => {
		const rates = new Map([...teams.keys()].map(teamId => [teamId, shareOf(shares, teamId, nowMs)]));
		setShares(admission, {
			teams, entries: countEntries(shares), rates, startsEmpty: !shares.isJoined,
		}, nowMs);
	};

	const list = async (): Promise<void> => {
		if (isListing) {
			return;
		}

		isListing = true;
		const askedAtMs = performance.now();
		try {
			addresses = await listEntries();
			takeEntries(shares, [...addresses.keys()], {askedAtMs, nowMs: performance.now()});
		} catch {
			// Without control the last known entries share the limit on, until this entry would count as gone.
		} finally {
			isListing = false;
			const isNamed = shares.namedAtMs >= askedAtMs;
			listDueAtMs = performance.now() + (isNamed ? listEveryMs(countEntries(shares)) : listRetryMs);
		}
	};

	const ask = async ({to, request}: ShareAsk): Promise<void> => {
		const address = addresses.get(to);
		if (address === undefined) {
			return;
		}

		const sentAtMs = performance.now();
		try {
			const answer = await askShares(address, request);
			takeShareAnswer(shares, to, answer, {sentAtMs, nowMs: performance.now()});
		} catch {
			// An entry that is silent lends nothing; what it lent ends with its time.
		}
	};

	return {
		entryIds: () => [entryId, ...shares.members.keys()],
		setTeams(newTeams, nowMs) {
			teams = newTeams;
			setTeamRates(shares, teamRatesOf(admission, teams));
			apply(nowMs);
		},
		tick(nowMs) {
			if (nowMs >= listDueAtMs) {
				void list();
			}

			const wasJoined = shares.isJoined;
			const asks = tickShares(shares, teamUses(admission), nowMs);
			apply(nowMs);
			if (!wasJoined && shares.isJoined && countEntries(shares) === 1) {
				fillBuckets(admission);
			}

			for (const one of asks) {
				void ask(one);
			}
		},
		answer(request) {
			const nowMs = performance.now();
			const answer = answerShareRequest(shares, request, nowMs);
			if (!answer.isCounted) {
				listDueAtMs = Math.min(listDueAtMs, nowMs + listRetryMs);
			}

			apply(nowMs);
			return answer;
		},
	};
};
