import {
	answerShareRequest, countEntries, createEntryShares, fillBuckets, setShares, setTeamRates, shareOf, updateEntries, applyShareAnswer, teamRatesOf, teamUsages, tickShares,
	type AdmissionState, type ShareAnswer, type OutgoingShareRequest, type ShareRequest,
} from '@bitternpaddle/coordination';

/** Addresses by entry id. */
export type EntryAddresses = ReadonlyMap<string, string>;

export type LimitSharesOptions = {
	readonly entryId: string;
	readonly admission: AdmissionState;
	/** Lists all entries that control knows. */
	listEntries(): Promise<EntryAddresses>;
	/** Requests part of another entry's share. */
	requestShares(address: string, request: ShareRequest): Promise<ShareAnswer>;
};

/** This entry's share of the fleet-wide limit, applied to its admission. */
export type LimitShares = {
	entryIds(): readonly string[];
	setTeams(teams: ReadonlyMap<string, number>, nowMs: number): void;
	tick(nowMs: number): void;
	answer(request: ShareRequest): ShareAnswer;
};

const minListIntervalMs = 2000;
const maxListIntervalMs = 10_000;
const listIntervalMsPerEntry = 50;
const listRetryMs = 500;

/** Grows with the number of entries, so that the request rate at control stays about constant. */
const listIntervalMs = (entries: number): number => Math.min(maxListIntervalMs, Math.max(minListIntervalMs, entries * listIntervalMsPerEntry));

export const createLimitShares = ({entryId, admission, listEntries, requestShares}: LimitSharesOptions): LimitShares => {
	const shares = createEntryShares({entryId, incarnation: Date.now()});
	let teams: ReadonlyMap<string, number> = new Map();
	let addresses: EntryAddresses = new Map();
	let nextListAtMs = 0;
	let isRefreshing = false;

	const apply = (nowMs: number): void => {
		const rates = new Map([...teams.keys()].map(teamId => [teamId, shareOf(shares, teamId, nowMs)]));
		setShares(admission, {
			teams, entries: countEntries(shares), rates, startsEmpty: !shares.isJoined,
		}, nowMs);
	};

	const refreshEntries = async (): Promise<void> => {
		if (isRefreshing) {
			return;
		}

		isRefreshing = true;
		const askedAtMs = performance.now();
		try {
			addresses = await listEntries();
			updateEntries(shares, [...addresses.keys()], {askedAtMs, nowMs: performance.now()});
		} catch {
			// Without control, the last known entries continue to share the limit until this entry would be considered lost.
		} finally {
			isRefreshing = false;
			const isListed = shares.lastListedAtMs >= askedAtMs;
			nextListAtMs = performance.now() + (isListed ? listIntervalMs(countEntries(shares)) : listRetryMs);
		}
	};

	const requestShare = async ({to, request}: OutgoingShareRequest): Promise<void> => {
		const address = addresses.get(to);
		if (address === undefined) {
			return;
		}

		const sentAtMs = performance.now();
		try {
			const answer = await requestShares(address, request);
			applyShareAnswer(shares, to, answer, {sentAtMs, nowMs: performance.now()});
		} catch {
			// An entry that does not answer lends nothing; its earlier loans expire.
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
			if (nowMs >= nextListAtMs) {
				void refreshEntries();
			}

			const wasJoined = shares.isJoined;
			const shareRequests = tickShares(shares, teamUsages(admission), nowMs);
			apply(nowMs);
			if (!wasJoined && shares.isJoined && countEntries(shares) === 1) {
				fillBuckets(admission);
			}

			for (const shareRequest of shareRequests) {
				void requestShare(shareRequest);
			}
		},
		answer(request) {
			const nowMs = performance.now();
			const answer = answerShareRequest(shares, request, nowMs);
			if (!answer.isCounted) {
				nextListAtMs = Math.min(nextListAtMs, nowMs + listRetryMs);
			}

			apply(nowMs);
			return answer;
		},
	};
};
